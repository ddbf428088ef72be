package report

import (
	"fmt"
	"io"
	"strconv"

	"primrosespring.example/primrosefake/internal/load"
)

// WriteMarkdown writes a table with a row for each workload and system, and a
// table of ratios. results must be grouped by workload.
func WriteMarkdown(out io.Writer, results []*load.Result) error {
	_, err := fmt.Fprint(out, "# Bench\n\n"+
		"The quantiles are of whole answers, without the queries that were refused. Extra load is given as stated in the answers / as counted by the searchers. Wrong is the sum of doubled, crossed, "+
		"mixed, falsely covered, falsely not run and interrupted requests. CPU is the CPU time of the instances per run of a searcher. "+
		"The last column is the load average of the machine before and after the run; the machine does other work too.\n\n"+
		"| workload | system | queries | answered % | p50 ms | p99 ms | p99.9 ms | coverage % | extra load % | refused | p99 of refusals ms | failed | "+
		"wrong | good/s | CPU us | load average |\n"+
		"| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	if err != nil {
		return err
	}

	for _, r := range results {
		if err := writeMarkdownRow(out, r); err != nil {
			return err
		}
	}

	return writeRatios(out, results)
}

func writeMarkdownRow(out io.Writer, r *load.Result) error {
	var wrong uint64
	for _, f := range r.Counts.MustBeZero() {
		wrong += f.Value
	}

	cpu := "-"
	if r.CPUMicrosPerSubQuery > 0 {
		cpu = strconv.FormatFloat(r.CPUMicrosPerSubQuery, 'f', 0, 64)
	}

	_, err := fmt.Fprintf(out, "| %s | %s | %d | %s | %s | %s | %s | %s | %s / %s | %d | %s | %d | %d | %.0f | %s | %.1f, %.1f |\n",
		r.Workload, r.System, r.Counts.Queries, percent(r.Counts.Answered(), 2),
		milliseconds(r.Latency.P50), milliseconds(r.Latency.P99), milliseconds(r.Latency.P999),
		percent(r.Counts.Coverage(), 4), percent(r.Counts.ExtraAttempts(), 2), percent(r.Counts.ExtraRuns(), 2),
		r.Counts.Refused, milliseconds(r.LatencyRefused.P99), r.Counts.Failed, wrong, r.Goodput(), cpu,
		r.LoadAverageBefore, r.LoadAverageAfter)

	return err
}

// writeRatios writes the figures that the query path has targets for, beside
// these targets. Figures without results are left out.
func writeRatios(out io.Writer, results []*load.Result) error {
	byName := make(map[string]*load.Result, len(results))
	for _, r := range results {
		byName[r.Workload+"/"+r.System] = r
	}

	p99 := func(r *load.Result) float64 { return float64(r.Latency.P99) }
	goodput := func(r *load.Result) float64 { return r.Goodput() }

	if _, err := fmt.Fprint(out, "\n| ratio | measured | target |\n| --- | ---: | ---: |\n"); err != nil {
		return err
	}

	for _, q := range []struct {
		name, a, b, target string
		value              func(*load.Result) float64
	}{
		{"p99 of bench-20 over the baseline's", "bench-20/product", "bench-20/baseline", "at most 0.333", p99},
		{"p99 of bench-20 over that without stragglers", "bench-20/product", "bench-20-no-stragglers/product", "at most 1.5", p99},
		{"p99 of bench-59 over the baseline's", "bench-59/product", "bench-59/baseline", "at most 0.333", p99},
		{"p99 of bench-59 over that without stragglers", "bench-59/product", "bench-59-no-stragglers/product", "at most 1.5", p99},
		{"goodput at twice the capacity over that at capacity", "overload/product", "capacity/product", "at least 0.95", goodput},
	} {
		a, b := byName[q.a], byName[q.b]
		if a == nil || b == nil || q.value(b) == 0 {
			continue
		}

		if _, err := fmt.Fprintf(out, "| %s | %.3f | %s |\n", q.name, q.value(a)/q.value(b), q.target); err != nil {
			return err
		}
	}

	if r := byName["overload/product"]; r != nil {
		_, err := fmt.Fprintf(out, "| p99 of refusals at twice the capacity, ms | %s | at most 5 |\n", milliseconds(r.LatencyRefused.P99))

		return err
	}

	return nil
}
