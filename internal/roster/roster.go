// Package roster keeps the list of entry instances, which divide what all of them
// share without coordination: the budgets of extra attempts and the connections
// that a searcher accepts. Each instance writes an entry at its start, renews it
// every few minutes, and reads the list now and then; a stale list is enough. An
// instance that hasn't renewed its entry for long has no part any more, and the
// entry is removed in the end. Whether a peer answers right now is for those to
// find out who call it.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
)

const (
	// AssumedInstances is the number of instances until a list has been read. It is on
	// the high side: a share that is too small only makes extra attempts rarer.
	AssumedInstances = 64
	// refreshInterval is how often the list is read.
	refreshInterval = 10 * time.Second
	// settleInterval is how soon it is read again after a change, since instances of
	// a fleet start together and a stale list may lack the last of them.
	settleInterval = 2 * time.Second
	// retryInterval is how often a failed call is tried again.
	retryInterval = time.Second
	// roundTimeout bounds the calls of one round.
	roundTimeout = 3 * time.Second
	// firstRoundTimeout bounds those of the first round if there are peers to ask
	// after it; an instance serves within 2 s of its start (brief).
	firstRoundTimeout = 800 * time.Millisecond
)

// Entry is what an instance writes about itself.
type Entry struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Started is the start of the process in Unix milliseconds.
	Started int64 `json:"started_unix_ms"`
	// Heartbeat counts the times that the process renewed the entry.
	Heartbeat uint64 `json:"heartbeat"`
	// PeerAddress takes what other instances hand over or ask for; empty if it takes
	// nothing.
	PeerAddress string `json:"peer_address"`
	// Cores is the processor share in cores, LinkMbps the bandwidth of the link.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
}

// Validate reports the first field that can't be accepted.
func (e Entry) Validate() error {
	if e.ID == "" {
		return errors.New("entry of an instance: id must not be empty")
	}

	if e.PeerAddress == "" {
		return nil
	}

	return domain.CheckAddress("peer_address", e.PeerAddress)
}

// UnmarshalJSON decodes and checks an entry.
func (e *Entry) UnmarshalJSON(data []byte) error {
	type plain Entry

	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Annotate(err, "decode entry of an instance")
	}

	if err := Entry(p).Validate(); err != nil {
		return err
	}

	*e = Entry(p)

	return nil
}

// equivalent reports whether both entries say the same, apart from the start and the
// heartbeat.
func (e Entry) equivalent(o Entry) bool {
	e.Started, o.Started = 0, 0
	e.Heartbeat, o.Heartbeat = 0, 0

	return e == o
}

// Store holds the entries.
type Store interface {
	// CreateInstance creates the entry; an entry of that id stands as it is.
	CreateInstance(ctx context.Context, e Entry) error
	// ReplaceInstance replaces the entry of that id.
	ReplaceInstance(ctx context.Context, e Entry) error
	ListInstances(ctx context.Context) ([]Entry, error)
	// RemoveInstance removes the entry of that id, if there is one.
	RemoveInstance(ctx context.Context, id string) error
}

// Peers are other instances that know a list.
type Peers interface {
	// Newer returns a list if an instance that answers has one, or revision 0. Lists
	// have no order: revision 0 asks for any list, and 1 stands for each.
	Newer(ctx context.Context, after uint64) (entries []Entry, revision uint64)
}

// Roster knows the instances. Run, which is called once, is its only writer.
type Roster struct {
	log   zerolog.Logger
	store Store
	self  Entry
	// roundStarted says that a round has been begun.
	roundStarted bool
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat time.Time
	liveness      liveness
	// entries is the last list that differed from the one before.
	entries atomic.Pointer[[]Entry]
	// OnChange is called with a new list, which it must not change; it must be set
	// before Run.
	OnChange func(instances []Entry)
	// Peers are asked for their list while none is known and the store doesn't
	// answer; nil if there are none. It must be set before Run.
	Peers Peers
}

