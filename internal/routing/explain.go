package routing

import (
	"cmp"
	"math"
	"time"

	"primrosespring.example/internal/domain"
)

// Standing is what the table knows of one searcher of a shard.
type Standing struct {
	Searcher string
	// Expected is the expected time to the answer of a request sent now.
	Expected time.Duration
	// Outstanding counts this instance's own requests, and Queued is the expected
	// number of all requests at the searcher.
	Outstanding int
	Queued      int
	// Limit is how many requests this instance may keep outstanding.
	Limit int
	// Excluded says why the searcher can't be chosen; empty if it can.
	Excluded domain.Code
}

// Explain returns the choice that r would get and the standing of each searcher
// of its shard. It reserves nothing, learns nothing and draws no random number.
// Of a shard so large that Choose draws from it, it names the best searcher.
func (t *Table) Explain(now time.Time, r Request) (Choice, []Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var best candidate

	refusal := domain.CodeNoLiveSearcher
	standings := make([]Standing, 0, len(r.Shard.Searchers))

	for i := range r.Shard.Searchers {
		sr := &r.Shard.Searchers[i]

		st, ok := t.searchers[sr.ID]
		if !ok {
			st = newState(cmp.Or(t.ReportAge, defaultReportAge))
		}

		c, code := t.consider(now, &r, sr, st)
		standings = append(standings, Standing{
			Searcher: sr.ID, Expected: st.expected(now, sr, r.Nearby), Outstanding: st.outstanding,
			Queued: int(math.Round(st.queue(now))), Limit: st.limit.Allowed(sr.Slots), Excluded: code,
		})

		switch {
		case c.searcher == nil:
			refusal = moreTelling(refusal, code)
		case !best.probe && (c.probe || c.better(best)):
			best = c
		}
	}

	if best.searcher == nil {
		return Choice{Refusal: refusal}, standings
	}

	return best.choice(), standings
}
