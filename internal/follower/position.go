package follower

import (
	"sync"
	"time"
)

// Position says how far an instance has followed a collection of the store.
type Position struct {
	// Revision is the store's revision up to which every change is known; 0 before the
	// first list.
	Revision uint64
	// Age is how long ago the store was last known to have no later change. An instance
	// that started from a stale list or a copy counts from then.
	Age time.Duration
}

// progress is the state behind a Position. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex // Guards the fields below.
	revision uint64
	// currentAt is when the collection was last known to be complete.
	currentAt time.Time
}

// position returns the current position.
func (p *progress) position() Position {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.currentAt.IsZero() {
		return Position{Revision: p.revision}
	}

	return Position{Revision: p.revision, Age: elapsed(p.currentAt)}
}

// replaced records that the whole collection was replaced by one of that revision.
func (p *progress) replaced(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.revision, p.currentAt = revision, time.Now()
}

// answered records the answer to a watch, which the store gave at the time at.
func (p *progress) answered(next uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.revision = max(p.revision, next)

	if at.After(p.currentAt) {
		p.currentAt = at
	}
}

// elapsed returns the time since t, including time in which the machine was suspended:
// the monotonic clock stands still then.
func elapsed(t time.Time) time.Duration {
	now := time.Now()

	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
