package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/searcher"
)

const (
	defaultControlAddress = "127.0.0.1:0"
	// searcherGCPercent trades memory for CPU: the live heap of the searchers is
	// small, so the default collects very often.
	searcherGCPercent = 400
)

func searchersCommand(c *dig.Container) *cobra.Command {
	return &cobra.Command{
		Use: "searchers FILE", Short: "Run every searcher that a JSON file lists", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error {
				b, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}

				var f searcher.File
				if err := json.Unmarshal(b, &f); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}

				return runSearchers(out, f)
			})
		},
	}
}

// runSearchers serves the searchers and their control API until a signal.
func runSearchers(out io.Writer, f searcher.File) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(searcherGCPercent)
	}

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

	ctx, stop := untilSignal()
	defer stop()

	address := f.ControlAddress
	if address == "" {
		address = defaultControlAddress
	}

	return serve(ctx, out, "control", address, g.Handler())
}
