package routing

import (
	"time"

	"primrosespring.example/internal/domain"
)

// maxUnhealthyPermille is the share of a service's searchers, in 1/1,000, that
// health signals may report as unusable. Above it the source of the signals is
// more likely at fault than the searchers, and only the outcomes of requests and
// the loads reported with them count.
const maxUnhealthyPermille = 500

// Configure sets the services in force. It removes searchers that no service
// names and that have no outstanding request.
func (t *Table) Configure(c *domain.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.services = make(map[string][]string, len(c.Services))
	configured := make(map[string]bool)

	for _, s := range c.Services {
		var ids []string

		for _, sh := range s.PartitionMap.Shards {
			for _, sr := range sh.Searchers {
				ids = append(ids, sr.ID)
				configured[sr.ID] = true
			}
		}

		t.services[s.Name] = ids
	}

	for id, st := range t.searchers {
		if !configured[id] && st.outstanding == 0 {
			delete(t.searchers, id)
		}
	}

	t.updateHealth()
}

// Retain removes the searchers for which keep returns false and that have no
// outstanding request and no pause.
func (t *Table) Retain(keep func(searcher string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()

	for id, st := range t.searchers {
		if st.outstanding == 0 && !now.Before(st.pausedUntil) && !keep(id) {
			delete(t.searchers, id)
		}
	}
}

// SetLeaving replaces the set of searchers that the platform's list reports as
// leaving. They get no new work, unless health signals are ignored.
func (t *Table) SetLeaving(searchers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, st := range t.searchers {
		st.leaving = false
	}

	for _, id := range searchers {
		t.state(id).leaving = true
	}

	t.updateHealth()
}

// SetStatus records an answer of a searcher's status endpoint. Its Running and
// Queued are used only if no load was reported for MaxReportAge.
func (t *Table) SetStatus(now time.Time, searcher string, healthy bool, load *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.state(searcher)
	st.unhealthy = !healthy

	if load != nil {
		st.statusLoad(now, load)
	}

	// The process answers, so a request may probe at once whether it serves.
	if st.failures > 0 && !st.probing && healthy {
		st.probeAt = now
	}
}

// SetUnreachable records a failed status request. It is a health signal, not a
// failure, since the searcher may still serve requests.
func (t *Table) SetUnreachable(searcher string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.state(searcher).unhealthy = true
}

// UpdateHealth decides for each service whether health signals are ignored. Call
// it after a round of SetStatus and SetUnreachable.
func (t *Table) UpdateHealth() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.updateHealth()
}

func (s *state) statusLoad(now time.Time, l *Load) {
	s.statusDraining = l.Draining
	if !l.Draining && now.Sub(s.drainingAt) >= drainingTTL {
		s.draining = false
	}

	if now.Sub(s.reportedAt) >= s.maxReportAge {
		s.reported, s.reportedAt, s.sentSince = l.Running+l.Queued, now, 0
	}

	if l.Cold && !s.cold {
		s.limit.SlowStart()
	}

	s.cold = l.Cold
}

func (t *Table) updateHealth() {
	for _, st := range t.searchers {
		st.ignoreHealth = false
	}

	for _, ids := range t.services {
		unhealthy := 0

		for _, id := range ids {
			if st := t.state(id); st.leaving || st.unhealthy || st.statusDraining {
				unhealthy++
			}
		}

		if unhealthy*domain.Permille <= len(ids)*maxUnhealthyPermille {
			continue
		}

		for _, id := range ids {
			t.state(id).ignoreHealth = true
		}
	}
}
