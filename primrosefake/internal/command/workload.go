package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/workload"
)

func workloadCommand(c *dig.Container) *cobra.Command {
	cmd := &cobra.Command{
		Use: "workload NAME", Short: "Print a built-in workload: " + strings.Join(workload.Names(), ", "), Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error {
				w, err := workload.Open(args[0])
				if err != nil {
					return err
				}

				e := json.NewEncoder(out)
				e.SetIndent("", "  ")

				return e.Encode(w)
			})
		},
	}
	cmd.AddCommand(workloadGenerateCommand(c), workloadRegisterCommand(), workloadApplyCommand())

	return cmd
}

func workloadGenerateCommand(c *dig.Container) *cobra.Command {
	var (
		name      string
		firstPort int
	)

	cmd := &cobra.Command{
		Use: "generate DIR", Short: "Write the input files of every process of a run, with free ports", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error {
				w, err := workload.Open(name)
				if err != nil {
					return err
				}

				t, err := workload.Generate(w, args[0], firstPort)
				if err != nil {
					return err
				}

				_, err = fmt.Fprintf(out, "event=generated workload=%s instances=%d searchers=%d directory=%s\n",
					w.Name, len(t.Instances), len(t.Searchers), args[0])

				return err
			})
		},
	}
	cmd.Flags().StringVar(&name, "workload", "agreca", "built-in workload or file")
	cmd.Flags().IntVar(&firstPort, "first-port", 0, "first port to try; 0 for a random one")

	return cmd
}

func workloadRegisterCommand() *cobra.Command {
	return &cobra.Command{
		Use: "register DIR", Short: "Register the generated instances with the platform", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return workload.Register(cmd.Context(), args[0]) },
	}
}

func workloadApplyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "apply DIR", Short: "Create the generated configuration and wait until it is in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return workload.Apply(cmd.Context(), args[0]) },
	}
}
