package routing

import (
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// maxPause bounds the pause that a searcher can ask for; a request tests it then.
	maxPause = time.Hour
	// pauseSpread is the share of a pause, at most, by which it is prolonged at random, so
	// that instances don't return to a searcher in the same moment.
	pauseSpread = 0.1
)

// Pause keeps all requests from a searcher that wants none of this instance for d, hedges
// and probes included. Requests under way go on. A pause is never shortened, and ends with
// the incarnation that asked for it. Pause returns the end of the pause in force and
// reports whether it changed.
func (t *Table) Pause(now time.Time, sr *domain.Searcher, d time.Duration) (until time.Time, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.state(sr.ID)
	if d <= 0 {
		return st.pausedUntil, false
	}

	d = min(d, maxPause)

	if !st.paused(now, sr) {
		st.pausedUntil = time.Time{}
		// It returns as a searcher whose capacity isn't known.
		st.limit.SlowStart()
	}

	if !now.Add(d).After(st.pausedUntil) {
		return st.pausedUntil, false
	}

	spread := time.Duration(float64(t.random()%1000) / 1000 * pauseSpread * float64(d))
	st.pausedUntil, st.pausedIncarnation = now.Add(d+spread), sr.Incarnation

	if st.pausedUntil.After(t.lastPauseEnd) {
		t.lastPauseEnd = st.pausedUntil
	}

	return st.pausedUntil, true
}

// SlowStart makes load return to a searcher slowly, since its capacity isn't known.
func (t *Table) SlowStart(searcher string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.state(searcher).limit.SlowStart()
}

// paused reports whether the searcher has asked for a pause that hasn't ended.
func (s *state) paused(now time.Time, sr *domain.Searcher) bool {
	return now.Before(s.pausedUntil) && s.pausedIncarnation == sr.Incarnation
}

// Paused reports whether the searcher has asked for a pause that hasn't ended.
func (t *Table) Paused(now time.Time, sr *domain.Searcher) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	st, ok := t.searchers[sr.ID]

	return ok && st.paused(now, sr)
}

// AnyPaused reports whether a pause of any searcher is in force.
func (t *Table) AnyPaused(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now.Before(t.lastPauseEnd)
}

// PausedUntil returns the earliest end of the pauses of a shard's searchers, or a zero time
// if one of them isn't paused.
func (t *Table) PausedUntil(now time.Time, sh *domain.Shard) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	var first time.Time

	for i := range sh.Searchers {
		st, ok := t.searchers[sh.Searchers[i].ID]
		if !ok || !st.paused(now, &sh.Searchers[i]) {
			return time.Time{}
		}

		if first.IsZero() || st.pausedUntil.Before(first) {
			first = st.pausedUntil
		}
	}

	return first
}
