// Package routing chooses the searcher that gets a sub-query. A Table keeps
// what the instance knows of each searcher: its own outstanding requests, the
// load that the searcher reported in its answers, latencies and failures.
package routing

import (
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

// Outcome is how an attempt ended, as far as routing is concerned.
type Outcome uint8

const (
	// Answered means that the searcher answered in full.
	Answered Outcome = iota
	// Shed means that the searcher refused the request without running it.
	Shed
	// Unreachable means that no request could be sent, or the connection broke.
	Unreachable
	// Cancelled means that this instance gave the attempt up.
	Cancelled
)

// Load is the searcher's own word on its load, from an answer.
type Load struct {
	Running  uint32
	Queued   uint32
	Draining bool
	Service  time.Duration
}

// Request asks for a searcher of one shard.
type Request struct {
	Shard *domain.Shard
	// Avoid lists searchers that were tried already; they are chosen only when
	// no other is left.
	Avoid []string
	// Eligible reports whether a searcher can answer from the pinned snapshot.
	Eligible func(searcher string) bool
	// Nearby is the failure domain of this instance.
	Nearby string
}

// Choice is the searcher chosen, with the expected time to its answer.
type Choice struct {
	Searcher *domain.Searcher
	Expected time.Duration
}

// Table is safe for concurrent use; its zero value is empty and ready to use.
type Table struct {
	mu        sync.Mutex // Guards searchers and the values in it.
	searchers map[string]*state
}

type state struct {
	outstanding int
	latency     time.Duration
	draining    bool
	retryAt     time.Time
	backoff     time.Duration
}

const (
	initialLatency = 5 * time.Millisecond
	latencyWeight  = 8
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Choose picks the searcher with the least expected time, and reserves a place
// on it until Release. It reports false if no searcher can be used.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var (
		best      *domain.Searcher
		bestState *state
		bestCost  time.Duration
		bestTried bool
	)

	for i := range r.Shard.Searchers {
		sr := &r.Shard.Searchers[i]
		st := t.state(sr.ID)

		if sr.Draining || st.draining || now.Before(st.retryAt) || (r.Eligible != nil && !r.Eligible(sr.ID)) {
			continue
		}

		tried := slices.Contains(r.Avoid, sr.ID)
		cost := st.expected(sr)

		if best == nil || (bestTried && !tried) || (bestTried == tried && cost < bestCost) {
			best, bestState, bestCost, bestTried = sr, st, cost, tried
		}
	}

	if best == nil {
		return Choice{}, false
	}

	bestState.outstanding++

	return Choice{Searcher: best, Expected: bestCost}, true
}

// Release ends the reservation that Choose made. latency is the time from send
// to end; load is nil unless the searcher answered.
func (t *Table) Release(now time.Time, searcher string, outcome Outcome, latency time.Duration, load *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.state(searcher)
	st.outstanding--

	if load != nil {
		st.draining = load.Draining
	}

	switch outcome {
	case Answered:
		st.backoff, st.retryAt = 0, time.Time{}
		st.latency += (latency - st.latency) / latencyWeight
	case Unreachable:
		st.backoff = min(max(2*st.backoff, minBackoff), maxBackoff)
		st.retryAt = now.Add(st.backoff)
	case Shed, Cancelled:
	}
}

func (t *Table) state(searcher string) *state {
	if t.searchers == nil {
		t.searchers = make(map[string]*state)
	}

	st, ok := t.searchers[searcher]
	if !ok {
		st = &state{latency: initialLatency}
		t.searchers[searcher] = st
	}

	return st
}

func (s *state) expected(sr *domain.Searcher) time.Duration {
	return s.latency + s.latency*time.Duration(s.outstanding)/time.Duration(sr.Slots)
}
