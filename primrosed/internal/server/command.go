// Package server builds an entry instance from its parts and runs it until it
// receives a signal to stop.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/internal/logline"
	"primrosespring.example/primrosed/internal/hosted"
	"primrosespring.example/primrosed/internal/settings"
)

// Exit codes of the command.
const (
	exitOK              = 0
	exitFailure         = 1
	exitInvalidSettings = 2
)

// errSettings marks invalid settings.
var errSettings = errors.New("invalid settings")

// Main runs the command line and returns the exit code: 0, 2 for invalid settings,
// or 1 for any other error.
func Main(c *dig.Container, args []string, stdout, stderr io.Writer) int {
	cmd := newCommand(c, stdout)
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)

	err := cmd.Execute()
	if err == nil {
		return exitOK
	}

	_, _ = fmt.Fprintln(stderr, "primrosed:", err)

	if errors.Is(err, errSettings) {
		return exitInvalidSettings
	}

	return exitFailure
}

func newCommand(c *dig.Container, stdout io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "primrosed", Short: "Entry instance of primrosespring",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(hosted.Command(c, stdout))
	root.AddCommand(&cobra.Command{
		Use: "run SETTINGS", Short: "Run an entry instance until SIGTERM or SIGINT", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return run(c, args[0], stdout) },
	})
	root.AddCommand(&cobra.Command{
		Use: "check SETTINGS", Short: "Check a settings file without starting", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := load(args[0]); err != nil {
				return err
			}

			_, err := fmt.Fprintln(stdout, args[0]+": ok")

			return err
		},
	})

	return root
}

func load(file string) (settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		return s, fmt.Errorf("%w: %s: %w", errSettings, file, err)
	}

	return s, nil
}

func run(c *dig.Container, file string, stdout io.Writer) error {
	s, err := load(file)
	if err != nil {
		return err
	}

	logline.IgnoreClosedOutput()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	if err := provide(c, s, stdout); err != nil {
		return err
	}

	return c.Invoke(func(i *Instance) error { return i.Run(ctx) })
}
