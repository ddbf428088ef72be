package searcher

import (
	"sort"
	"time"
)

const (
	// limitWindow is the time in which arrivals are compared with the limit.
	limitWindow = 4 * time.Second
	// limitNotice is how long after its change a limit isn't compared yet: instances learn it
	// from answers.
	limitNotice = time.Second
)

// LimitStats compares arrivals with the limit that answers name, from a second after it last
// changed.
type LimitStats struct {
	RateLimit float64 `json:"rate_limit"`
	Arrivals  int     `json:"arrivals"`
	// MostInWindow is the most arrivals within 4 s, and Allowed what the limit allows in that
	// time.
	MostInWindow int     `json:"most_in_window"`
	Allowed      float64 `json:"allowed"`
	// Used is the share of the limit that the arrivals use from 4 s after the first one on.
	Used float64 `json:"used"`
}

// arrivals records when requests arrived while a limit is named.
type arrivals struct {
	limit float64
	since time.Time
	times []time.Time
}

// set changes the limit, from which on arrivals are recorded.
func (a *arrivals) set(now time.Time, limit float64) { *a = arrivals{limit: limit, since: now} }

func (a *arrivals) add(now time.Time) {
	if a.limit > 0 && now.Sub(a.since) >= limitNotice {
		a.times = append(a.times, now)
	}
}

func (a *arrivals) stats() LimitStats {
	r := LimitStats{RateLimit: a.limit, Arrivals: len(a.times), Allowed: a.limit * limitWindow.Seconds()}
	first := 0

	for last, at := range a.times {
		for a.times[first].Before(at.Add(-limitWindow)) {
			first++
		}

		r.MostInWindow = max(r.MostInWindow, last-first+1)
	}

	r.Used = a.used()

	return r
}

func (a *arrivals) used() float64 {
	if len(a.times) == 0 {
		return 0
	}

	last := len(a.times) - 1

	first := sort.Search(last, func(i int) bool { return a.times[i].Sub(a.times[0]) >= limitWindow })
	if first == last {
		return 0
	}

	return float64(last-first) / (a.limit * a.times[last].Sub(a.times[first]).Seconds())
}
