package platform

import (
	"net/http"
	"sync"
	"time"
)

// rateWindowSeconds is the number of whole seconds that a rate is averaged over.
const rateWindowSeconds = 10

type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
	numCallKinds
)

// meter counts calls by caller. Its zero value is ready to use.
type meter struct {
	mu        sync.Mutex // Guards the fields below.
	total     usage
	callers   map[string]*usage
	conflicts int64
}

// usage counts the calls of one caller, or of all.
type usage struct {
	counts  [numCallKinds]series
	waiting int // Watches that wait now.
}

// series counts events, in total and for each of the latest seconds.
type series struct {
	total   int64
	peak    int64                        // The most in one second.
	seconds [rateWindowSeconds + 1]int64 // Indexed by the Unix second modulo the length.
	newest  int64                        // The latest Unix second that seconds covers.
	first   int64                        // The Unix second of the first event; 0 if there was none.
}

func (s *series) add(now int64) {
	s.advance(now)

	if s.first == 0 {
		s.first = now
	}

	s.total++
	n := &s.seconds[now%int64(len(s.seconds))]
	*n++
	s.peak = max(s.peak, *n)
}

// advance clears the counts of the seconds after newest, up to now.
func (s *series) advance(now int64) {
	from := max(s.newest+1, now-int64(len(s.seconds))+1)
	for t := from; t <= now; t++ {
		s.seconds[t%int64(len(s.seconds))] = 0
	}

	s.newest = max(s.newest, now)
}

// rate returns the mean events per second over the window, without the current
// second. The window begins no earlier than the first event.
func (s *series) rate(now int64) float64 {
	s.advance(now)

	var sum int64

	for t := now - rateWindowSeconds; t < now; t++ {
		sum += s.seconds[t%int64(len(s.seconds))]
	}

	return float64(sum) / float64(min(max(now-s.first, 1), rateWindowSeconds))
}

// start counts a call and returns a function that marks its end.
func (m *meter) start(kind callKind, caller string, now time.Time) (done func()) {
	if caller == "" {
		caller = "unknown"
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.callers == nil {
		m.callers = make(map[string]*usage)
	}

	c := m.callers[caller]
	if c == nil {
		c = &usage{}
		m.callers[caller] = c
	}

	m.total.counts[kind].add(now.Unix())
	c.counts[kind].add(now.Unix())

	if kind != callWatch {
		return func() {}
	}

	m.total.waiting++
	c.waiting++

	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()

		m.total.waiting--
		c.waiting--
	}
}

func (m *meter) addConflict() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.conflicts++
}

// CallStats holds the counts of one kind of call.
type CallStats struct {
	Total int64 `json:"total"`
	// RatePerS is the mean over the last 10 whole seconds, or fewer at first.
	RatePerS float64 `json:"rate_per_s"`
	// PeakPerS is the most calls in any second.
	PeakPerS int64 `json:"peak_per_s"`
}

// CallerStats holds the counts of one caller, or of all.
type CallerStats struct {
	Reads   CallStats `json:"reads"`
	Writes  CallStats `json:"writes"`
	Watches CallStats `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
}

// MeterStats is the response to GET /fake/meter.
type MeterStats struct {
	Total     CallerStats            `json:"total"`
	Conflicts int64                  `json:"conflicts"`
	Callers   map[string]CallerStats `json:"callers"`
}

func (u *usage) stats(now int64) CallerStats {
	kindStats := func(kind callKind) CallStats {
		s := &u.counts[kind]

		return CallStats{s.total, s.rate(now), s.peak}
	}

	return CallerStats{kindStats(callRead), kindStats(callWrite), kindStats(callWatch), u.waiting}
}

func (m *meter) stats(now time.Time) MeterStats {
	m.mu.Lock()
	defer m.mu.Unlock()

	r := MeterStats{m.total.stats(now.Unix()), m.conflicts, make(map[string]CallerStats, len(m.callers))}
	for name, c := range m.callers {
		r.Callers[name] = c.stats(now.Unix())
	}

	return r
}

// reset clears the counts, except those of the watches that wait now.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.conflicts = 0
	m.total.counts = [numCallKinds]series{}

	for _, c := range m.callers {
		c.counts = [numCallKinds]series{}
	}
}

func (s *Server) getMeter(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.meter.stats(time.Now()))
}

func (s *Server) resetMeter(http.ResponseWriter, *http.Request) { s.meter.reset() }