// New returns a roster that assumes Assumed instances.
func New(log zerolog.Logger, s Store, self Entry) *Roster {
	return &Roster{log: log, store: s, self: self}
}

// Entries returns the last list, which must not be changed, or nil before one.
func (r *Roster) Entries() []Entry {
	if l := r.entries.Load(); l != nil {
		return *l
	}

	return nil
}

// instances returns how many instances are known, or Assumed before a list.
func (r *Roster) instances() int { return cmp.Or(len(r.Entries()), AssumedInstances) }

// Run registers the instance and keeps the count until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	registered, failing := false, false
	// Instances that start together don't write together.
	r.nextHeartbeat = time.Now().Add(heartbeatInterval/2 + rand.N(heartbeatInterval/2))

	for ctx.Err() == nil {
		changed, err := r.round(ctx, &registered)
		wait := refreshInterval

		if changed {
			wait = settleInterval
		}

		switch {
		case err != nil:
			wait = retryInterval

			r.copyFromPeers(ctx)

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
	timeout := roundTimeout
	if r.Peers != nil && !r.roundStarted {
		timeout = firstRoundTimeout
	}

	r.roundStarted = true

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if !*registered {
		if err := r.store.CreateInstance(ctx, r.self); err != nil {
			return false, err
		}

		*registered = true
	}

	if err := r.heartbeat(ctx, registered); err != nil {
		return false, err
	}

	entries, err := r.store.ListInstances(ctx)
	if err != nil {
		return false, err
	}

	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == r.self.ID }); i >= 0 && !entries[i].equivalent(r.self) {
		// The entry is that of an earlier machine of this name.
		if err := r.store.ReplaceInstance(ctx, r.self); err != nil {
			return false, err
		}

		entries[i] = r.self
	}

	live, removable := r.liveness.observe(time.Now(), r.self.ID, entries)
	changed := r.setEntries(live)
	r.remove(ctx, removable)

	return changed, nil
}

// heartbeat renews the entry if that is due. One that another instance removed is
// created again.
func (r *Roster) heartbeat(ctx context.Context, registered *bool) error {
	if time.Now().Before(r.nextHeartbeat) {
		return nil
	}

	r.self.Heartbeat++

	err := r.store.ReplaceInstance(ctx, r.self)

	var e *domain.Error
	if errors.As(err, &e) && e.Code == domain.CodeNotFound {
		*registered = false
	}

	if err != nil {
		return err
	}

	r.nextHeartbeat = time.Now().Add(heartbeatInterval)

	return nil
}

// remove removes entries of instances that are gone. The first instance of the list
// does it for all. One that can't be removed now is tried again with the next list.
func (r *Roster) remove(ctx context.Context, ids []string) {
	if live := r.Entries(); len(live) == 0 || live[0].ID != r.self.ID {
		return
	}

	for _, id := range ids {
		err := r.store.RemoveInstance(ctx, id)

		r.log.Info().Str("event", "roster_entry_removed").Str("instance", id).
			Int64("silent_for_ms", removeAfter.Milliseconds()).AnErr("error", err).Send()
	}
}

// copyFromPeers takes the list of another instance if none is known.
func (r *Roster) copyFromPeers(ctx context.Context) {
	if r.Peers == nil || r.Entries() != nil || ctx.Err() != nil {
		return
	}

	if entries, revision := r.Peers.Newer(ctx, 0); revision > 0 {
		r.log.Info().Str("event", "copy_taken").Str("collection", "instances").Int("items", len(entries)).Send()
		r.setEntries(entries)
	}
}

// setEntries reports whether a list differs from the one before. A stale list may lack entries of a
// moment ago, this instance's included.
func (r *Roster) setEntries(entries []Entry) bool {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })

	before := r.Entries()
	if slices.EqualFunc(entries, before, Entry.equivalent) {
		return false
	}

	r.log.Info().Str("event", "roster").Int("instances", len(entries)).Int("before", len(before)).Send()
	r.entries.Store(&entries)
	r.OnChange(entries)

	return true
}
