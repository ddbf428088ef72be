package load

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primrosespring.example/primrosefake/internal/workload"
)

// Result holds the figures of one phase of a run. Counts exclude the warm-up,
// except SearcherRuns, MinRuns and the counts of wrong answers, of which there
// must be none at any time.
type Result struct {
	Workload string `json:"workload"`
	// System is product or baseline.
	System     string `json:"system"`
	DurationMS uint32 `json:"duration_ms"`
	WarmUpMS   uint32 `json:"warm_up_ms"`
	Counts     Counts `json:"counts"`
	// Outcomes counts the requests without an answer by code and fate.
	Outcomes []Outcome `json:"outcomes,omitempty"`
	// Latency is of whole answers, LatencyAll of all queries that weren't
	// refused as not run.
	Latency    Quantiles `json:"latency"`
	LatencyAll Quantiles `json:"latency_all"`
	// LatencyRefused is of the refusals that say not run.
	LatencyRefused Quantiles `json:"latency_refused"`
	// Distribution is the latency of whole answers by quantile.
	Distribution []QuantilePoint  `json:"distribution"`
	Seconds      []Second         `json:"seconds"`
	Faults       []workload.Fault `json:"faults,omitempty"`
	// Problems describes the first few wrong answers.
	Problems []string `json:"problems,omitempty"`
	// CPUMicrosPerSubQuery is the CPU time of the instances for each sub-query.
	CPUMicrosPerSubQuery float64 `json:"cpu_micros_per_sub_query,omitempty"`
	// LoadAverageBefore and LoadAverageAfter are the machine's load averages
	// over one minute.
	LoadAverageBefore float64 `json:"load_average_before"`
	LoadAverageAfter  float64 `json:"load_average_after"`
	// MaxDispatchDelayUS is the longest time by which a request was sent late, in
	// microseconds.
	MaxDispatchDelayUS int64 `json:"latest_dispatch_us"`
}

func (r *Result) addProblem(format string, args ...any) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
	}
}

// Goodput returns the answers, whole or partial, for each second of the load
// after the warm-up.
func (r *Result) Goodput() float64 {
	seconds := float64(r.DurationMS-r.WarmUpMS) / 1000

	return float64(r.Counts.Whole+r.Counts.Partial) / seconds
}

// Counts are the figures of a phase.
type Counts struct {
	// A query is Whole or Partial if it was answered, Refused if it failed with
	// the fate not run, Interrupted if its connection broke, and Failed otherwise.
	// Interrupted also counts tries of non-repeatable requests.
	Queries     uint64 `json:"queries"`
	Whole       uint64 `json:"whole"`
	Partial     uint64 `json:"partial"`
	Refused     uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	Interrupted uint64 `json:"interrupted"`

	// Crossed, MixedSnapshot and FalseCoverage count answers with that finding.
	Crossed       uint64 `json:"crossed"`
	MixedSnapshot uint64 `json:"mixed_snapshot"`
	FalseCoverage uint64 `json:"falsely_covered"`

	// Executes counts non-repeatable requests, ExecutesRan those answered,
	// Repeated those sent more than once.
	Executes    uint64 `json:"executes"`
	ExecutesRan uint64 `json:"executes_ran"`
	Repeated    uint64 `json:"repeated"`
	// Doubled counts keys that ran more than once, FalseNotRun keys that ran
	// although an answer said not run.
	Doubled     uint64 `json:"doubled"`
	FalseNotRun uint64 `json:"false_not_run"`

	// ShardsIncluded of ShardsAsked shards are in the answers; refused queries
	// asked for none.
	ShardsIncluded uint64 `json:"shards_included"`
	ShardsAsked    uint64 `json:"shards_asked"`
	// Attempts is the sum of the attempts that answers report, MinAttempts the
	// fewest that these answers needed.
	Attempts    uint64 `json:"attempts_stated"`
	MinAttempts uint64 `json:"least_stated"`
	// SearcherRuns is counted by the searchers over the whole phase, cancelled
	// runs included; MinRuns is the fewest that the requests needed.
	SearcherRuns uint64 `json:"searcher_runs"`
	MinRuns      uint64 `json:"least_runs"`
}

// Coverage returns the share of the shards asked for that answers include.
func (c Counts) Coverage() float64 { return ratio(c.ShardsIncluded, c.ShardsAsked) }

// Answered returns the share of the queries that got an answer, whole or
// partial.
func (c Counts) Answered() float64 { return ratio(c.Whole+c.Partial, c.Queries) }

// ExtraAttempts returns the attempts above MinAttempts as a share of it.
func (c Counts) ExtraAttempts() float64 { return ratio(c.Attempts, c.MinAttempts) - 1 }

