package query

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/scatter"
)

// serviceMetrics counts the queries of one service. duration is a histogram, not
// a summary, since histograms of several instances can be added up.
type serviceMetrics struct {
	whole    *metrics.Counter
	partial  *metrics.Counter
	failed   *metrics.Counter
	included *metrics.Counter
	missing  *metrics.Counter
	duration *metrics.Histogram
	attempts map[scatter.Reason]*metrics.Counter
}

func newServiceMetrics(service string) *serviceMetrics {
	label := `{service="` + service + `"`
	counter := func(name, extra string) *metrics.Counter {
		return metrics.GetOrCreateCounter("primrosed_" + name + label + extra + "}")
	}

	m := &serviceMetrics{
		whole:    counter("queries_total", `,outcome="whole"`),
		partial:  counter("queries_total", `,outcome="partial"`),
		failed:   counter("queries_total", `,outcome="failed"`),
		included: counter("shards_total", `,outcome="included"`),
		missing:  counter("shards_total", `,outcome="missing"`),
		duration: metrics.GetOrCreateHistogram("primrosed_query_duration_seconds" + label + "}"),
		attempts: make(map[scatter.Reason]*metrics.Counter),
	}

	for _, r := range []scatter.Reason{scatter.First, scatter.Retry, scatter.Hedge} {
		m.attempts[r] = counter("attempts_total", `,reason="`+string(r)+`"`)
	}

	return m
}

func (m *serviceMetrics) countAttempt(r scatter.Reason) { m.attempts[r].Inc() }

func (m *serviceMetrics) countQuery(d time.Duration, resp *pb.SearchResponse, err error) {
	if err != nil {
		m.failed.Inc()
		countRefusal(err)

		return
	}

	m.duration.Update(d.Seconds())
	m.included.Add(len(resp.GetCoverage().GetIncluded()))

	if n := len(resp.GetCoverage().GetMissing()); n > 0 {
		m.missing.Add(n)
		m.partial.Inc()
	} else {
		m.whole.Inc()
	}
}

func countRefusal(err error) {
	code := domain.CodeInternal

	var e *domain.Error
	if errors.As(err, &e) {
		code = e.Code
	}

	metrics.GetOrCreateCounter(`primrosed_refusals_total{code="` + string(code) + `"}`).Inc()
}
