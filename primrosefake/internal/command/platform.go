package command

import (
	"io"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/platform"
)

func platformCommand(c *dig.Container) *cobra.Command {
	var (
		address string
		lag     time.Duration
		limits  platform.Limits
	)

	cmd := &cobra.Command{
		Use: "platform", Short: "Run the platform's object API", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				ctx, stop := signalContext()
				defer stop()

				s := platform.NewServer()
				s.SetListLag(lag)
				s.SetLimits(limits)

				return serve(ctx, out, "platform", address, s.Handler())
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:7000", "IP address and port to listen on")
	f.DurationVar(&lag, "list-lag", 0, "time until a change to the list of instances is visible")
	f.IntVar(&limits.ReadsPerS, "reads-per-second", 0, "limit on reads and watches per second; 0 for none")
	f.IntVar(&limits.WritesPerS, "writes-per-second", 0, "limit on writes per second; 0 for none")

	return cmd
}
