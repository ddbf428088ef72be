package directory

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"primrosespring.example/internal/domain"
)

// EvacuationGrace is for how long after the store's return from an older copy the evacuations of
// before stay in force. The operator writes what the store has lost again.
const EvacuationGrace = 10 * time.Second

// tombstoneTTL is how long a removed searcher is kept as a tombstone, so that a delayed
// write of its old registration isn't taken for a new searcher. The store delays writes
// by up to about 6 s.
const tombstoneTTL = time.Minute

// Target holds the shards of a route and their searchers. A gathered route has one
// target; any other route has one for each pool of its split, with a single shard.
type Target struct {
	// Service holds the shards and rules in the form that packages scatter and routing
	// use.
	Service *domain.Service
	// Pools holds the pool name of each shard.
	Pools  []string
	Weight float64
}

// Entry is a route with its targets.
type Entry struct {
	Route   *domain.Route
	Targets []Target
}

// View combines one version of the routing configuration with one state of the
// registry. It is immutable.
type View struct {
	Table   *domain.RouteTable
	Entries []Entry
	// RegistryChange increases with each view, so it distinguishes views of the same
	// configuration version.
	RegistryChange uint64
	// Searchers holds all usable searchers by id.
	Searchers map[string]*domain.Searcher
	// Members holds the member organisations by their keys.
	Members map[domain.KeyDigest]*domain.Member
}

// Match returns the entry of the route for a request.
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

	mu       sync.Mutex // Guards the fields below, and the order in which views are stored.
	table    *domain.RouteTable
	members  map[domain.KeyDigest]*domain.Member
	registry registry
	changes  uint64
	// listed says that ReplaceSearchers has been called.
	listed bool
	// evacuations are the failure domains that the store says to be evacuated; retained are those
	// of before its return from an older copy, with the time until which they stay so.
	evacuations map[string]bool
	retained    map[string]time.Time
}

// View returns the current view, or nil before the first configuration.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether requests can be served, that is, whether a configuration and a
// list of searchers have been received.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.table != nil && d.listed
}

// Configure puts a valid configuration in force if it is newer than the current one, and
// reports whether it was.
func (d *Directory) Configure(t *domain.RouteTable) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.table != nil && t.Version <= d.table.Version {
		return false
	}

	members, err := t.MembersByKey()
	if err != nil {
		return false
	}

	d.table, d.members = t, members
	d.rebuild(time.Now())

	return true
}

// ReplaceSearchers replaces all registrations and reports whether anything changed.
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

// Configurations returns the configuration in force, if any, for instances that ask
// for a copy.
func (d *Directory) Configurations() []*domain.RouteTable {
	v := d.View()
	if v == nil {
		return nil
	}

	return []*domain.RouteTable{v.Table}
}

// Registrations returns the current registrations for instances that ask for a copy. It
// reports false before the first list, and for RegistrationGrace after the store
// recovered: a missing searcher may be about to register again then, which an instance
// with the copy couldn't tell from a removal. It also does while a registration that the
// store has again, since it came back from an older copy, may be one that nobody renews:
// no change of the store would bring it to an instance whose copy lacks it.
func (d *Directory) Registrations() ([]domain.Registration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.listed || time.Now().Before(d.registry.recoveredAt.Add(RegistrationGrace)) || d.registry.unsettled() {
		return nil, false
	}

	return d.registry.current(), true
}

// SearcherChange is a registration or its removal.
type SearcherChange struct {
	ID           string
	Registration domain.Registration
	Removed      bool
}

// ApplySearchers applies changes in order and reports for each whether it changed
// anything. It builds one view for all of them, since building a view takes time in
// proportion to the number of routes and searchers.
func (d *Directory) ApplySearchers(changes []SearcherChange) []bool {
	applied := make([]bool, len(changes))

	d.update(func(now time.Time) bool {
		changed := false

		for i, c := range changes {
			if c.Removed {
				applied[i] = d.registry.remove(now, c.ID)
			} else {
				applied[i] = d.registry.put(now, c.Registration)
			}

			changed = changed || applied[i]
		}

		return changed
	})

	return applied
}