// ExtraRuns returns the searchers' runs above MinRuns as a share of it.
func (c Counts) ExtraRuns() float64 { return ratio(c.SearcherRuns, c.MinRuns) - 1 }

// MustBeZero returns the names and values of the figures that must be zero.
func (c Counts) MustBeZero() []Figure {
	return []Figure{
		{"doubled", c.Doubled},
		{"crossed", c.Crossed},
		{"mixed snapshot", c.MixedSnapshot},
		{"falsely covered", c.FalseCoverage},
		{"false not run", c.FalseNotRun},
		{interrupted, c.Interrupted},
	}
}

// interrupted is the name of the figure in Counts.Interrupted.
const interrupted = "interrupted"

// allowsNonZero reports whether a figure may be above zero: an instance that is
// killed breaks the connections of its callers.
func (r *Result) allowsNonZero(figure string) bool {
	return figure == interrupted && slices.ContainsFunc(r.Faults, func(f workload.Fault) bool {
		return f.Kind == workload.InstanceKilled
	})
}

// Figure is a named count.
type Figure struct {
	Name  string
	Value uint64
}

// Outcome counts requests that ended without an answer.
type Outcome struct {
	Code  string `json:"code"`
	Fate  string `json:"fate"`
	Count uint64 `json:"count"`
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	Count uint64 `json:"count"`
	P50   int64  `json:"p50_us"`
	P99   int64  `json:"p99_us"`
	P999  int64  `json:"p999_us"`
	Max   int64  `json:"max_us"`
}

// QuantilePoint is one point of a distribution.
type QuantilePoint struct {
	Quantile float64 `json:"quantile"`
	US       int64   `json:"us"`
}

// Second holds the figures of the queries of one second of the schedule. P50 and
// P99 are latencies of whole answers, in microseconds.
type Second struct {
	Queries        uint64 `json:"queries"`
	P50            int64  `json:"p50_us"`
	P99            int64  `json:"p99_us"`
	ShardsIncluded uint64 `json:"shards_included"`
	ShardsAsked    uint64 `json:"shards_asked"`
	Attempts       uint64 `json:"attempts_stated"`
	MinAttempts    uint64 `json:"least_stated"`
}

// Coverage returns the share of the shards asked for that answers include.
func (s Second) Coverage() float64 { return ratio(s.ShardsIncluded, s.ShardsAsked) }

// ExtraAttempts returns the attempts above MinAttempts as a share of it.
func (s Second) ExtraAttempts() float64 { return ratio(s.Attempts, s.MinAttempts) - 1 }

// ratio returns a/b, or 1 if b is zero.
func ratio(a, b uint64) float64 {
	if b == 0 {
		return 1
	}

	return float64(a) / float64(b)
}

const (
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxProblems       = 20
	maxQuantile       = 0.9999
)

// recorder collects the figures of a phase. It is safe for concurrent use.
type recorder struct {
	mu               sync.Mutex // Guards the fields below.
	warmUp           time.Duration
	counts           Counts
	outcomes         map[Outcome]uint64
	whole            *hdrhistogram.Histogram
	all              *hdrhistogram.Histogram
	refused          *hdrhistogram.Histogram
	seconds          []second
	problems         []string
	maxDispatchDelay time.Duration
}

type second struct {
	Second

	whole *hdrhistogram.Histogram
}

func newRecorder(w *workload.Workload) *recorder {
	r := &recorder{
		warmUp: w.WarmUp(), outcomes: make(map[Outcome]uint64),
		whole: newHistogram(), all: newHistogram(), refused: newHistogram(),
		seconds: make([]second, int(w.Duration()/time.Second)+1),
	}

	for i := range r.seconds {
		r.seconds[i].whole = newHistogram()
	}

	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, significantDigits)
}

// recordDispatch records how late a request was sent.
func (r *recorder) recordDispatch(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.maxDispatchDelay = max(r.maxDispatchDelay, late)
}

// queryRecord is the outcome of one query.
type queryRecord struct {
	at       time.Duration // The intended time of arrival since the start of the load.
	latency  time.Duration // Since the intended time of arrival.
	shards   uint32
	included uint32
	attempts uint32
	failure  *failure
	problems []problem
}

