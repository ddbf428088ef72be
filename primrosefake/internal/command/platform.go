package command

import (
	"io"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/platform"
)

func platformCommand(c *dig.Container) *cobra.Command {
	var address string

	cmd := &cobra.Command{
		Use: "platform", Short: "Run the platform's object API", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				ctx, stop := untilSignal()
				defer stop()

				return serve(ctx, out, "platform", address, platform.NewServer().Handler())
			})
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7000", "IP address and port to listen on")

	return cmd
}
