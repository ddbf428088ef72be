package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"primrosespring.example/internal/domain"
)

// tombstoneTTL is how long a removed searcher is remembered, so that a late
// write of its old registration isn't taken for a new searcher. It exceeds the
// longest delay of a write that the store carries out late (about 6 s).
const tombstoneTTL = time.Minute

// Target is one alternative of a route: its shards with their searchers. A
// route that isn't gathered has a single shard.
type Target struct {
	// Service carries the shards and the rules for the decision packages.
	Service *domain.Service
	// Pools names the pool of each shard.
	Pools  []string
	Weight uint32
}

// Entry is a route with its targets.
type Entry struct {
	Route   *domain.Route
	Targets []Target
}

// View is one version of the routes with one state of the registry. It is
// immutable.
type View struct {
	Table   *domain.RouteTable
	Entries []Entry
	// RegistryChange counts the changes of the registry; it tells views of one
	// configuration version apart.
	RegistryChange uint64
	// Searchers are all usable searchers by id.
	Searchers map[string]*domain.Searcher
}

// Match returns the route for a request.
func (v *View) Match(host, path string) (*Entry, bool) {
	i, ok := v.Table.Match(host, path)
	if !ok {
		return nil, false
	}

	return &v.Entries[i], true
}

// Directory holds the current View. Its zero value has no configuration. It is
// safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]

	mu       sync.Mutex // Guards what follows, and the order of views.
	table    *domain.RouteTable
	registry registry
	changes  uint64
	// listed says that a whole list of registrations has been taken.
	listed bool
}

// View returns the current view, or nil without a configuration.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether requests can be served: a configuration and a list of
// searchers are known.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.table != nil && d.listed
}

// Configure takes a configuration and reports whether it is newer than the one
// in force; an older or equal one changes nothing.
func (d *Directory) Configure(t *domain.RouteTable) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.table != nil && t.Version <= d.table.Version {
		return false
	}

	d.table = t
	d.rebuild(time.Now())

	return true
}

// ReplaceSearchers takes a whole list of registrations.
func (d *Directory) ReplaceSearchers(list []domain.Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()
	changed := d.registry.replace(now, list)
	d.listed = true

	if changed {
		d.rebuild(now)
	}

	return changed
}

// Configurations returns the configuration in force, if there is one, as a copy for
// other instances.
func (d *Directory) Configurations() []*domain.RouteTable {
	v := d.View()
	if v == nil {
		return nil
	}

	return []*domain.RouteTable{v.Table}
}

// Registrations returns the registrations that stand, as a copy for other
// instances. It reports false before the first list, and for RegistrationGrace after the
// store's return: who is missing then may be back in a moment, and an instance
// that takes the copy couldn't tell.
func (d *Directory) Registrations() ([]domain.Registration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.listed || time.Now().Before(d.registry.recoveredAt.Add(RegistrationGrace)) {
		return nil, false
	}

	return d.registry.current(), true
}

// SearcherChange is a new registration or the removal of one.
type SearcherChange struct {
	ID           string
	Registration domain.Registration
	Removed      bool
}

// ApplySearchers takes changes in their order and reports for each whether it
// changed anything. They make one new view together, since a view costs time in
// proportion to all routes and searchers.
func (d *Directory) ApplySearchers(changes []SearcherChange) []bool {
	applied := make([]bool, len(changes))

	d.update(func(now time.Time) bool {
		changed := false

		for i, c := range changes {
			if c.Removed {
				applied[i] = d.registry.remove(now, c.ID)
			} else {
				applied[i] = d.registry.put(c.Registration)
			}

			changed = changed || applied[i]
		}

		return changed
	})

	return applied
}

// Deny takes out a searcher at whose address another one answered, until it
// registers again.
func (d *Directory) Deny(id string) bool {
	return d.update(func(time.Time) bool {
		rec, ok := d.registry.records[id]
		if !ok || rec.denied {
			return false
		}

		rec.denied = true

		return true
	})
}

