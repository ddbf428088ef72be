package hosted

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/logline"
	"primrosespring.example/platform"
)

// The default ports are in the range that the platform leaves to the services that it
// hosts.
const (
	defaultMetricsPort = 7390
	defaultPeerPort    = 7380
	// defaultQuarantine allows for the time that a correction of the searchers takes, and
	// costs one searcher each time that it is over.
	defaultQuarantine = 10 * time.Minute
)

// Command returns the command that runs a hosted instance.
func Command(c *dig.Container, stdout io.Writer) *cobra.Command {
	var (
		metricsPort, peerPort int
		quarantine            time.Duration
	)

	load := func() (hosting.Settings, error) {
		s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable), metricsPort, peerPort)
		if err != nil {
			return s, err
		}

		s.Quarantine = quarantine

		return s, s.Validate()
	}

	cmd := &cobra.Command{
		Use: "hosted", Short: "Run an entry instance on the users' platform until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(c, load, stdout) },
	}
	cmd.PersistentFlags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port that serves /metrics")
	cmd.PersistentFlags().IntVar(&peerPort, "peer-port", defaultPeerPort, "port that other instances connect to")
	cmd.PersistentFlags().DurationVar(&quarantine, "quarantine", defaultQuarantine,
		"how long a request is refused that has ended searchers, from 1s to 1h; 0 turns it off")
	cmd.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the platform's settings file without starting", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := load()
			if err != nil {
				return err
			}

			_, err = fmt.Fprintln(stdout, s.Instance.ID+": ok")

			return err
		},
	})

	return cmd
}

func run(c *dig.Container, load func() (hosting.Settings, error), stdout io.Writer) error {
	s, err := load()
	if err != nil {
		return errors.Annotate(err, "load settings")
	}

	logline.IgnoreClosedOutput()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)

	if err := Provide(c, s, stdout); err != nil {
		return err
	}

	return c.Invoke(func(i *Instance) error { return i.Run(ctx, hangup, load) })
}
