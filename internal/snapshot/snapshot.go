// Package snapshot chooses the index version that a query is pinned to.
package snapshot

import (
	"sync"

	"primrosespring.example/internal/domain"
)

// Table records which snapshots each searcher holds. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex // Guards held.
	// held maps service and searcher to the snapshots of each shard.
	held map[holding]map[domain.Snapshot]bool
}

type holding struct {
	service  string
	shard    uint32
	searcher string
}

// Report replaces what searcher is known to hold of one shard.
func (t *Table) Report(service string, shard uint32, searcher string, held []domain.Snapshot) {
	set := make(map[domain.Snapshot]bool, len(held))
	for _, s := range held {
		set[s] = true
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.held == nil {
		t.held = make(map[holding]map[domain.Snapshot]bool)
	}

	t.held[holding{service, shard, searcher}] = set
}

// Holds reports whether searcher is known to hold the snapshot of a shard.
func (t *Table) Holds(service string, shard uint32, searcher string, s domain.Snapshot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.held[holding{service, shard, searcher}][s]
}

// Choose returns the snapshot of the service's partition map that covers most
// shards, the newest on a tie, and whether any searcher holds one.
func (t *Table) Choose(service *domain.Service) (domain.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

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
