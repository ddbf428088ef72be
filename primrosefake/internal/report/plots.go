package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"primrosespring.example/primrosefake/internal/load"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	plotWidth  = 23 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotMargin leaves space for labels at the ends of the axes.
	plotMargin = 0.5 * vg.Centimeter
	lineWidth  = 1.8 // In points.
	labelSize  = 8   // In points.
	// faultHeadroom is the share of a plot's height reserved for fault labels.
	faultHeadroom = 0.3
	// minLatencyMS is the lowest latency that the logarithmic axes show.
	minLatencyMS = 0.1
)

// The colours can be told apart with colour blindness.
var (
	productColor  = color.RGBA{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF}
	baselineColor = color.RGBA{R: 0xD5, G: 0x5E, B: 0x00, A: 0xFF}
	faultColor    = color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xFF}
	bandColor     = color.RGBA{R: 0xF0, G: 0xE6, B: 0xC8, A: 0xFF}
	gridColor     = color.RGBA{R: 0xD8, G: 0xDE, B: 0xE4, A: 0xFF}
)

var sans = font.Font{Typeface: "Liberation", Variant: "Sans"}

// svgPlot is a plot as an SVG document.
type svgPlot struct {
	Title   string
	Caption string
	// OverTime marks a plot over time, which shows the faults.
	OverTime bool
	SVG      []byte
}

func renderPlots(results []*load.Result) ([]svgPlot, error) {
	var out []svgPlot

	for _, f := range []struct {
		title, caption string
		overTime       bool
		build          func([]*load.Result) (*plot.Plot, error)
	}{
		{
			"Latency over time",
			"Whole answers by second of their intended arrival, after the warm-up: p99 solid, p50 dashed. The axis is logarithmic.",
			true, latencyOverTime,
		},
		{
			"Latency distribution",
			"Whole answers: the latency that a share of the answers doesn't exceed. Both axes are logarithmic; the horizontal one expands the tail.",
			false, latencyDistribution,
		},
		{
			"Coverage over time",
			"Shards included in answers as a share of all shards asked for, by second. Failed queries include none.",
			true, coverageOverTime,
		},
		{
			"Extra load over time",
			"Attempts stated in the answers, divided by the fewest needed, minus one, by second.",
			true, extraLoadOverTime,
		},
	} {
		p, err := f.build(results)
		if err != nil {
			return nil, errors.Annotatef(err, "plot %q", f.title)
		}

		svg, err := renderSVG(p)
		if err != nil {
			return nil, errors.Annotatef(err, "plot %q", f.title)
		}

		out = append(out, svgPlot{Title: f.title, Caption: f.caption, OverTime: f.overTime, SVG: svg})
	}

	return out, nil
}

func renderSVG(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(c), plotMargin, -plotMargin, plotMargin, -plotMargin))

	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, err
	}

	// A page can embed only the element, without the XML declaration.
	_, element, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return nil, errors.New("the plot has no svg element")
	}

	return append([]byte("<svg"), element...), nil
}

func newPlot(xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel

	for _, s := range []*text.Style{
		&p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label,
	} {
		size := s.Font.Size
		s.Font = sans
		s.Font.Size = size
	}

	p.X.Padding, p.Y.Padding = 0, 0

	return p
}

func addGrid(p *plot.Plot) {
	g := plotter.NewGrid()
	g.Horizontal.Color, g.Vertical.Color = gridColor, gridColor
	p.Add(g)
}

func colorOf(r *load.Result) color.Color {
	if r.System == load.Product {
		return productColor
	}

	return baselineColor
}

// addLine adds a line without a legend entry: the page has the legend above the
// plot, where it can't cover the fault labels.
func addLine(p *plot.Plot, c color.Color, dashed bool, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}

	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}

	l.Color = c
	l.Width = vg.Points(lineWidth)

	if dashed {
		l.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}

	p.Add(l)

	return nil
}

// perSecond returns one point for each second with queries, at its middle. The
// last second is left out, since the load ends within it.
func perSecond(r *load.Result, value func(load.Second) (float64, bool)) plotter.XYs {
	var out plotter.XYs

	for i, s := range r.Seconds {
		if s.Queries == 0 || i == len(r.Seconds)-1 {
			continue
		}

		if v, ok := value(s); ok {
			out = append(out, plotter.XY{X: float64(i) + 0.5, Y: v})
		}
	}

	return out
}

