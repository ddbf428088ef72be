package quota

import (
	"time"

	"primrosespring.example/internal/domain"
)

// Limit describes what is known of a searcher's limit.
type Limit struct {
	Rate float64
	// Source is the instance that told this one of it; empty if an answer did.
	Source string
	// Age is how long ago the searcher was last known to state it.
	Age time.Duration
}

// Limit returns the limit of a searcher, if it has one.
func (t *Table) Limit(now time.Time, sr *domain.Searcher) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.limited(now, sr)
	if st == nil {
		return Limit{}, false
	}

	return Limit{Rate: st.statement.Rate, Source: st.source, Age: max(now.Sub(st.stated.until), 0)}, true
}