// Deny stops the use of a searcher's incarnation at whose address another one answered, until
// it registers with another address or start time. It reports whether that is a change.
func (d *Directory) Deny(id string, incarnation int64, address string) bool {
	return d.update(func(time.Time) bool {
		rec, ok := d.registry.records[id]
		if !ok || rec.denied || rec.registration.Started != incarnation || rec.registration.Address != address {
			return false
		}

		rec.denied = true

		return true
	})
}

// MarkLeaving stops the use of a searcher's incarnation that says itself that it leaves,
// whatever the store or another instance says of it. It reports whether that is a change.
func (d *Directory) MarkLeaving(id string, incarnation int64) bool {
	return d.update(func(time.Time) bool {
		rec, ok := d.registry.records[id]
		if !ok || rec.leaving || rec.registration.Started != incarnation {
			return false
		}

		rec.leaving = true

		return true
	})
}

// MarkToldLeaving stops the use of a searcher's incarnation that leaves by the word of other
// instances. The word of one isn't enough to stop the use of the last searchers of a pool.
// It reports whether that is a change.
func (d *Directory) MarkToldLeaving(id string, incarnation int64, confirmed bool) bool {
	by := toldByOne
	if confirmed {
		by = toldBySeveral
	}

	return d.update(func(time.Time) bool {
		rec, ok := d.registry.records[id]
		if !ok || rec.leaving || rec.told >= by || rec.registration.Started != incarnation {
			return false
		}

		rec.told = by

		return true
	})
}

// SetEvacuations stops the use of the searchers of these failure domains, and of no others for that
// reason but those that RetainEvacuations keeps. It returns the ids of the searchers that are used
// again.
func (d *Directory) SetEvacuations(list []domain.Evacuation) (returned []string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.evacuations = make(map[string]bool, len(list))
	for _, e := range list {
		d.evacuations[e.FailureDomain] = true
	}

	return d.evacuate(time.Now())
}

// RetainEvacuations keeps the evacuations in force for EvacuationGrace, whatever the store says: it has
// come back from an older copy that may lack them. The caller calls ExpireEvacuations then.
func (d *Directory) RetainEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.retain(d.registry.evacuated, time.Now().Add(EvacuationGrace))
}

// retain keeps evacuations in force until then at least; the caller holds mu.
func (d *Directory) retain(failureDomains map[string]bool, until time.Time) {
	if d.retained == nil {
		d.retained = make(map[string]time.Time)
	}

	for fd := range failureDomains {
		if until.After(d.retained[fd]) {
			d.retained[fd] = until
		}
	}
}

// EvacuationInForce is an evacuation, which stays in force until a time whatever the store says; zero if only
// the store's word keeps it.
type EvacuationInForce struct {
	domain.Evacuation

	Until time.Time
}

// EvacuationsInForce returns the evacuations in force, in order.
func (d *Directory) EvacuationsInForce() []EvacuationInForce {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()

	var out []EvacuationInForce

	for _, e := range evacuations(d.registry.evacuated) {
		until := d.retained[e.FailureDomain]
		if !now.Before(until) {
			until = time.Time{}
		}

		out = append(out, EvacuationInForce{e, until})
	}

	return out
}

// LearnEvacuations keeps evacuations in force until the times that they state: other instances keep them, and
// this one may have started after the store had lost them. It reports whether that changes the evacuations in
// force; the caller then calls ExpireEvacuations at their ends.
func (d *Directory) LearnEvacuations(list []EvacuationInForce) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, e := range list {
		d.retain(map[string]bool{e.FailureDomain: true}, e.Until)
	}

	before := d.registry.evacuated
	d.evacuate(time.Now())

	return !maps.Equal(before, d.registry.evacuated)
}

// ExpireEvacuations ends the evacuations that RetainEvacuations kept and that the store doesn't have
// again. It returns the ids of the searchers that are used again.
func (d *Directory) ExpireEvacuations() (returned []string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.evacuate(time.Now())
}

