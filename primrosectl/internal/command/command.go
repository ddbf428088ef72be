// Package command is the operators' command line.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"go.uber.org/dig"
)

// Main runs the command line and returns the exit code.
func Main(c *dig.Container, args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "primrosectl", Short: "Operate primrosespring", SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)

	if err := c.Provide(func() *cobra.Command { return root }); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return 1
	}

	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return 1
	}

	return 0
}
