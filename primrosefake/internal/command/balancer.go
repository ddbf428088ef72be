package command

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/balancer"
)

func balancerCommand(c *dig.Container) *cobra.Command {
	var address, control, backends string

	cmd := &cobra.Command{
		Use: "balancer", Short: "Run a balancer over the ready instances", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				var file balancer.File

				if backends != "" {
					if err := readFile(backends, &file); err != nil {
						return err
					}
				}

				return runBalancer(out, address, control, file)
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "address", "127.0.0.1:7001", "IP address and port to listen on")
	f.StringVar(&control, "control-address", defaultControlAddress, "IP address and port of the control API")
	f.StringVar(&backends, "backends", "", "JSON file that lists the backends")

	return cmd
}

// runBalancer serves connections and the control API until a signal.
func runBalancer(out io.Writer, address, control string, file balancer.File) error {
	b := balancer.New()
	if err := b.SetBackends(file.Backends); err != nil {
		return err
	}

	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(out, "event=listening role=balancer address=%s\n", l.Addr())

	ctx, stop := signalContext()
	defer stop()

	defer context.AfterFunc(ctx, func() { _ = l.Close() })()

	failed := make(chan error, 1)

	go func() {
		failed <- b.Serve(l)

		stop()
	}()

	if err := serve(ctx, out, "control", control, b.Handler()); err != nil {
		return err
	}

	return <-failed
}
