package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/juju/errors"

	"primrosespring.example/primrosefake/internal/load"
)

//go:embed page.html
var pageTemplate string

// page is the data of the template.
type page struct {
	Workload string
	Seconds  float64
	Systems  []string
	Rows     []pageRow
	Plots    []pagePlot
	Outcomes []pageOutcome
	Problems []string
	Notes    []string
}

type pageRow struct {
	Name       string
	Unit       string
	MustBeZero bool
	Values     []string
	// Wrong marks a figure of the product that must be zero and isn't.
	Wrong bool
}

type pagePlot struct {
	Title   string
	Caption string
	// OverTime marks a plot over time, which shows the faults.
	OverTime bool
	SVG      template.HTML
}

type pageOutcome struct {
	System string
	load.Outcome
}

// WriteHTML writes a self-contained page with the table and the plots.
func WriteHTML(out io.Writer, results []*load.Result) error {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return errors.Annotate(err, "parse page")
	}

	p, err := newPage(results)
	if err != nil {
		return err
	}

	return t.Execute(out, p)
}

func newPage(results []*load.Result) (*page, error) {
	plots, err := renderPlots(results)
	if err != nil {
		return nil, err
	}

	p := &page{}

	for _, f := range plots {
		p.Plots = append(p.Plots, pagePlot{
			Title: f.Title, Caption: f.Caption, OverTime: f.OverTime,
			SVG: template.HTML(f.SVG), //nolint:gosec // The plots are made here, and their texts are checked names.
		})
	}

	for _, w := range rows() {
		p.Rows = append(p.Rows, newPageRow(w, results))
	}

	for _, r := range results {
		p.Workload, p.Seconds = r.Workload, float64(r.DurationMS)/1000
		p.Systems = append(p.Systems, r.System)
		p.Notes = append(p.Notes, fmt.Sprintf(
			"%s: load average of the machine %.1f before and %.1f after; requests were sent at most %.1f ms after their intended time",
			r.System, r.LoadAverageBefore, r.LoadAverageAfter, float64(r.MaxDispatchDelayUS)/1000))

		for _, o := range r.Outcomes {
			p.Outcomes = append(p.Outcomes, pageOutcome{System: r.System, Outcome: o})
		}

		for _, problem := range r.Problems {
			p.Problems = append(p.Problems, r.System+": "+problem)
		}
	}

	return p, nil
}

func newPageRow(w row, results []*load.Result) pageRow {
	out := pageRow{Name: w.name, Unit: w.unit, MustBeZero: w.mustBeZero}

	for _, r := range results {
		v := w.value(r)
		out.Values = append(out.Values, v)

		if w.mustBeZero && r.System == load.Product && v != "0" {
			out.Wrong = true
		}
	}

	return out
}
