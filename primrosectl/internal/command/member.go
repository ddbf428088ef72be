package command

import (
	"context"

	"github.com/spf13/cobra"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

func (a *app) memberCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "member", Short: "Member organisations and their shares of capacity"}
	cmd.AddCommand(a.memberSet(), a.memberDelete(), a.memberList())

	return cmd
}

func (a *app) memberSet() *cobra.Command {
	var weight uint32

	cmd := &cobra.Command{
		Use: "set NAME --weight N", Short: "Create or change a member organisation", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd.Context(), "set member",
				func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
					return admin.SetMember(ctx, &pb.SetMemberRequest{
						Member: &pb.Member{Name: args[0], Weight: weight}, Options: o,
					})
				})
		},
	}
	cmd.Flags().Uint32Var(&weight, "weight", 1, "share of capacity against other member organisations")

	return a.changeFlags(cmd)
}

func (a *app) memberDelete() *cobra.Command {
	return a.changeFlags(&cobra.Command{
		Use: "delete NAME", Short: "Delete a member organisation", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd.Context(), "delete member",
				func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
					return admin.DeleteMember(ctx, &pb.DeleteMemberRequest{Name: args[0], Options: o})
				})
		},
	})
}

func (a *app) memberList() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the member organisations", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var resp *pb.ListMembersResponse

			err := a.call(cmd.Context(), "list members", func(ctx context.Context, admin instance.Admin) error {
				var err error

				resp, err = admin.ListMembers(ctx, &pb.ListMembersRequest{})

				return err
			})
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(resp)
			}

			return a.printMembers(resp.GetMembers())
		},
	}
}
