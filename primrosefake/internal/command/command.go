// Package command is the command line of the stand-ins.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/platform"
	"primrosespring.example/primrosefake/internal/searcher"
)

const readHeaderTimeout = 5 * time.Second

// Main runs the command line and returns the exit code.
func Main(c *dig.Container, args []string, stdout, stderr io.Writer) int {
	if err := c.Provide(func() io.Writer { return stdout }); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosefake:", err)

		return 1
	}

	root := &cobra.Command{Use: "primrosefake", Short: "Stand-ins for primrosespring", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(platformCommand(c), searcherCommand(c))
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)

	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosefake:", err)

		return 1
	}

	return 0
}

func platformCommand(c *dig.Container) *cobra.Command {
	var address string

	cmd := &cobra.Command{
		Use: "platform", Short: "Run the platform's object API", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error { return serve(out, address, platform.NewServer().Handler()) })
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7000", "IP address and port to listen on")

	return cmd
}

func searcherCommand(c *dig.Container) *cobra.Command {
	var (
		address string
		o       searcher.Options
	)

	cmd := &cobra.Command{
		Use: "searcher", Short: "Run one searcher", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				s, err := searcher.New(o)
				if err != nil {
					return err
				}

				return serve(out, address, s.Handler())
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:7100", "IP address and port to listen on")
	f.StringVar(&o.ID, "id", "searcher-0", "name of the searcher")
	f.StringVar(&o.Service, "service", "demo", "service that the searcher holds")
	f.Uint32Var(&o.Shard, "shard", 0, "shard that the searcher holds")
	f.IntVar(&o.Slots, "slots", 2, "requests run at once")
	f.DurationVar(&o.Median, "median", 5*time.Millisecond, "median service time")
	f.Float64Var(&o.Sigma, "sigma", 0.5, "spread of the log-normal service time")
	f.Float64Var(&o.StragglerShare, "straggler-share", 0, "share of requests that are slow")
	f.Float64Var(&o.StragglerFactor, "straggler-factor", 20, "how much slower those are")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the service times")
	f.Uint64Var(&o.IndexVersion, "index-version", 1, "index version held at the start")
	f.Uint64Var(&o.PartitionMapVersion, "partition-map-version", 1, "partition map version held at the start")

	return cmd
}

// serve runs an HTTP server, with and without HTTP/2, until a signal ends it.
func serve(out io.Writer, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(out, "event=listening address=%s\n", l.Addr())

	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	s := &http.Server{Handler: h, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = s.Close() })

	defer stopped()

	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}

	return nil
}
