// Package snapshot chooses the index version that a query is pinned to.
package snapshot

import (
	"maps"
	"sync"

	"primrosespring.example/internal/domain"
)

// Table records which snapshots each searcher holds. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Table struct {
	mu sync.RWMutex // Guards what follows.
	// held maps service, shard and searcher to the snapshots held there.
	held map[holding]map[domain.Snapshot]bool
	// chosen keeps the choice for each service until a report about the
	// service changes something or its partition map changes.
	chosen map[string]choice
}

type holding struct {
	service  string
	shard    uint32
	searcher string
}

type choice struct {
	service  *domain.Service
	snapshot domain.Snapshot
	ok       bool
}

// Report replaces what searcher is known to hold of one shard.
func (t *Table) Report(service string, shard uint32, searcher string, held []domain.Snapshot) {
	set := make(map[domain.Snapshot]bool, len(held))
	for _, s := range held {
		set[s] = true
	}

	t.replace(holding{service, shard, searcher}, set)
}

// Gone takes a searcher's word that it doesn't hold a snapshot any more.
func (t *Table) Gone(service string, shard uint32, searcher string, s domain.Snapshot) {
	h := holding{service, shard, searcher}

	t.mu.RLock()
	set := maps.Clone(t.held[h])
	t.mu.RUnlock()

	delete(set, s)
	t.replace(h, set)
}

// Holds reports whether searcher is known to hold the snapshot of a shard.
func (t *Table) Holds(service string, shard uint32, searcher string, s domain.Snapshot) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.held[holding{service, shard, searcher}][s]
}

// Choose returns the snapshot of the service's partition map that covers most
// shards, the newest on a tie, and whether any searcher holds one. It is
// computed once after each change.
func (t *Table) Choose(service *domain.Service) (domain.Snapshot, bool) {
	t.mu.RLock()
	c, ok := t.chosen[service.Name]
	t.mu.RUnlock()

	if ok && c.service == service {
		return c.snapshot, c.ok
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	c = choice{service: service}
	c.snapshot, c.ok = t.best(service)

	if t.chosen == nil {
		t.chosen = make(map[string]choice)
	}

	t.chosen[service.Name] = c

	return c.snapshot, c.ok
}

// Retain forgets what the services of c don't name.
func (t *Table) Retain(c *domain.Configuration) {
	named := make(map[holding]bool)

	for _, s := range c.Services {
		for _, sh := range s.PartitionMap.Shards {
			for _, sr := range sh.Searchers {
				named[holding{s.Name, sh.Number, sr.ID}] = true
			}
		}
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	maps.DeleteFunc(t.held, func(h holding, _ map[domain.Snapshot]bool) bool { return !named[h] })
	clear(t.chosen)
}

// replace installs set unless it equals what is known. Sets are never changed
// in place.
func (t *Table) replace(h holding, set map[domain.Snapshot]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if old, ok := t.held[h]; ok && maps.Equal(old, set) {
		return
	}

	if t.held == nil {
		t.held = make(map[holding]map[domain.Snapshot]bool)
	}

	t.held[h] = set
	delete(t.chosen, h.service)
}

func (t *Table) best(service *domain.Service) (domain.Snapshot, bool) {
	shards := make(map[domain.Snapshot]int)

	for _, sh := range service.PartitionMap.Shards {
		seen := make(map[domain.Snapshot]bool)

		for _, sr := range sh.Searchers {
			for s := range t.held[holding{service.Name, sh.Number, sr.ID}] {
				if s.PartitionMapVersion == service.PartitionMap.Version && !seen[s] {
					seen[s] = true
					shards[s]++
				}
			}
		}
	}

	var (
		best  domain.Snapshot
		count int
	)

	for s, n := range shards {
		if n > count || (n == count && s.Newer(best)) {
			best, count = s, n
		}
	}

	return best, count > 0
}
