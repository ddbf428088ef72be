package command

import (
	"context"

	"github.com/spf13/cobra"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

func (a *app) searcherCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "searcher", Short: "Drain searchers and take them back"}
	cmd.AddCommand(
		a.drain("drain SERVICE SEARCHER", "Send a searcher no new work", true),
		a.drain("resume SERVICE SEARCHER", "Send a drained searcher work again", false),
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