func latencyOverTime(results []*load.Result) (*plot.Plot, error) {
	p := newPlot("time since the start of the load (s)", "latency (ms)")
	addGrid(p)

	inMS := func(us int64) (float64, bool) { return float64(us) / 1000, float64(us) >= minLatencyMS*1000 }

	for _, r := range results {
		p99 := perSecond(r, func(s load.Second) (float64, bool) { return inMS(s.P99) })
		p50 := perSecond(r, func(s load.Second) (float64, bool) { return inMS(s.P50) })

		if err := addLine(p, colorOf(r), false, p99); err != nil {
			return nil, err
		}

		if err := addLine(p, colorOf(r), true, p50); err != nil {
			return nil, err
		}
	}

	setLogScale(&p.Y)
	// On a logarithmic axis, a share of the height is a power of the range.
	p.Y.Max = math.Pow(p.Y.Max/p.Y.Min, 1/(1-faultHeadroom)) * p.Y.Min
	addFaults(p, results)

	return p, nil
}

func coverageOverTime(results []*load.Result) (*plot.Plot, error) {
	p := newPlot("time since the start of the load (s)", "coverage (% of shards)")
	addGrid(p)

	for _, r := range results {
		points := perSecond(r, func(s load.Second) (float64, bool) { return s.Coverage() * 100, s.ShardsAsked > 0 })
		if err := addLine(p, colorOf(r), false, points); err != nil {
			return nil, err
		}
	}

	p.Y.Min = math.Min(p.Y.Min, 99)
	p.Y.Max = 100
	addHeadroom(p)
	addFaults(p, results)

	return p, nil
}

func extraLoadOverTime(results []*load.Result) (*plot.Plot, error) {
	p := newPlot("time since the start of the load (s)", "extra load (%)")
	addGrid(p)

	for _, r := range results {
		points := perSecond(r, func(s load.Second) (float64, bool) { return s.ExtraAttempts() * 100, s.MinAttempts > 0 })
		if err := addLine(p, colorOf(r), false, points); err != nil {
			return nil, err
		}
	}

	p.Y.Min = 0
	p.Y.Max = math.Max(p.Y.Max, 1)
	addHeadroom(p)
	addFaults(p, results)

	return p, nil
}

func latencyDistribution(results []*load.Result) (*plot.Plot, error) {
	p := newPlot("share of answers", "latency (ms)")
	addGrid(p)

	for _, r := range results {
		var points plotter.XYs

		for _, d := range r.Distribution {
			if float64(d.US) >= minLatencyMS*1000 {
				points = append(points, plotter.XY{X: 1 / (1 - d.Quantile), Y: float64(d.US) / 1000})
			}
		}

		if err := addLine(p, colorOf(r), false, points); err != nil {
			return nil, err
		}
	}

	setLogScale(&p.Y)
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 1, Label: "0%"},
		{Value: 2, Label: "50%"},
		{Value: 10, Label: "90%"},
		{Value: 100, Label: "99%"},
		{Value: 1000, Label: "99.9%"},
		{Value: 10_000, Label: "99.99%"},
	}
	p.X.Min, p.X.Max = 1, 10_000

	return p, nil
}

// setLogScale makes a latency axis logarithmic.
func setLogScale(a *plot.Axis) {
	a.Scale = plot.LogScale{}
	a.Tick.Marker = latencyTicks{}

	// An axis without data has no usable range.
	if !(a.Min > 0) || math.IsInf(a.Min, 0) {
		a.Min, a.Max = 1, 1000
	}

	a.Min = math.Max(a.Min*0.8, minLatencyMS)
	a.Max = math.Max(a.Max*1.2, a.Min*10)
}

// latencyTicks marks 1, 2 and 5 times each power of ten.
type latencyTicks struct{}

// Ticks implements plot.Ticker.
func (latencyTicks) Ticks(low, high float64) []plot.Tick {
	var out []plot.Tick

	for power := math.Pow(10, math.Floor(math.Log10(low))); power <= high; power *= 10 {
		for _, m := range []float64{1, 2, 5} {
			if v := m * power; v >= low && v <= high {
				out = append(out, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'f', -1, 64)})
			}
		}
	}

	return out
}

