// Package roster keeps the list of instances in the platform's store. They use it to
// divide, without coordination, what they share: the budgets of extra attempts and
// the connections that a searcher accepts. Each instance writes an entry at its
// start, renews it every few minutes, and reads the list periodically; a stale list
// is enough. An instance that stops renewing its entry expires, and its entry is
// removed later. One whose entry is missing counts for as long, and writes it again. The
// list doesn't tell whether a peer answers right now; its callers detect that.
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
	"primrosespring.example/internal/follower"
)

const (
	// AssumedInstances is the number of instances until a list has been read. It is
	// high, since a share that is too small only makes extra attempts rarer.
	AssumedInstances = 64
	// refreshInterval is how often the list is read.
	refreshInterval = 10 * time.Second
	// settleInterval is how soon it is read again after a change: instances of a
	// fleet start together, and a stale list may lack the last of them.
	settleInterval = 2 * time.Second
	// retryInterval is how often a failed call is retried while this instance has no entry or
	// no list; otherwise the next one is soon enough.
	retryInterval = time.Second
	// roundTimeout bounds the calls of one round.
	roundTimeout = 3 * time.Second
	// restoreTime is how long after a return of the store from an older copy the list is read
	// often and never stale, and restoreSpread the time over which the instances of a fleet
	// write their entries again.
	restoreTime   = refreshInterval
	restoreSpread = time.Second
	// firstRoundTimeout bounds those of the first round if there are peers to ask
	// after it: an instance must serve within 2 s of its start.
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
	// PeerAddress is where the instance takes handovers and requests for copies;
	// empty if it takes none.
	PeerAddress string `json:"peer_address"`
	// Cores is the CPU share in cores, LinkMbps the link's bandwidth in Mbit/s.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
}

// Validate returns an error for the first invalid field.
func (e Entry) Validate() error {
	if e.ID == "" {
		return errors.New("instance entry: id must not be empty")
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
		return errors.Annotate(err, "decode instance entry")
	}

	if err := Entry(p).Validate(); err != nil {
		return err
	}

	*e = Entry(p)

	return nil
}

// equivalent reports whether both entries are equal except for Started and
// Heartbeat.
func (e Entry) equivalent(o Entry) bool {
	e.Started, o.Started = 0, 0
	e.Heartbeat, o.Heartbeat = 0, 0

	return e == o
}

// Store holds the entries.
type Store interface {
	// CreateInstance creates the entry unless one of that id exists.
	CreateInstance(ctx context.Context, e Entry) error
	// ReplaceInstance replaces the entry of that id.
	ReplaceInstance(ctx context.Context, e Entry) error
	// ListInstances returns the entries. A stale list may be seconds old and costs less.
	ListInstances(ctx context.Context, stale bool) ([]Entry, error)
	// RemoveInstance removes the entry of that id, if there is one.
	RemoveInstance(ctx context.Context, id string) error
}

// Peers are other instances that may have a list.
type Peers interface {
	// Newer returns a list if an instance that answers has one, or the zero revision.
	// The lists aren't numbered: after is zero, and any list has number 1.
	Newer(ctx context.Context, after follower.Revision) (entries []Entry, revision follower.Revision)
}

// Roster holds the list of instances. Run, which is called once, is its only writer.
type Roster struct {
	log   zerolog.Logger
	store Store
	self  Entry
	// roundStarted says that the first round has started.
	roundStarted bool
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat time.Time
	// createdAt is when the entry was created last, and settledAt when the list is settled after a
	// return of the store.
	createdAt, settledAt time.Time
	// restored receives when the store has come back from an older copy.
	restored chan struct{}
	liveness liveness
	// entries is the last list that differed from its predecessor.
	entries atomic.Pointer[[]Entry]
	// OnChange is called with a new list, which it must not change; it must be set
	// before Run.
	OnChange func(instances []Entry)
	// Peers are asked for their list while none is known and the store doesn't
	// answer; nil if there are none. It must be set before Run.
	Peers Peers
}

// New returns a roster that assumes AssumedInstances instances.
func New(log zerolog.Logger, s Store, self Entry) *Roster {
	return &Roster{log: log, store: s, self: self, restored: make(chan struct{}, 1)}
}

// Restored has the instance write its entry again, since the store has come back from an older copy
// that may lack it, and read the list until those of all instances are back.
func (r *Roster) Restored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Entries returns the last list, which must not be changed, or nil if there is none
// yet.
func (r *Roster) Entries() []Entry {
	if l := r.entries.Load(); l != nil {
		return *l
	}

	return nil
}

// Started returns the start of this process in the entry that it writes.
func (r *Roster) Started() int64 { return r.self.Started }

// instances returns the number of instances, or AssumedInstances before a list.
func (r *Roster) instances() int { return cmp.Or(len(r.Entries()), AssumedInstances) }

// Run registers the instance and keeps the list up to date until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	registered, failing := false, false
	// Spreads the writes of instances that start together.
	r.nextHeartbeat = time.Now().Add(heartbeatInterval/2 + rand.N(heartbeatInterval/2))

	for ctx.Err() == nil {
		changed, err := r.round(ctx, &registered)
		wait := refreshInterval

		if changed || r.settling() {
			wait = settleInterval
		}

		switch {
		case err != nil:
			if !registered || r.Entries() == nil {
				wait = retryInterval
			}

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
		case <-r.restored:
			t.Stop()

			registered, r.settledAt = false, time.Now().Add(restoreTime)

			r.await(ctx, rand.N(restoreSpread))
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// settling reports whether the store has come back from an older copy lately.
func (r *Roster) settling() bool { return time.Now().Before(r.settledAt) }

// await waits for d or until ctx ends.
func (r *Roster) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// round registers the instance if that is due, reads the list, and reports
// whether it has changed or lacks this instance.
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

		*registered, r.createdAt = true, time.Now()
	}

	if err := r.heartbeat(ctx, registered); err != nil {
		return false, err
	}

	entries, err := r.store.ListInstances(ctx, !r.settling())
	if err != nil {
		return false, err
	}

	if i := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == r.self.ID }); i >= 0 && !entries[i].equivalent(r.self) {
		// The entry is from an earlier machine of this name.
		if err := r.store.ReplaceInstance(ctx, r.self); err != nil {
			return false, err
		}

		entries[i] = r.self
	}

	// A stale list may lack the instances that started together with this one, but not for long.
	unsettled := !slices.ContainsFunc(entries, func(e Entry) bool { return e.ID == r.self.ID })
	if unsettled && time.Since(r.createdAt) >= refreshInterval {
		*registered = false
	}

	live, removable := r.liveness.observe(time.Now(), r.self.ID, entries)
	changed := r.setEntries(live)
	r.remove(ctx, removable)

	return changed || unsettled, nil
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

// remove removes entries that have expired. Only the first instance of the list does
// it. A removal that fails is retried with the next list.
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

	if entries, revision := r.Peers.Newer(ctx, follower.Revision{}); !revision.IsZero() {
		r.log.Info().Str("event", "copy_taken").Str("collection", "instances").Int("items", len(entries)).Send()
		r.setEntries(entries)
	}
}

// setEntries stores a list and reports whether it differs from the one before. A
// stale list may lack recent entries, even this instance's.
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
