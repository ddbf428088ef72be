// Package snapshot chooses the index version that a query is pinned to.
package snapshot

import (
	"context"
	"maps"
	"sync"

	"primrosespring.example/internal/domain"
)

// Table records which snapshots each searcher holds. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Table struct {
	mu sync.RWMutex // Guards the fields below.
	// held maps each shard at a searcher to the snapshots held of it.
	held map[searcherShard]map[domain.Snapshot]bool
	// choices caches the choice for each service until a report changes what its
	// searchers hold or its partition map changes.
	choices map[string]choice
	// polled is the newest configuration version whose searchers have all been polled.
	polled uint64
	// changed is closed with the next change of held or polled; nil if nobody waits.
	changed chan struct{}
}

// searcherShard identifies a shard at one of its searchers.
type searcherShard struct {
	service  string
	shard    uint32
	searcher string
}

// choice is the cached result of Choose. It is valid only for this service pointer: a
// changed partition map comes with a new one.
type choice struct {
	service  *domain.Service
	snapshot domain.Snapshot
	ok       bool
	// complete says that every shard has a searcher that holds the snapshot.
	complete bool
}

// Report replaces the snapshots of one shard that searcher is known to hold.
func (t *Table) Report(service string, shard uint32, searcher string, held []domain.Snapshot) {
	set := make(map[domain.Snapshot]bool, len(held))
	for _, s := range held {
		set[s] = true
	}

	t.replace(searcherShard{service, shard, searcher}, set)
}

// ReportGone records that a searcher no longer holds a snapshot.
func (t *Table) ReportGone(service string, shard uint32, searcher string, s domain.Snapshot) {
	r := searcherShard{service, shard, searcher}

	t.mu.RLock()
	set := maps.Clone(t.held[r])
	t.mu.RUnlock()

	delete(set, s)
	t.replace(r, set)
}

// Holds reports whether searcher is known to hold the snapshot of a shard.
func (t *Table) Holds(service string, shard uint32, searcher string, s domain.Snapshot) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.held[searcherShard{service, shard, searcher}][s]
}

// Choose returns the snapshot of the service's partition map that covers the most
// shards, the newest on a tie, and whether any searcher holds one. The choice is
// computed once after each change.
func (t *Table) Choose(service *domain.Service) (domain.Snapshot, bool) {
	c := t.choice(service)

	return c.snapshot, c.ok
}

// AwaitChoice is Choose for a service of the given configuration version. Right after a
// change some searchers haven't reported yet what they hold of a new partition map: a
// snapshot that doesn't cover every shard is chosen only after all searchers have been
// polled, or when ctx ends.
func (t *Table) AwaitChoice(ctx context.Context, service *domain.Service, version uint64) (domain.Snapshot, bool) {
	c := t.choice(service)

	for !c.complete {
		polled, changed := t.watch()

		// Reports from before the call of watch don't close its channel.
		if c = t.choice(service); c.complete || polled >= version {
			break
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return c.snapshot, c.ok
		}
	}

	return c.snapshot, c.ok
}

// MarkPolled records that every searcher of the configuration version has reported what
// it holds, or has had the time for it.
func (t *Table) MarkPolled(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if version > t.polled {
		t.polled = version
		t.notify()
	}
}

// watch returns the polled version and a channel that is closed with the next change.
func (t *Table) watch() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.changed == nil {
		t.changed = make(chan struct{})
	}

	return t.polled, t.changed
}

// notify wakes the waiting calls of AwaitChoice; the caller holds mu.
func (t *Table) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

func (t *Table) choice(service *domain.Service) choice {
	t.mu.RLock()
	c, ok := t.choices[service.Name]
	t.mu.RUnlock()

	if ok && c.service == service {
		return c
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	c = t.bestChoice(service)

	if t.choices == nil {
		t.choices = make(map[string]choice)
	}

	t.choices[service.Name] = c

	return c
}

// Retain removes the records of searchers that the services of c don't name. The
// searchers of c have yet to be polled.
func (t *Table) Retain(c *domain.Configuration) {
	configured := make(map[searcherShard]bool)

	for _, s := range c.Services {
		for _, sh := range s.PartitionMap.Shards {
			for _, sr := range sh.Searchers {
				configured[searcherShard{s.Name, sh.Number, sr.ID}] = true
			}
		}
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	maps.DeleteFunc(t.held, func(r searcherShard, _ map[domain.Snapshot]bool) bool { return !configured[r] })
	clear(t.choices)
	t.polled = min(t.polled, max(c.Version, 1)-1)
}

// replace sets the snapshots of r unless they are known already. Sets are never changed
// in place.
func (t *Table) replace(r searcherShard, set map[domain.Snapshot]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if old, ok := t.held[r]; ok && maps.Equal(old, set) {
		return
	}

	if t.held == nil {
		t.held = make(map[searcherShard]map[domain.Snapshot]bool)
	}

	t.held[r] = set
	delete(t.choices, r.service)
	t.notify()
}

// bestChoice computes the choice for a service; the caller holds mu.
func (t *Table) bestChoice(service *domain.Service) choice {
	shards := make(map[domain.Snapshot]int)

	for _, sh := range service.PartitionMap.Shards {
		seen := make(map[domain.Snapshot]bool)

		for _, sr := range sh.Searchers {
			for s := range t.held[searcherShard{service.Name, sh.Number, sr.ID}] {
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

	return choice{service: service, snapshot: best, ok: count > 0, complete: count == len(service.PartitionMap.Shards)}
}