// addHeadroom extends a linear axis upwards for the fault labels.
func addHeadroom(p *plot.Plot) {
	top := p.Y.Max
	p.Y.Max += (top - p.Y.Min) * faultHeadroom / (1 - faultHeadroom)
	p.Y.Tick.Marker = evenTicks{low: p.Y.Min, high: top}
}

// evenTicks marks even steps of 1, 2 or 5 times a power of ten from low to high,
// whatever the range of the axis.
type evenTicks struct{ low, high float64 }

// Ticks implements plot.Ticker.
func (t evenTicks) Ticks(_, _ float64) []plot.Tick {
	const maxTicks = 6

	step := math.Pow(10, math.Floor(math.Log10((t.high-t.low)/maxTicks)))
	for _, m := range []float64{1, 2, 5, 10} {
		if (t.high-t.low)/(m*step) <= maxTicks {
			step *= m

			break
		}
	}

	var out []plot.Tick

	for i := math.Ceil(t.low / step); i*step <= t.high*(1+1e-9); i++ {
		out = append(out, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'g', 6, 64)})
	}

	return out
}

// addFaults sets the range of the time axis and marks the faults.
func addFaults(p *plot.Plot, results []*load.Result) {
	if len(results) == 0 {
		return
	}

	end := float64(results[0].DurationMS) / 1000
	p.X.Min, p.X.Max = float64(results[0].WarmUpMS)/1000, end
	p.X.Tick.Marker = evenTicks{low: p.X.Min, high: p.X.Max}
	p.Add(faultMarks{faults: results[0].Faults, end: end})
}

// faultMarks draws a labelled line at the start of each fault and a bar over its
// duration.
type faultMarks struct {
	faults []workload.Fault
	end    float64
}

// Plot implements plot.Plotter.
func (f faultMarks) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := text.Style{Color: faultColor, Font: sans, XAlign: text.XLeft, YAlign: text.YTop, Handler: p.TextHandler}
	style.Font.Size = vg.Points(labelSize)

	line := draw.LineStyle{Color: faultColor, Width: vg.Points(0.8), Dashes: []vg.Length{vg.Points(2), vg.Points(2)}}
	step := vg.Points(labelSize + 4)

	for i, ft := range f.faults {
		begin := float64(ft.AtMS) / 1000
		at := x(begin)
		// The labels take turns on four rows, so that close ones don't overlap.
		top := c.Max.Y - vg.Points(2) - vg.Length(i%4)*step

		if ft.ForMS > 0 {
			to := x(math.Min(begin+float64(ft.ForMS)/1000, f.end))
			c.FillPolygon(bandColor, []vg.Point{
				{X: at, Y: top}, {X: to, Y: top}, {X: to, Y: top - step + vg.Points(1)}, {X: at, Y: top - step + vg.Points(1)},
			})
		}

		c.StrokeLine2(line, at, c.Min.Y, at, top)
		c.FillText(style, vg.Point{X: at + vg.Points(3), Y: top - vg.Points(1)}, faultLabel(ft))
	}
}

func faultLabel(f workload.Fault) string {
	name := strings.ReplaceAll(string(f.Kind), "_", " ")

	switch f.Kind {
	case workload.IndexSwitch, workload.PartitionMapSwitch, workload.OperatorsRacing:
		return name + " of " + f.Service
	case workload.StragglingSearcher, workload.LostSearcher, workload.SilentSearcher, workload.SilentConnections,
		workload.SheddingSearcher, workload.CorruptAnswers, workload.CrossedAnswers, workload.LateAnswers,
		workload.DrainingSearcher:
		return name + " " + workload.SearcherID(f.Service, f.Shard, f.Searcher)
	case workload.LostShard:
		return fmt.Sprintf("%s %s/%d", name, f.Service, f.Shard)
	case workload.InstanceRestarted, workload.InstanceKilled, workload.InstancePaused:
		return fmt.Sprintf("%s %d", name, f.Instance)
	case workload.RollingRestart, workload.StoreOutage, workload.StoreHang, workload.StoreSlow, workload.StoreAnswersLost,
		workload.StoreStale, workload.InstancesPartitioned, workload.SilentPeerSessions:
	}

	return name
}