// evacuate puts the evacuations in force; the caller holds mu.
func (d *Directory) evacuate(now time.Time) (returned []string) {
	evacuated := make(map[string]bool, len(d.evacuations))
	maps.Copy(evacuated, d.evacuations)

	for fd, until := range d.retained {
		if now.Before(until) {
			evacuated[fd] = true
		} else {
			delete(d.retained, fd)
		}
	}

	before := d.registry.evacuated
	if maps.Equal(before, evacuated) {
		return nil
	}

	d.registry.evacuated = evacuated
	d.rebuild(now)

	for id, rec := range d.registry.records {
		if fd := rec.registration.FailureDomain; before[fd] && !evacuated[fd] && d.registry.usable(now, rec) {
			returned = append(returned, id)
		}
	}

	slices.Sort(returned)

	return returned
}

// Evacuations returns the failure domains whose searchers get no requests, in order.
func (d *Directory) Evacuations() []domain.Evacuation {
	d.mu.Lock()
	defer d.mu.Unlock()

	return evacuations(d.registry.evacuated)
}

// StatedEvacuations returns the failure domains that the store says to be evacuated, in order.
func (d *Directory) StatedEvacuations() []domain.Evacuation {
	d.mu.Lock()
	defer d.mu.Unlock()

	return evacuations(d.evacuations)
}

func evacuations(failureDomains map[string]bool) []domain.Evacuation {
	out := make([]domain.Evacuation, 0, len(failureDomains))
	for _, fd := range slices.Sorted(maps.Keys(failureDomains)) {
		out = append(out, domain.Evacuation{FailureDomain: fd})
	}

	return out
}

// StoreRecovered records that the store answers again after an outage. Searchers whose registrations are
// removed within RegistrationGrace from this call on are used until its end; the caller calls Expire then. A
// removal that was known before isn't due to the outage.
func (d *Directory) StoreRecovered() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.registry.recoveredAt = time.Now()
}

// StoreRestored records that the store has come back from an older copy. Missing registrations are
// treated as by StoreRecovered. Searchers that were gone before aren't used by the registrations that
// the copy has of them, unless these are still there after RestoreTime; the caller calls Expire then
// too.
func (d *Directory) StoreRestored() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.registry.restoredAt = time.Now()
	d.registry.recoveredAt = d.registry.restoredAt
}

// Expire stops the use of searchers whose registration grace has ended, starts that of searchers whose
// restored registrations have lasted, and deletes old tombstones.
func (d *Directory) Expire() {
	d.update(func(now time.Time) bool {
		d.registry.settle(now)
		d.registry.prune(now.Add(-tombstoneTTL))

		return true
	})
}

// Usable reports whether the searcher may get new requests according to the current view.
func (d *Directory) Usable(id string) bool {
	v := d.view.Load()
	if v == nil {
		return false
	}

	_, ok := v.Searchers[id]

	return ok
}

// update calls f with the lock held, and builds a new view if f reports a change.
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

// rebuild stores a view of the current state; the caller holds mu.
func (d *Directory) rebuild(now time.Time) {
	d.changes++

	if d.table == nil {
		return
	}

	pools := d.registry.pools(now)
	v := &View{
		Table: d.table, RegistryChange: d.changes, Entries: make([]Entry, len(d.table.Routes)),
		Searchers: make(map[string]*domain.Searcher), Members: d.members,
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

// newTarget returns a target with one shard for each of the named pools. pools holds
// their searchers; shards holds the shards that targets of this view have in common.
func (v *View) newTarget(r *domain.Route, names []string, weight float64, pools map[string][]domain.Registration,
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

// newShard returns a shard with the searchers of a pool, which all routes that name the
// pool share, and adds them to the view.
func (v *View) newShard(pool string, registrations []domain.Registration) domain.Shard {
	p, _ := v.Table.Pool(pool)
	sh := domain.Shard{Searchers: make([]domain.Searcher, len(registrations))}

	for i, reg := range registrations {
		sh.Searchers[i] = domain.Searcher{
			ID: reg.ID, Address: reg.Address, FailureDomain: reg.FailureDomain, Slots: reg.Slots, Connections: p.Connections,
			Incarnation: reg.Started,
		}
		v.Searchers[reg.ID] = &sh.Searchers[i]
	}

	return sh
}

// rules returns a route's rules in the form that package scatter uses.
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