// StoreRecovered says that the store answers again after an outage. Removals
// around it take effect after RegistrationGrace; Expire is due then.
func (d *Directory) StoreRecovered() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.registry.recoveredAt = time.Now()
}

// Expire drops the searchers that haven't registered again by now.
func (d *Directory) Expire() {
	d.update(func(now time.Time) bool {
		d.registry.prune(now.Add(-tombstoneTTL))

		return true
	})
}

// Usable reports whether the searcher may get new requests now.
func (d *Directory) Usable(id string) bool {
	v := d.view.Load()
	if v == nil {
		return false
	}

	_, ok := v.Searchers[id]

	return ok
}

func (d *Directory) update(f func(now time.Time) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()
	if !f(now) {
		return false
	}

	d.rebuild(now)

	return true
}

// rebuild makes the view of the current state.
func (d *Directory) rebuild(now time.Time) {
	d.changes++

	if d.table == nil {
		return
	}

	pools := d.registry.pools(now)
	v := &View{
		Table: d.table, RegistryChange: d.changes, Entries: make([]Entry, len(d.table.Routes)),
		Searchers: make(map[string]*domain.Searcher),
	}
	shards := make(map[string]domain.Shard, len(d.table.Pools))

	for i := range d.table.Routes {
		r := &d.table.Routes[i]
		e := Entry{Route: r}

		if r.Gathered() {
			e.Targets = []Target{v.newTarget(r, r.Shards, 1, pools, shards)}
		}

		for _, w := range r.Split {
			e.Targets = append(e.Targets, v.newTarget(r, []string{w.Pool}, w.Weight, pools, shards))
		}

		v.Entries[i] = e
	}

	d.view.Store(v)
}

func (v *View) newTarget(r *domain.Route, names []string, weight uint32, pools map[string][]domain.Registration,
	shards map[string]domain.Shard,
) Target {
	s := &domain.Service{Name: r.Name, Version: v.Table.Version, Rules: rules(r)}
	s.PartitionMap = domain.PartitionMap{Version: v.Table.Version, Shards: make([]domain.Shard, len(names))}

	for i, name := range names {
		sh, ok := shards[name]
		if !ok {
			sh = v.newShard(name, pools[name])
			shards[name] = sh
		}

		for j := range sh.Searchers {
			sh.Searchers[j].Gathered = sh.Searchers[j].Gathered || r.Gathered()
		}

		sh.Number = uint32(i)
		s.PartitionMap.Shards[i] = sh
	}

	return Target{Service: s, Pools: names, Weight: weight}
}

// newShard makes one shard of a pool; the routes that name the pool share its
// searchers.
func (v *View) newShard(pool string, registrations []domain.Registration) domain.Shard {
	p, _ := v.Table.Pool(pool)
	sh := domain.Shard{Searchers: make([]domain.Searcher, len(registrations))}

	for i, reg := range registrations {
		sh.Searchers[i] = domain.Searcher{
			ID: reg.ID, Address: reg.Address, FailureDomain: reg.FailureDomain, Slots: reg.Slots, Connections: p.Connections,
		}
		v.Searchers[reg.ID] = &sh.Searchers[i]
	}

	return sh
}

// rules translates a route's rules for the decision packages.
func rules(r *domain.Route) domain.Rules {
	out := domain.Rules{
		TimeoutMS: uint32(min(r.Timeout.Milliseconds(), math.MaxUint32)), MaxAttempts: min(r.MaxAttempts, domain.MaxAttempts),
		MinCoveragePermille: domain.Permille, Repeatable: r.Repeatable, NonRepeatable: !r.Repeatable,
	}
	out.Hedging = r.Repeatable && out.MaxAttempts > 1

	if r.Gathered() {
		out.MinCoveragePermille = uint32(math.Ceil(r.MinCoverage * domain.Permille))
	}

	return out
}
