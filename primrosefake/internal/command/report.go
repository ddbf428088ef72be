package command

import (
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"primrosespring.example/primrosefake/internal/load"
	"primrosespring.example/primrosefake/internal/report"
)

func reportCommand() *cobra.Command {
	var page, markdown string

	cmd := &cobra.Command{
		Use: "report RESULTS...", Short: "Show the results of load runs", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var results []*load.Result

			for _, name := range args {
				r, err := readResults(name)
				if err != nil {
					return err
				}

				results = append(results, r...)
			}

			if page == "" && markdown == "" {
				return report.WriteText(cmd.OutOrStdout(), results)
			}

			if err := writeReport(page, results, report.WriteHTML); err != nil {
				return err
			}

			return writeReport(markdown, results, report.WriteMarkdown)
		},
	}
	cmd.Flags().StringVar(&page, "html", "", "file for an HTML page with plots; the results must be of one workload")
	cmd.Flags().StringVar(&markdown, "markdown", "", "file for a Markdown table with a row for each workload and system")

	return cmd
}

func readResults(name string) ([]*load.Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Annotate(err, "read results")
	}

	var out []*load.Result
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, errors.Annotatef(err, "%s: decode results", name)
	}

	return out, nil
}

// writeReport writes a report to a file; an empty name writes nothing.
func writeReport(name string, results []*load.Result, write func(io.Writer, []*load.Result) error) error {
	if name == "" {
		return nil
	}

	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, resultFileMode)
	if err != nil {
		return err
	}

	if err := write(f, results); err != nil {
		_ = f.Close()

		return err
	}

	return f.Close()
}
