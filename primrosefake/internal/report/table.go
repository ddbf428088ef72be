// Package report renders the results of load runs as a text table, a Markdown
// table and an HTML page with plots.
package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"primrosespring.example/primrosefake/internal/load"
)

// maxProblemLines limits the wrong answers that the text lists for a system.
const maxProblemLines = 5

// row is one figure of every result.
type row struct {
	name string
	unit string
	// mustBeZero marks a figure of the product that must be zero.
	mustBeZero bool
	value      func(*load.Result) string
}

func rows() []row {
	count := func(f func(load.Counts) uint64) func(*load.Result) string {
		return func(r *load.Result) string { return strconv.FormatUint(f(r.Counts), 10) }
	}

	return []row{
		{name: "queries", value: count(func(c load.Counts) uint64 { return c.Queries })},
		{name: "whole answers", value: count(func(c load.Counts) uint64 { return c.Whole })},
		{name: "partial answers", value: count(func(c load.Counts) uint64 { return c.Partial })},
		{name: "answered", unit: "%", value: func(r *load.Result) string { return percent(r.Counts.Answered(), 2) }},
		{name: "p50", unit: "ms", value: func(r *load.Result) string { return milliseconds(r.Latency.P50) }},
		{name: "p99", unit: "ms", value: func(r *load.Result) string { return milliseconds(r.Latency.P99) }},
		{name: "p99.9", unit: "ms", value: func(r *load.Result) string { return milliseconds(r.Latency.P999) }},
		{name: "p99, failed and partial too", unit: "ms", value: func(r *load.Result) string { return milliseconds(r.LatencyAll.P99) }},
		{name: "coverage", unit: "%", value: func(r *load.Result) string { return percent(r.Counts.Coverage(), 4) }},
		{name: "extra load, by answers", unit: "%", value: func(r *load.Result) string { return percent(r.Counts.ExtraAttempts(), 2) }},
		{name: "extra load, by searchers", unit: "%", value: func(r *load.Result) string { return percent(r.Counts.ExtraRuns(), 2) }},
		{name: "refused", value: count(func(c load.Counts) uint64 { return c.Refused })},
		{name: "failed", value: count(func(c load.Counts) uint64 { return c.Failed })},
		{name: "requests run once", value: count(func(c load.Counts) uint64 { return c.Executes })},
		{name: "of them ran", value: count(func(c load.Counts) uint64 { return c.ExecutesRan })},
		{name: "of them repeated", value: count(func(c load.Counts) uint64 { return c.Repeated })},
		{name: "doubled", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.Doubled })},
		{name: "crossed", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.Crossed })},
		{name: "mixed snapshot", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.MixedSnapshot })},
		{name: "falsely covered", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.FalseCoverage })},
		{name: "false not run", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.FalseNotRun })},
		{name: "interrupted", mustBeZero: true, value: count(func(c load.Counts) uint64 { return c.Interrupted })},
	}
}

// WriteText writes a table with the systems side by side, and below it the
// requests without an answer and the first wrong answers.
func WriteText(out io.Writer, results []*load.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprint(t, "figure\tunit\t")

	for _, r := range results {
		_, _ = fmt.Fprint(t, r.System+"\t")
	}

	_, _ = fmt.Fprintln(t)

	for _, w := range rows() {
		_, _ = fmt.Fprint(t, w.name+"\t"+w.unit+"\t")

		for _, r := range results {
			_, _ = fmt.Fprint(t, w.value(r)+"\t")
		}

		_, _ = fmt.Fprintln(t)
	}

	if err := t.Flush(); err != nil {
		return err
	}

	for _, r := range results {
		for _, o := range r.Outcomes {
			_, _ = fmt.Fprintf(out, "%s: without an answer: %s (%s): %d\n", r.System, o.Code, o.Fate, o.Count)
		}

		for _, p := range r.Problems[:min(len(r.Problems), maxProblemLines)] {
			_, _ = fmt.Fprintf(out, "%s: wrong answer: %s\n", r.System, p)
		}
	}

	return nil
}

func milliseconds(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }

func percent(v float64, digits int) string {
	s := strconv.FormatFloat(v*100, 'f', digits, 64)

	return strings.Replace(s, "-0.00", "0.00", 1)
}