// recordQuery records a query. During the warm-up, only its wrong answers and
// the runs that it needed count.
func (r *recorder) recordQuery(e queryRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.addProblems(e.problems)

	if e.failure == nil || !e.failure.notRun() {
		r.counts.MinRuns += uint64(e.shards)
	}

	if e.at < r.warmUp {
		return
	}

	r.counts.Queries++

	sec := &r.seconds[min(int(e.at/time.Second), len(r.seconds)-1)]
	sec.Queries++

	if e.failure != nil {
		r.addFailure(*e.failure)

		if e.failure.notRun() {
			record(r.refused, e.latency)

			return
		}
	}

	record(r.all, e.latency)

	r.counts.ShardsAsked += uint64(e.shards)
	sec.ShardsAsked += uint64(e.shards)

	if e.failure != nil {
		return
	}

	r.counts.ShardsIncluded += uint64(e.included)
	r.counts.Attempts += uint64(e.attempts)
	r.counts.MinAttempts += uint64(e.shards)
	sec.ShardsIncluded += uint64(e.included)
	sec.Attempts += uint64(e.attempts)
	sec.MinAttempts += uint64(e.shards)

	if e.included < e.shards {
		r.counts.Partial++

		return
	}

	r.counts.Whole++
	record(r.whole, e.latency)
	record(sec.whole, e.latency)
}

// recordExecute records a non-repeatable request.
func (r *recorder) recordExecute(at time.Duration, e executeRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()

	f := e.last()
	if f == nil || !f.notRun() {
		r.counts.MinRuns++
	}

	if at < r.warmUp {
		return
	}

	r.counts.Executes++

	if len(e.failures) > 1 || e.answered && len(e.failures) > 0 {
		r.counts.Repeated++
	}

	for _, t := range e.failures {
		if t.interrupted {
			r.counts.Interrupted++
		}
	}

	if f == nil {
		r.counts.ExecutesRan++

		return
	}

	r.addOutcome(*f)
}

// recordProblem records a wrong answer to a non-repeatable request.
func (r *recorder) recordProblem(p problem) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.addProblems([]problem{p})
}

func (r *recorder) addFailure(f failure) {
	r.addOutcome(f)

	switch {
	case f.interrupted:
		r.counts.Interrupted++
	case f.notRun():
		r.counts.Refused++
	default:
		r.counts.Failed++
	}
}

func (r *recorder) addOutcome(f failure) {
	r.outcomes[Outcome{Code: f.code, Fate: f.fate.String()}]++
}

func (r *recorder) addProblems(problems []problem) {
	seen := make(map[finding]bool, len(problems))

	for _, p := range problems {
		if len(r.problems) < maxProblems {
			r.problems = append(r.problems, string(p.finding)+": "+p.detail)
		}

		if seen[p.finding] {
			continue
		}

		seen[p.finding] = true

		switch p.finding {
		case crossed:
			r.counts.Crossed++
		case mixedSnapshot:
			r.counts.MixedSnapshot++
		case falseCoverage:
			r.counts.FalseCoverage++
		}
	}
}

// result returns what was recorded.
func (r *recorder) result(w *workload.Workload, system string) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := &Result{
		Workload: w.Name, System: system, DurationMS: w.DurationMS, WarmUpMS: w.WarmUpMS, Counts: r.counts,
		Latency: quantiles(r.whole), LatencyAll: quantiles(r.all), LatencyRefused: quantiles(r.refused),
		Distribution: distribution(r.whole), Faults: w.Faults, Problems: r.problems,
		MaxDispatchDelayUS: r.maxDispatchDelay.Microseconds(),
	}

	for _, o := range slices.SortedFunc(maps.Keys(r.outcomes), func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Fate, b.Fate))
	}) {
		o.Count = r.outcomes[o]
		out.Outcomes = append(out.Outcomes, o)
	}

	for _, s := range r.seconds {
		q := quantiles(s.whole)
		s.P50, s.P99 = q.P50, q.P99
		out.Seconds = append(out.Seconds, s.Second)
	}

	return out
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: uint64(h.TotalCount()), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

// distribution returns points up to maxQuantile, denser towards the tail.
func distribution(h *hdrhistogram.Histogram) []QuantilePoint {
	var out []QuantilePoint

	for tail := 1.0; tail > 1-maxQuantile; tail *= 0.9 {
		q := 1 - tail
		out = append(out, QuantilePoint{Quantile: q, US: h.ValueAtQuantile(q * 100)})
	}

	return out
}

// CheckResults returns an error that names each figure of the product that must be
// zero and isn't.
func CheckResults(results []*Result) error {
	var wrong []string

	for _, r := range results {
		if r.System != Product {
			continue
		}

		for _, f := range r.Counts.MustBeZero() {
			if f.Value > 0 && !r.allowsNonZero(f.Name) {
				wrong = append(wrong, fmt.Sprintf("%s: %d", f.Name, f.Value))
			}
		}
	}

	if len(wrong) > 0 {
		return errors.New("figures that must be zero aren't: " + strings.Join(wrong, ", "))
	}

	return nil
}
