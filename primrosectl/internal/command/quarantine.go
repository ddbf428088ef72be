package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quarantine"
)

const (
	hostedTimeout = 5 * time.Second
	// maxReportBytes bounds an instance's list of suspects.
	maxReportBytes = 4 << 20
)

// quarantineCommand returns the commands for requests that hosted instances hold back.
func (a *app) quarantineCommand() *cobra.Command {
	var instances []string

	cmd := &cobra.Command{
		Use: "quarantine", Short: "Show and release requests that hosted instances hold back since they end searchers",
	}
	cmd.PersistentFlags().StringSliceVar(&instances, "metrics", nil, "metrics addresses of hosted instances; a release reaches the other instances within seconds")
	_ = cmd.MarkPersistentFlagRequired("metrics")
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the contents under which searchers ended", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return a.listSuspects(cmd.Context(), instances) },
		},
		&cobra.Command{
			Use: "release CONTENT", Short: "Let requests with a content be sent again", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return a.releaseSuspect(cmd.Context(), instances, args[0])
			},
		},
	)

	return cmd
}

// instanceSuspects are the suspects that one instance knows.
type instanceSuspects struct {
	Instance string              `json:"instance"`
	Suspects []quarantine.Report `json:"suspects"`
}

func (a *app) listSuspects(ctx context.Context, instances []string) error {
	lists := make([]instanceSuspects, len(instances))

	for i, address := range instances {
		lists[i].Instance = address

		data, err := callHosted(ctx, http.MethodGet, address, "/quarantine")
		if err != nil {
			return err
		}

		if err := json.Unmarshal(data, &lists[i].Suspects); err != nil {
			return errors.Annotatef(err, "read the answer of %s", address)
		}

		for j := range lists[i].Suspects {
			if err := lists[i].Suspects[j].Validate(); err != nil {
				return errors.Annotatef(err, "read the answer of %s", address)
			}
		}
	}

	if a.output == "json" {
		return a.printValue(lists)
	}

	rows := [][]string{{"INSTANCE", "CONTENT", "ROUTE", "STRIKES", "SEEN BY", "HELD", "TRIED IN"}}

	for _, l := range lists {
		for i := range l.Suspects {
			r := &l.Suspects[i]

			var seen []string
			for _, s := range r.Strikes {
				seen = append(seen, s.Instance)
			}

			rows = append(rows, []string{
				l.Instance, r.Content.String(), r.Route, strconv.Itoa(len(r.Strikes)), strings.Join(seen, ","), strconv.FormatBool(r.Held),
				(time.Duration(r.RetryAfterMS) * time.Millisecond).String(),
			})
		}
	}

	return a.table(rows)
}

// releaseSuspect releases a content at each instance. It goes on after a failure, which it
// returns at the end.
func (a *app) releaseSuspect(ctx context.Context, instances []string, text string) error {
	content, err := quarantine.ParseDigest(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}

	var failure error

	for _, address := range instances {
		result := "released"

		if _, err := callHosted(ctx, http.MethodDelete, address, "/quarantine/"+content.String()); err != nil {
			result, failure = err.Error(), err
		}

		if _, err := fmt.Fprintf(a.stdout, "%s: %s\n", address, result); err != nil {
			return err
		}
	}

	return failure
}

// callHosted calls the metrics address of a hosted instance.
func callHosted(ctx context.Context, method, address, path string) ([]byte, error) {
	if err := domain.CheckAddress("metrics", address); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}

	ctx, cancel := context.WithTimeout(ctx, hostedTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, errors.Annotate(err, "call instance")
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, domain.Errorf(domain.FateUnknown, domain.CodePeerUnavailable, "call instance", "no answer").WithPeer(address).WithCause(err)
	}

	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))

	switch {
	case err != nil:
		return nil, domain.Errorf(domain.FateUnknown, domain.CodePeerUnavailable, "call instance", "the answer ends early").WithPeer(address).WithCause(err)
	case resp.StatusCode == http.StatusNotFound:
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "call instance", "%s", strings.TrimSpace(string(data))).WithPeer(address)
	case resp.StatusCode >= http.StatusBadRequest:
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "call instance", "%s", strings.TrimSpace(string(data))).WithPeer(address)
	}

	return data, nil
}
