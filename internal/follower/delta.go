package follower

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxLogged bounds the changes that an instance keeps for others.
const maxLogged = 512

// Delta is what another instance knows of the changes after a revision.
type Delta[T any] struct {
	// From is the revision that the changes follow, To the one up to which they are
	// complete.
	From, To Revision
	// Changes are in their order, with the last change of each name only.
	Changes []Change[T]
	// Missing says that the other instance is ahead but doesn't have the changes any more.
	Missing bool
}

// changeLog holds the latest changes of a collection. It is safe for concurrent use.
type changeLog[T any] struct {
	mu sync.Mutex // Guards the fields below.
	// spans hold the revisions after which the changes are complete, in order, one for each era:
	// those of an era from its first to its last revision. The changes of a later era lead on
	// from the last revision of the one before, and from no other.
	spans   []span
	changes []Change[T]
}

// span is a range of revisions of one era.
type span struct{ first, last Revision }

// reset forgets the changes up to a revision.
func (l *changeLog[T]) reset(revision Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.spans, l.changes = []span{{revision, revision}}, nil
}

// end returns the revision up to which the changes are complete; the caller holds mu.
func (l *changeLog[T]) end() Revision {
	if len(l.spans) == 0 {
		return Revision{}
	}

	return l.spans[len(l.spans)-1].last
}

// covers reports whether the changes after a revision are complete; the caller holds mu.
func (l *changeLog[T]) covers(r Revision) bool {
	return slices.ContainsFunc(l.spans, func(s span) bool {
		return s.first.Era == r.Era && !r.Before(s.first) && !r.After(s.last)
	})
}

// complete reports whether the log has begun.
func (l *changeLog[T]) complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.spans) > 0
}

// add appends the changes up to the revision to.
func (l *changeLog[T]) add(changes []Change[T], to Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !to.After(l.end()) {
		return
	}

	if n := len(l.spans); n > 0 && l.spans[n-1].last.Era == to.Era {
		l.spans[n-1].last = to
	} else {
		l.spans = append(l.spans, span{to, to})
	}

	l.changes = append(l.changes, withRevisions(changes, to)...)

	if n := len(l.changes) - maxLogged; n > 0 {
		l.forget(l.changes[n-1].Revision)
		l.changes = slices.Clone(l.changes[n:])
	}
}

// forget drops the revisions before r; the caller holds mu.
func (l *changeLog[T]) forget(r Revision) {
	l.spans = slices.DeleteFunc(l.spans, func(s span) bool { return s.last.Before(r) })

	if len(l.spans) > 0 {
		l.spans[0].first = later(l.spans[0].first, r)
	}
}

// withRevisions returns the changes, each with a revision: the highest that an unknown one can
// have, given those after it. An instance that knows such a change already applies it again,
// and with it every later change of the same name.
func withRevisions[T any](changes []Change[T], to Revision) []Change[T] {
	out := slices.Clone(changes)

	for i := len(out) - 1; i >= 0; i-- {
		if r := out[i].Revision; r.IsZero() {
			out[i].Revision = to
		} else if r.Number--; r.Before(to) {
			to = r
		}
	}

	return out
}

// since returns the changes after a revision.
func (l *changeLog[T]) since(revision Revision) Delta[T] {
	l.mu.Lock()
	defer l.mu.Unlock()

	d := Delta[T]{From: revision, To: l.end()}

	switch {
	case !revision.Before(d.To):
		return Delta[T]{From: revision, To: revision}
	case !l.covers(revision):
		d.Missing = true

		return d
	}

	last := make(map[string]int)

	for i, c := range l.changes {
		if c.Revision.After(revision) {
			last[c.Name] = i
		}
	}

	for i, c := range l.changes {
		if at, ok := last[c.Name]; ok && at == i {
			d.Changes = append(d.Changes, c)
		}
	}

	return d
}

// logChanges records changes for other instances.
func (f *Follower[T]) logChanges(changes []Change[T], to Revision) {
	f.log.add(changes, to)

	if f.ItemName == nil {
		return
	}

	for _, c := range changes {
		if c.Removed {
			delete(f.items, c.Name)
		} else {
			f.items[c.Name] = c.Item
		}
	}
}

