package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/searcher"
)

func searchersCommand(c *dig.Container) *cobra.Command {
	return &cobra.Command{
		Use: "searchers FILE", Short: "Run every searcher that a JSON file lists", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error {
				var f searcher.File
				if err := readFile(args[0], &f); err != nil {
					return err
				}

				return runSearchers(out, f)
			})
		},
	}
}

// runSearchers serves the searchers and their control API until a signal.
func runSearchers(out io.Writer, f searcher.File) error {
	raiseGCPercent()

	g, err := searcher.NewGroup(f.Searchers)
	if err != nil {
		return err
	}

	if err := g.Listen(); err != nil {
		return err
	}

	defer g.Close()

	for _, e := range g.Entries() {
		_, _ = fmt.Fprintf(out, "event=listening role=searcher address=%s id=%s\n", e.Address, e.ID)
	}

	ctx, stop := signalContext()
	defer stop()

	return serve(ctx, out, "control", orDefault(f.ControlAddress), g.Handler())
}
