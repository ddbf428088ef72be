package peer

import (
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/membership"
	"primrosespring.example/internal/placement"
)

// connectionsPerHolder is how many connections a holder keeps to a searcher:
// HTTP/2 needs only one.
const connectionsPerHolder = 1

// Placement assigns the searcher connections of each service to the live
// instances that hold them. It is safe for concurrent use.
type Placement struct {
	log   zerolog.Logger
	table *membership.Table

	mu         sync.Mutex // Guards the fields below.
	view       *membership.View
	cfg        *domain.Configuration
	assignment *placement.Assignment
}

// NewPlacement returns a placement over the live instances of table.
func NewPlacement(log zerolog.Logger, table *membership.Table) *Placement {
	return &Placement{log: log, table: table}
}

// Holders returns the instances that hold the connections of a service.
func (p *Placement) Holders(cfg *domain.Configuration, service string) []domain.Instance {
	return p.current(cfg).Holders(service)
}

// Holds reports whether this instance holds the connections of a service.
func (p *Placement) Holds(cfg *domain.Configuration, service string) bool {
	return p.current(cfg).Holds(service, p.table.Self().Instance.ID)
}

// HolderCount returns how many instances hold the connections of a service, and 0
// if this one doesn't.
func (p *Placement) HolderCount(cfg *domain.Configuration, service string) int {
	a := p.current(cfg)
	if !a.Holds(service, p.table.Self().Instance.ID) {
		return 0
	}

	return len(a.Holders(service))
}

// current returns the assignment for the current view. A leaving instance keeps
// its last one: it holds the connections until its requests have finished.
func (p *Placement) current(cfg *domain.Configuration) *placement.Assignment {
	view := p.table.View()
	self := p.table.Self()

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.assignment != nil && p.cfg == cfg && (p.view == view || self.State == membership.Leaving) {
		return p.assignment
	}

	next := view.Live.Assign(cfg, connectionsPerHolder)
	p.logChanges(cfg, next, self.Instance.ID, view)
	p.view, p.cfg, p.assignment = view, cfg, next

	return next
}

func (p *Placement) logChanges(cfg *domain.Configuration, next *placement.Assignment, self string, view *membership.View) {
	for i := range cfg.Services {
		name := cfg.Services[i].Name
		held := p.assignment != nil && p.assignment.Holds(name, self)

		if holds := next.Holds(name, self); holds != held {
			p.log.Info().Str("event", "placement").Str("service", name).Bool("holds", holds).
				Int("holders", len(next.Holders(name))).Int("live", view.Live.Len()).Uint64("version", cfg.Version).Send()
		}
	}
}

// BucketOwner returns the owner of a bucket of claims, and whether it is this
// instance. The buckets of one slot have different owners, since each instance
// has only its share of the store's write budget. If the owner is suspected, this
// instance acts in its place: ownership saves writes and isn't needed for
// correctness.
func (p *Placement) BucketOwner(bucket claims.BucketID) (owner domain.Instance, self bool) {
	view := p.table.View()

	in, ok := view.Live.Owner("claims/"+strconv.FormatUint(bucket.Slot, 10), bucket.Number)
	if !ok || view.Suspects[in.ID] {
		return domain.Instance{}, true
	}

	return in, in.ID == p.table.Self().Instance.ID
}
