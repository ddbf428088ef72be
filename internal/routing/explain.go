package routing

import (
	"cmp"
	"math"
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quota"
)

// SearcherInfo is the routing state of one searcher of a shard.
type SearcherInfo struct {
	Searcher string
	// Expected is the expected time to the answer of a request sent now, whatever
	// its class.
	Expected time.Duration
	// Outstanding counts this instance's requests at the searcher, and Queued is
	// the expected number of all requests there, running ones included.
	Outstanding int
	Queued      int
	// Limit is how many requests this instance may keep outstanding.
	Limit int
	// Limited says that the searcher has named RateLimit; PausedFor is for how much longer it
	// wants no request.
	Limited   bool
	RateLimit quota.Limit
	PausedFor time.Duration
	// Excluded says why the searcher can't be chosen; it is empty if it can.
	Excluded domain.Code
}

// Explain returns the choice that r would get and the state of each searcher of
// its shard. It changes no state and draws no random number. In a shard so large
// that Choose samples it, Explain compares all searchers instead.
func (t *Table) Explain(now time.Time, r Request) (Choice, []SearcherInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var best candidate

	r.heedQuota = t.Quota != nil && t.Quota.Active()
	refusal := domain.CodeNoLiveSearcher
	infos := make([]SearcherInfo, 0, len(r.Shard.Searchers))

	for i := range r.Shard.Searchers {
		sr := &r.Shard.Searchers[i]

		st, ok := t.searchers[sr.ID]
		if !ok {
			st = newState(cmp.Or(t.MaxReportAge, defaultMaxReportAge))
		}

		c, code := t.evaluate(now, &r, sr, st)
		info := SearcherInfo{
			Searcher: sr.ID, Expected: st.expected(now, sr, r.LocalDomain), Outstanding: st.outstanding,
			Queued: int(math.Round(st.queueLength(now))), Limit: st.limit.Allowed(sr.Slots), Excluded: code,
		}

		if t.Quota != nil {
			info.RateLimit, info.Limited = t.Quota.Limit(now, sr)
		}

		if st.paused(now, sr) {
			info.PausedFor = st.pausedUntil.Sub(now)
		}

		infos = append(infos, info)

		switch {
		case c.searcher == nil:
			refusal = moreTransient(refusal, code)
		case !best.probe && (c.probe || c.better(best)):
			best = c
		}
	}

	if best.searcher == nil {
		return Choice{Refusal: refusal}, infos
	}

	return best.choice(), infos
}
