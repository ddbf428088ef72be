package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

// waitInterval is the interval at which --wait polls the status.
const waitInterval = 200 * time.Millisecond

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the instances and the configuration version in force at each", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := a.status(cmd.Context())
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(resp)
			}

			return a.printStatus(resp)
		},
	}
}

func (a *app) status(ctx context.Context) (*pb.AdminServiceGetStatusResponse, error) {
	var resp *pb.AdminServiceGetStatusResponse

	err := a.call(ctx, "get status", func(ctx context.Context, admin instance.Admin) error {
		var err error

		resp, err = admin.GetStatus(ctx, &pb.AdminServiceGetStatusRequest{})

		return err
	})

	return resp, err
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain SERVICE", Short: "Show how a query of a service would be routed now, and why", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var resp *pb.ExplainResponse

			err := a.call(cmd.Context(), "explain", func(ctx context.Context, admin instance.Admin) error {
				var err error

				resp, err = admin.Explain(ctx, &pb.ExplainRequest{Service: args[0]})

				return err
			})
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(resp)
			}

			return a.printExplain(resp)
		},
	}
}

func (a *app) watchCommand() *cobra.Command {
	return &cobra.Command{
		Use: "watch", Short: "Print each configuration version as it comes into force at the instance", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}

			return c.Stream(cmd.Context(), "watch configuration", func(ctx context.Context, admin instance.Admin) error {
				stream, err := admin.WatchConfiguration(ctx, &pb.WatchConfigurationRequest{})
				if err != nil {
					return err
				}
				defer func() { _ = stream.Close() }()

				for stream.Receive() {
					if _, err := fmt.Fprintf(a.stdout, "version=%d\n", stream.Msg().GetVersion()); err != nil {
						return err
					}
				}

				return stream.Err()
			})
		},
	}
}

// waitInForce waits until every live instance has the version and prints its
// progress to standard error.
func (a *app) waitInForce(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, a.waitTimeout)
	defer cancel()

	t := time.NewTicker(waitInterval)
	defer t.Stop()

	shown := ""

	for {
		progress, done := a.progress(ctx, version)
		if progress != shown {
			_, _ = fmt.Fprintln(a.stderr, progress)

			shown = progress
		}

		if done {
			return nil
		}

		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: version %d after %s", errNotInForce, version, a.waitTimeout)
		case <-t.C:
		}
	}
}

// progress returns how many live instances have the version as text, and whether
// all of them do.
func (a *app) progress(ctx context.Context, version uint64) (string, bool) {
	resp, err := a.status(ctx)
	if err != nil {
		return "no instance answers: " + err.Error(), false
	}

	live, have := 0, 0

	for _, i := range resp.GetInstances() {
		if i.GetState() == "dead" || i.GetState() == "leaving" {
			continue
		}

		live++

		if i.GetConfigurationVersion() >= version {
			have++
		}
	}

	return fmt.Sprintf("version %d in force on %d of %d live instances", version, have, live), live > 0 && have == live
}