// logList records a list for other instances: the differences to what was known, or, if
// nothing was or the list may be outdated, that the changes before it are missing. Without
// that, all of them would read the list when the store drops its history.
func (f *Follower[T]) logList(items []T, revision Revision, outdated bool) {
	if f.ItemName == nil {
		f.log.reset(revision)

		return
	}

	before := f.items
	f.items = make(map[string]T, len(items))

	var changes []Change[T]

	for _, item := range items {
		name := f.ItemName(item)
		f.items[name] = item

		if old, ok := before[name]; !ok || !f.SameItem(old, item) {
			changes = append(changes, Change[T]{Name: name, Revision: revision, Item: item})
		}
	}

	for name := range before {
		if _, ok := f.items[name]; !ok {
			changes = append(changes, Change[T]{Name: name, Revision: revision, Removed: true})
		}
	}

	if before == nil || outdated || !f.log.complete() {
		f.log.reset(revision)
	} else {
		f.log.add(changes, revision)
	}
}

// ChangesSince returns the changes after a revision that this instance knows.
func (f *Follower[T]) ChangesSince(revision Revision) Delta[T] { return f.log.since(revision) }

// delivery is a delta of another instance, with its position.
type delivery[T any] struct {
	delta    Delta[T]
	position Position
	asked    time.Time
}

// Deliver takes the changes that another instance has told in answer to a question sent at the
// time asked, with its position. While others confirm the collection, this instance needs no
// watch of its own.
func (f *Follower[T]) Deliver(d Delta[T], p Position, asked time.Time) {
	if !d.Missing && !d.To.After(f.Revision()) {
		return
	}

	f.deliveries().put(delivery[T]{d, p, asked})
}

// mailbox holds the last delivery that wasn't taken.
type mailbox[T any] chan delivery[T]

// put replaces the delivery in the mailbox.
func (m mailbox[T]) put(d delivery[T]) {
	for {
		select {
		case m <- d:
			return
		default:
		}

		select {
		case <-m:
		default:
		}
	}
}

// deliveries returns the mailbox.
func (f *Follower[T]) deliveries() mailbox[T] {
	f.once.Do(func() { f.mailbox = make(mailbox[T], 1) })

	return f.mailbox
}

// follows reports whether others tell this instance the changes, so that it needs no watch: it
// neither reads for others nor is the collection about to be unconfirmed, nor has it to find out whether
// the store's era is settled.
func (f *Follower[T]) follows() bool {
	if in, ok := f.Settlement.consultIn(); ok && in <= 0 {
		return false
	}

	return f.FollowOthers && f.Bound > 0 && !f.reads()
}

// awaitChanges applies the changes that others tell until this instance has to read the store
// itself, and reports whether it has to at once: others lack changes, or a hint suggests that
// some are missing.
func (f *Follower[T]) awaitChanges(ctx context.Context) (read bool) {
	news := f.progress.notifications()
	began := time.Now()

	hintsAfter := time.NewTimer(max(f.restartAfter, minRestartAfter))
	defer hintsAfter.Stop()

	var hints <-chan struct{}

	for f.follows() && ctx.Err() == nil {
		wait := share(maxAgeShare, f.Bound) - f.progress.unconfirmed()
		if in, ok := f.Settlement.consultIn(); ok {
			wait = min(wait, in)
		}

		left := time.NewTimer(max(wait, 0))

		select {
		case d := <-f.deliveries():
			if d.delta.Missing {
				left.Stop()

				return true
			}

			f.take(d)
		case <-news:
		case <-left.C:
		case <-hintsAfter.C:
			hints = f.RestartHints
		case <-hints:
			left.Stop()
			f.restarted(restartHinted, f.Revision(), time.Since(began))

			return true
		case <-ctx.Done():
		}

		left.Stop()
	}

	return false
}

// take applies a delivery, of which the first changes may be known already.
func (f *Follower[T]) take(d delivery[T]) {
	revision := f.Revision()
	if d.delta.From.After(revision) || !d.delta.To.After(revision) {
		return
	}

	// The changes into a later era undo those that the store has lost since their beginning, and
	// no others.
	if d.delta.To.Era > d.delta.From.Era && revision != d.delta.From {
		return
	}

	f.storeRestored(d.delta.To)

	changes := slices.DeleteFunc(slices.Clone(d.delta.Changes), func(c Change[T]) bool { return !c.Revision.After(revision) })
	if len(changes) > 0 {
		f.restartAfter = 0
		f.Sink.Apply(changes)
	}

	f.logChanges(changes, d.delta.To)
	f.progress.told(d.delta.To, lastRevision(changes, d.delta.To))
	f.Confirm(d.position, d.asked)
	f.Log.Debug().Str("event", "changes_told").Str("collection", f.Name).Int("changes", len(changes)).
		EmbedObject(d.delta.To).Send()
}
