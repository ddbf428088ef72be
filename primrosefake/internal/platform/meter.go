package platform

import (
	"net/http"
	"sync"
	"time"
)

// meterWindow is the number of whole seconds that a rate is taken over.
const meterWindow = 10

type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
	callKinds
)

// meter counts calls by caller. Its zero value is ready to use.
type meter struct {
	mu        sync.Mutex // Guards all below.
	total     usage
	callers   map[string]*usage
	conflicts int64
}

// usage is the calls of one caller, or of all.
type usage struct {
	counts  [callKinds]series
	waiting int
}

// series counts events, in all and for each of the latest seconds.
type series struct {
	total   int64
	peak    int64 // The most in one second.
	seconds [meterWindow + 1]int64
	newest  int64 // The Unix second that the latest event was counted in.
	first   int64
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

// advance clears the seconds since the newest event.
func (s *series) advance(now int64) {
	from := max(s.newest+1, now-int64(len(s.seconds))+1)
	for t := from; t <= now; t++ {
		s.seconds[t%int64(len(s.seconds))] = 0
	}

	s.newest = max(s.newest, now)
}

// rate returns the events a second over the whole seconds of the window.
func (s *series) rate(now int64) float64 {
	s.advance(now)

	var sum int64

	for t := now - meterWindow; t < now; t++ {
		sum += s.seconds[t%int64(len(s.seconds))]
	}

	return float64(sum) / float64(min(max(now-s.first, 1), meterWindow))
}

// begin counts a call and returns what ends it.
func (m *meter) begin(kind callKind, caller string, now time.Time) (done func()) {
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

func (m *meter) conflict() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.conflicts++
}

// Reading is one kind of calls in the answer of GET /fake/meter.
type Reading struct {
	Total int64 `json:"total"`
	// RatePerS is the mean over the last 10 whole seconds, or fewer at first.
	RatePerS float64 `json:"rate_per_s"`
	// PeakPerS is the most calls in any second.
	PeakPerS int64 `json:"peak_per_s"`
}

// Readings are the calls of one caller, or of all.
type Readings struct {
	Reads   Reading `json:"reads"`
	Writes  Reading `json:"writes"`
	Watches Reading `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
}

// MeterReadings is the answer of GET /fake/meter.
type MeterReadings struct {
	Total     Readings            `json:"total"`
	Conflicts int64               `json:"conflicts"`
	Callers   map[string]Readings `json:"callers"`
}

func (u *usage) readings(now int64) Readings {
	read := func(kind callKind) Reading {
		s := &u.counts[kind]

		return Reading{s.total, s.rate(now), s.peak}
	}

	return Readings{read(callRead), read(callWrite), read(callWatch), u.waiting}
}

func (m *meter) readings(now time.Time) MeterReadings {
	m.mu.Lock()
	defer m.mu.Unlock()

	r := MeterReadings{m.total.readings(now.Unix()), m.conflicts, make(map[string]Readings, len(m.callers))}
	for name, c := range m.callers {
		r.Callers[name] = c.readings(now.Unix())
	}

	return r
}

// reset clears the counts; watches that wait stay counted as waiting.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.conflicts = 0
	m.total.counts = [callKinds]series{}

	for _, c := range m.callers {
		c.counts = [callKinds]series{}
	}
}

func (s *Server) getMeter(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.meter.readings(time.Now()))
}

func (s *Server) resetMeter(http.ResponseWriter, *http.Request) { s.meter.reset() }
