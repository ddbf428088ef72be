package command

import (
	"context"

	"github.com/spf13/cobra"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

func (a *app) searcherCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "searcher", Short: "Drain and resume searchers"}
	cmd.AddCommand(
		a.drain("drain SERVICE SEARCHER", "Stop sending new work to a searcher", true),
		a.drain("resume SERVICE SEARCHER", "Resume sending work to a drained searcher", false),
	)

	return cmd
}

func (a *app) drain(use, short string, draining bool) *cobra.Command {
	return a.changeFlags(&cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd.Context(), "drain searcher",
				func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
					return admin.DrainSearcher(ctx, &pb.DrainSearcherRequest{
						Service: args[0], Searcher: args[1], Draining: draining, Options: o,
					})
				})
		},
	})
}
