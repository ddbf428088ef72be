package follower

import (
	"sync"
	"time"
)

// unknownAge is the age of a collection that the store has never stated to be complete.
const unknownAge = 24 * time.Hour

// Position says how far an instance has followed a collection of the store.
type Position struct {
	// Revision is the store's revision up to which every change is known; zero before the
	// first list.
	Revision Revision
	// Changed is the revision of the last change known. It is up to Revision where that
	// of the change itself isn't known.
	Changed Revision
	// Age is how long ago the store was last known to have no later change.
	Age time.Duration
}

// progress is the state behind a Position, and what other instances say of theirs. It is
// safe for concurrent use.
type progress struct {
	mu                sync.Mutex // Guards the fields below.
	revision, changed Revision
	// currentAt is when the collection was last known to be complete, in currentEra; zero if it never
	// was.
	currentAt  time.Time
	currentEra uint64
	// provenAt is when it was last known to be complete and to lack nothing that the store has lost; zero
	// if it never was.
	provenAt time.Time
	// listedAt is when the collection was last listed. A stale list isn't known to be
	// complete, but the watch that follows it has its time to show what is missing.
	listedAt time.Time
	// heardAt is when the store last answered another instance, as far as that is known, or
	// when the collection was listed.
	heardAt time.Time
	// toldAt is when another instance last answered, whatever it knows.
	toldAt time.Time
	// reliedUntil is until when other instances rely on this one.
	reliedUntil time.Time
	// aliveAt is until when the store held a call that it then cut off.
	aliveAt time.Time
	// While this instance has lost the store, quietSince is when the store last answered anybody as far as
	// is known, and longestQuiet the longest time in which it hasn't; quietSince is zero otherwise.
	quietSince   time.Time
	longestQuiet time.Duration
	// news receives when a field changes that may end a backoff.
	news chan struct{}
}

// position returns the current position.
func (p *progress) position() Position {
	p.mu.Lock()
	defer p.mu.Unlock()

	age := unknownAge
	if !p.currentAt.IsZero() {
		age = elapsed(p.currentAt)
	}

	return Position{Revision: p.revision, Changed: p.changed, Age: age}
}

// unconfirmed returns for how long nothing has shown that the collection is complete. A
// list starts this time anew.
func (p *progress) unconfirmed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.currentAt.After(p.listedAt) {
		return elapsed(p.currentAt)
	}

	return elapsed(p.listedAt)
}

// listed records a list of that revision, which shows that it was complete at a time.
func (p *progress) listed(revision Revision, stale bool, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.revision, p.changed = revision, revision
	p.listedAt = time.Now()
	p.heardAt = p.listedAt

	if !stale {
		p.currentAt, p.currentEra = at, revision.Era
	}
}

// copied records a copy of that revision from another instance.
func (p *progress) copied(revision Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.revision, p.changed = revision, revision
}

// answered records the answer to a watch, which the store gave at the time at. changed
// is the revision of its last change, or zero if it had none.
func (p *progress) answered(next, changed Revision, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.revision, p.changed = later(p.revision, next), later(p.changed, changed)

	if at.After(p.currentAt) {
		p.currentAt, p.currentEra = at, next.Era
	}
}

// prove records that the collection was complete when that was last shown, if its era is settled.
func (p *progress) prove(s *Settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.currentAt.IsZero() && s.Covers(p.currentEra, p.currentAt) {
		p.provenAt = p.currentAt
	}
}

// proofAge returns how long ago the collection was last proven to be the newest one.
func (p *progress) proofAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.provenAt.IsZero() {
		return unknownAge
	}

	return elapsed(p.provenAt)
}

// told records the changes up to the revision next that another instance told; changed is that
// of the last one. A new era counts as a change.
func (p *progress) told(next, changed Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if next.Era > p.revision.Era {
		changed = later(changed, next)
	}

	p.revision, p.changed = later(p.revision, next), later(p.changed, changed)
}

// confirm compares the position of another instance, received at the time at or later.
// The collection is as current as the other's if no change is missing. It reports false
// for a position that is too old to say that, or of an era that has ended.
func (p *progress) confirm(o Position, at time.Time, maxAge time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.toldAt = time.Now()

	if o.Age > maxAge || o.Changed.Era < p.revision.Era {
		return false
	}

	at = at.Add(-o.Age)
	if at.After(p.heardAt) {
		p.heardAt = at
	}

	if !p.quietSince.IsZero() && at.After(p.quietSince) {
		p.longestQuiet = max(p.longestQuiet, at.Sub(p.quietSince))
		p.quietSince = at
	}

	if !o.Changed.After(p.revision) && at.After(p.currentAt) {
		p.currentAt, p.currentEra = at, p.revision.Era
	}

	p.notify()

	return true
}

// alive records that the store held a call until then.
func (p *progress) alive(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.aliveAt = until
}

// lose records that a call of this instance has failed.
func (p *progress) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.longestQuiet, p.quietSince = 0, time.Time{}

	for _, at := range []time.Time{p.aliveAt, p.currentAt, p.heardAt} {
		if at.After(p.quietSince) {
			p.quietSince = at
		}
	}

	// A process that starts doesn't know for how long the store has been away.
	if p.quietSince.IsZero() {
		p.quietSince = time.Now().Add(-minOutage)
	}
}

// regain records that this instance has the store again, or needs no answer of its own, and returns the longest
// time in which the store answered nobody.
func (p *progress) regain() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	quiet := max(p.longestQuiet, time.Since(p.quietSince))
	p.quietSince, p.longestQuiet = time.Time{}, 0

	return quiet
}

// rely records that another instance relies on this one until then.
func (p *progress) rely(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if time.Now().After(p.reliedUntil) {
		p.notify()
	}

	p.reliedUntil = until
}

// notify sends to news; the caller holds mu.
func (p *progress) notify() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// notifications returns the channel news.
func (p *progress) notifications() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.news == nil {
		p.news = make(chan struct{}, 1)
	}

	return p.news
}

// heard reports whether the store answered another instance within d.
func (p *progress) heard(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return !p.heardAt.IsZero() && elapsed(p.heardAt) <= d
}

// heardAfter reports whether the store is known to have answered another instance after t.
func (p *progress) heardAfter(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.heardAt.After(t)
}

// toldWithin reports whether another instance answered within d.
func (p *progress) toldWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return !p.toldAt.IsZero() && elapsed(p.toldAt) <= d
}

// relied reports whether another instance relies on this one.
func (p *progress) relied() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return time.Now().Before(p.reliedUntil)
}

// elapsed returns the time since t, including time in which the machine was suspended:
// the monotonic clock stands still then.
func elapsed(t time.Time) time.Duration {
	now := time.Now()

	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
