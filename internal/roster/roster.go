// Package roster keeps the number of entry instances, which divides what all
// instances share without a meeting: the budgets of extra attempts and the
// connections that a searcher accepts. Each instance writes an entry at its
// start and reads the list now and then; a stale list is enough.
package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// Assumed is the number of instances until a list has been read. It is on
	// the high side: a share that is too small only makes extra attempts rarer.
	Assumed = 64
	// refreshEvery is how often the list is read.
	refreshEvery = 10 * time.Second
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
}

// Store holds the entries.
type Store interface {
	PutInstance(ctx context.Context, e Entry) error
	ListInstances(ctx context.Context) ([]Entry, error)
}

// Roster counts the instances. It is safe for concurrent use.
type Roster struct {
	log   zerolog.Logger
	store Store
	self  Entry
	count atomic.Int64
	// Changed is called with a new count; it must be set before Run.
	Changed func(instances int)
}

// New returns a roster that assumes Assumed instances.
func New(log zerolog.Logger, s Store, self Entry) *Roster {
	r := &Roster{log: log, store: s, self: self}
	r.count.Store(Assumed)

	return r
}

// Instances returns how many instances share budgets and connections.
func (r *Roster) Instances() int { return int(r.count.Load()) }

// Run registers the instance and keeps the count until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	registered, failing := false, false

	for ctx.Err() == nil {
		err := r.round(ctx, &registered)
		wait := refreshEvery

		switch {
		case err != nil:
			wait = retryEvery

			if !failing && ctx.Err() == nil {
				r.log.Warn().Str("event", "roster_unavailable").Bool("registered", registered).
					Int("instances", r.Instances()).Err(err).Send()
			}
		case failing:
			r.log.Info().Str("event", "roster_regained").Int("instances", r.Instances()).Send()
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

func (r *Roster) round(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	if !*registered {
		if err := r.store.PutInstance(ctx, r.self); err != nil {
			return err
		}

		*registered = true
	}

	entries, err := r.store.ListInstances(ctx)
	if err != nil {
		return err
	}

	// A stale list may lack entries of a moment ago, this instance's included.
	n := max(len(entries), 1)
	if before := r.count.Swap(int64(n)); before != int64(n) {
		r.log.Info().Str("event", "roster").Int("instances", n).Int64("before", before).Send()
		r.Changed(n)
	}

	return nil
}
