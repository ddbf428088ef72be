// Package roster keeps the list of entry instances, which divide what all of them
// share without a meeting: the budgets of extra attempts and the connections
// that a searcher accepts. Each instance writes an entry at its start and reads
// the list now and then; a stale list is enough. Nothing is concluded from it on
// whether an instance lives.
package roster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

const (
	// Assumed is the number of instances until a list has been read. It is on
	// the high side: a share that is too small only makes extra attempts rarer.
	Assumed = 64
	// refreshEvery is how often the list is read.
	refreshEvery = 10 * time.Second
	// settleEvery is how soon it is read again after a change, since instances of
	// a fleet start together and a stale list may lack the last of them.
	settleEvery = 2 * time.Second
	// retryEvery is how often a failed call is tried again.
	retryEvery = time.Second
	// callTimeout bounds one call.
	callTimeout = 3 * time.Second
)

// Entry is what an instance writes about itself.
type Entry struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Started is the start of the process in Unix milliseconds.
	Started int64 `json:"started_unix_ms"`
	// PeerAddress takes what other instances hand over.
	PeerAddress string `json:"peer_address"`
	// Cores is the processor share in cores, LinkMbps the bandwidth of the link.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
}

// same reports whether both entries say the same, apart from the start.
func (e Entry) same(o Entry) bool {
	e.Started, o.Started = 0, 0

	return e == o
}

// Store holds the entries.
type Store interface {
	// CreateInstance creates the entry; an entry of that id stands as it is.
	CreateInstance(ctx context.Context, e Entry) error
	// ReplaceInstance replaces the entry of that id.
	ReplaceInstance(ctx context.Context, e Entry) error
	ListInstances(ctx context.Context) ([]Entry, error)
}

// Roster knows the instances. Only Run, which is called once, uses its state.
type Roster struct {
	log   zerolog.Logger
	store Store
	self  Entry
	// known is the last list that differed from the one before.
	known []Entry
	// Changed is called with a new list, which it must not change; it must be set
	// before Run.
	Changed func(instances []Entry)
}

// New returns a roster that assumes Assumed instances.
func New(log zerolog.Logger, s Store, self Entry) *Roster {
	return &Roster{log: log, store: s, self: self}
}

// instances returns how many instances are known, or Assumed before a list.
func (r *Roster) instances() int { return cmp.Or(len(r.known), Assumed) }

// Run registers the instance and keeps the count until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	registered, failing := false, false

	for ctx.Err() == nil {
		changed, err := r.round(ctx, &registered)
		wait := refreshEvery

		if changed {
			wait = settleEvery
		}

		switch {
		case err != nil:
			wait = retryEvery

			if !failing && ctx.Err() == nil {
				r.log.Warn().Str("event", "roster_unavailable").Bool("registered", registered).
					Int("instances", r.instances()).Err(err).Send()
			}
		case failing:
			r.log.Info().Str("event", "roster_regained").Int("instances", r.instances()).Send()
		}

		failing = err != nil

		t := time.NewTimer(wait)

		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// round registers the instance if that is due, reads the list, and reports
// whether it has changed.
func (r *Roster) round(ctx context.Context, registered *bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	if !*registered {
		if err := r.store.CreateInstance(ctx, r.self); err != nil {
			return false, err
		}

		*registered = true
	}

	entries, err := r.store.ListInstances(ctx)
	if err != nil {
		return false, err
	}

	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == r.self.ID }); i >= 0 && !entries[i].same(r.self) {
		// The entry is that of an earlier machine of this name.
		if err := r.store.ReplaceInstance(ctx, r.self); err != nil {
			return false, err
		}

		entries[i] = r.self
	}

	return r.take(entries), nil
}

// take reports whether a list differs from the one before. A stale list may lack entries of a
// moment ago, this instance's included.
func (r *Roster) take(entries []Entry) bool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })

	if slices.EqualFunc(entries, r.known, Entry.same) {
		return false
	}

	r.log.Info().Str("event", "roster").Int("instances", len(entries)).Int("before", len(r.known)).Send()
	r.known = entries
	r.Changed(entries)

	return true
}
