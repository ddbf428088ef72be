package report

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/primrosefake/internal/load"
	"primrosespring.example/primrosefake/internal/workload"
)

func result(system string, p99 int64, crossed uint64) *load.Result {
	r := &load.Result{
		Workload: "agreca", System: system, DurationMS: 4000, WarmUpMS: 1000,
		Counts:  load.Counts{Queries: 30, Whole: 30, Crossed: crossed, ShardsAsked: 10, ShardsIncluded: 9},
		Latency: load.Quantiles{Count: 30, P50: 5000, P99: p99, P999: 2 * p99},
		Faults: []workload.Fault{
			{Kind: workload.LostSearcher, AtMS: 2000, ForMS: 1000, Service: "dues", Shard: 3, Searcher: 1},
			{Kind: workload.RollingRestart, AtMS: 2500},
		},
		Problems: []string{"crossed: <script>"},
	}

	for range 4 {
		r.Seconds = append(r.Seconds, load.Second{Queries: 10, P50: 5000, P99: p99, ShardsAsked: 10, ShardsIncluded: 9})
	}

	r.Distribution = []load.QuantilePoint{{Quantile: 0, US: 1000}, {Quantile: 0.99, US: p99}}

	return r
}

// Guards against a page that lacks a plot, a fault or a figure, that loads
// another file, that doesn't escape texts, or that doesn't highlight a figure
// which must be zero and isn't.
func TestWriteHTML(t *testing.T) {
	var b bytes.Buffer

	require.NoError(t, WriteHTML(&b, []*load.Result{result(load.Baseline, 400_000, 5), result(load.Product, 100_000, 2)}))

	page := b.String()
	require.Equal(t, 4, strings.Count(page, "<svg"))
	require.Equal(t, 3, strings.Count(page, "lost searcher dues-3-1"))
	require.Equal(t, 3, strings.Count(page, "rolling restart"))
	require.Contains(t, page, `<tr class="zero wrong"><td>crossed</td><td class="unit"></td><td>5</td><td>2</td></tr>`)
	require.Contains(t, page, `<tr class="zero"><td>doubled</td>`)
	require.Contains(t, page, "<td>p99</td><td class=\"unit\">ms</td><td>400.0</td><td>100.0</td>")
	require.Contains(t, page, "&lt;script&gt;")
	require.NotContains(t, page, "src=")
	require.NotContains(t, page, "<link")
}

// Guards against a failure to write the page when no query was answered.
func TestWriteHTMLWithoutAnswers(t *testing.T) {
	var b bytes.Buffer

	require.NoError(t, WriteHTML(&b, []*load.Result{{System: load.Product, DurationMS: 1000}}))
	require.Equal(t, 4, strings.Count(b.String(), "<svg"))
}

// Guards against a table that mixes up the workloads or the systems.
func TestWriteMarkdown(t *testing.T) {
	product, baseline := result(load.Product, 100_000, 2), result(load.Baseline, 400_000, 0)
	product.Workload, baseline.Workload = "bench-20", "bench-20"
	product.LoadAverageBefore, product.LoadAverageAfter = 3, 4

	var b bytes.Buffer

	require.NoError(t, WriteMarkdown(&b, []*load.Result{baseline, product}))
	require.Contains(t, b.String(),
		"| bench-20 | product | 30 | 100.00 | 5.0 | 100.0 | 200.0 | 90.0000 | 0.00 / 0.00 | 0 | 0.0 | 0 | 2 | 10 | - | 3.0, 4.0 |\n")
	require.Contains(t, b.String(), "| p99 of bench-20 over the baseline's | 0.250 | at most 0.333 |\n")
	require.NotContains(t, b.String(), "bench-59")
}
