package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/faultproxy"
)

func faultproxyCommand(c *dig.Container) *cobra.Command {
	return &cobra.Command{
		Use: "faultproxy FILE", Short: "Run a proxy with every link that a JSON file lists", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error {
				var f faultproxy.File
				if err := readFile(args[0], &f); err != nil {
					return err
				}

				return runLinks(out, f)
			})
		},
	}
}

// runLinks serves the links and their control API until a signal.
func runLinks(out io.Writer, f faultproxy.File) error {
	raiseGCPercent()

	p, err := faultproxy.New(f.Seed)
	if err != nil {
		return err
	}

	defer p.Close()

	for _, o := range f.Links {
		address, err := p.Add(o)
		if err != nil {
			return err
		}

		_, _ = fmt.Fprintf(out, "event=listening role=link address=%s id=%s\n", address, o.Name)
	}

	ctx, stop := signalContext()
	defer stop()

	return serve(ctx, out, "control", orDefault(f.ControlAddress), p.Handler())
}
