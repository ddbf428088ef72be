package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quota"
)

// instanceReport is what one hosted instance reports.
type instanceReport[T any] struct {
	Instance string `json:"instance"`
	Items    []T    `json:"items"`
}

// hostedList returns a command that lists what hosted instances report at a path.
func hostedList[T any](a *app, use, short, path string, header []string, row func(item T) []string) *cobra.Command {
	var instances []string

	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports, err := fetchReports[T](cmd.Context(), instances, path)
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printValue(reports)
			}

			rows := [][]string{append([]string{"INSTANCE"}, header...)}

			for _, r := range reports {
				for _, item := range r.Items {
					rows = append(rows, append([]string{r.Instance}, row(item)...))
				}
			}

			return a.table(rows)
		},
	}
	cmd.Flags().StringSliceVar(&instances, "metrics", nil, "metrics addresses of hosted instances")
	_ = cmd.MarkFlagRequired("metrics")

	return cmd
}

func fetchReports[T any](ctx context.Context, instances []string, path string) ([]instanceReport[T], error) {
	out := make([]instanceReport[T], len(instances))

	for i, address := range instances {
		out[i].Instance = address

		data, err := callHosted(ctx, http.MethodGet, address, path)
		if err != nil {
			return nil, err
		}

		if err := json.Unmarshal(data, &out[i].Items); err != nil {
			return nil, errors.Annotatef(err, "read the answer of %s", address)
		}
	}

	return out, nil
}

// printValue prints a value for other programs.
func (a *app) printValue(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode output")
	}

	_, err = fmt.Fprintln(a.stdout, string(data))

	return err
}

// usageCommand returns the command that shows the use of caps.
func (a *app) usageCommand() *cobra.Command {
	number := func(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

	return hostedList(a, "usage", "Show what member organisations use of their caps at hosted instances", "/members",
		[]string{"MEMBER", "CAP/S", "BURST", "NEAR", "DEMAND/S", "EXPECTED/S", "WAITING", "ADMITTED", "REFUSED", "LEFT"},
		func(m quota.MemberReport) []string {
			return []string{
				m.Member, number(m.Rate), number(m.Burst), strconv.FormatBool(m.Near), number(m.Demand), number(m.Expected),
				strconv.Itoa(m.Waiting), strconv.FormatUint(m.Admitted, 10), strconv.FormatUint(m.Refused, 10), number(m.Tokens),
			}
		})
}

// evacuationsCommand returns the command that shows the evacuations in force.
func (a *app) evacuationsCommand() *cobra.Command {
	return hostedList(a, "evacuations", "Show the failure domains whose searchers get no requests from hosted instances", "/evacuations",
		[]string{"FAILURE DOMAIN"}, func(e domain.Evacuation) []string { return []string{e.FailureDomain} })
}
