// Package limits adapts how many requests an instance keeps outstanding at one
// searcher. Instances that share a searcher don't see each other's requests, so
// each infers the others' load from its own queueing times there and from the
// requests that the searcher sheds.
package limits

import "time"

// Limit is the concurrency limit for one searcher. The zero value allows a few
// times the searcher's slots, since an instance's requests come in bursts and only
// overload shows that the searcher can't take them. It isn't safe for concurrent
// use: its owner's lock guards it.
type Limit struct {
	value     float64
	slowStart bool
	window    window
	cutAt     time.Time
}

// window sums the answers since the last adjustment.
type window struct {
	started time.Time
	answers int
	wait    time.Duration
	service time.Duration
}

// Sample is the load of a searcher as measured by one answer.
type Sample struct {
	// Wait is the part of the latency spent in the searcher's queue.
	Wait time.Duration
	// Service is the searcher's mean service time of one request.
	Service time.Duration
}

const (
	// maxSlotsMultiple bounds the limit as a multiple of the searcher's slots.
	maxSlotsMultiple = 4
	// The limit falls while requests wait for more than maxWaitFactor service
	// times on average, and rises below targetWaitFactor. A short queue keeps the
	// slots busy; the gap between the two keeps the limit from oscillating.
	maxWaitFactor    = 1.5
	targetWaitFactor = 0.75
	// A window ends after windowAnswers answers, or after windowTime with at least
	// minAnswers; the mean of fewer answers is mostly noise.
	windowAnswers = 8
	windowTime    = 200 * time.Millisecond
	minAnswers    = 3
	// A long wait multiplies the limit by minCutFactor to maxCutFactor, a shed by
	// shedCutFactor.
	maxCutFactor = 0.9
	minCutFactor = 0.5
	// initialSlotsMultiple is the limit before the first window has ended, as a
	// multiple of the slots.
	initialSlotsMultiple = 2
	shedCutFactor        = 0.7
	// cutInterval is the least time between two cuts for sheds, since requests
	// sent before the first cut are shed after it.
	cutInterval = 20 * time.Millisecond
)

// Allowed returns how many requests may be outstanding, at least 1.
func (l *Limit) Allowed(slots uint32) int {
	if l.value == 0 {
		return initialSlotsMultiple * int(slots)
	}

	return max(int(l.value), 1)
}

// SlowStart sets the limit to one request and doubles it after each window up to
// the slots, until a window has a long wait or a request is shed.
func (l *Limit) SlowStart() {
	l.value, l.slowStart = 1, true
	l.window = window{}
}

// Answered adds the sample of one answer.
func (l *Limit) Answered(now time.Time, slots uint32, s Sample) {
	w := &l.window
	if w.answers == 0 {
		w.started = now
	}

	w.answers++
	w.wait += s.Wait
	w.service += s.Service

	if w.answers >= windowAnswers || (w.answers >= minAnswers && now.Sub(w.started) >= windowTime) {
		l.adjust(slots)
	}
}

// Shed lowers the limit after a request that the searcher shed.
func (l *Limit) Shed(now time.Time, slots uint32) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}

	l.cutAt = now
	l.slowStart = false
	l.value = max(float64(l.Allowed(slots))*shedCutFactor, 1)
	l.window = window{}
}

func (l *Limit) adjust(slots uint32) {
	w := l.window
	l.window = window{}

	if l.value == 0 {
		l.value = initialSlotsMultiple * float64(slots)
	}

	switch {
	case float64(w.wait) > maxWaitFactor*float64(w.service):
		// The cut is proportional to the excess, so that a long queue drains within
		// a few windows.
		ratio := maxWaitFactor * float64(w.service) / float64(w.wait)
		l.value = max(l.value*min(max(ratio, minCutFactor), maxCutFactor), 1)
		l.slowStart = false
	case l.slowStart:
		l.value *= 2
		l.slowStart = l.value < float64(slots)
	case float64(w.wait) < targetWaitFactor*float64(w.service):
		l.value++
	}

	l.value = min(l.value, maxSlotsMultiple*float64(slots))
}
