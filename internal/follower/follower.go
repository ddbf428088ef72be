// Package follower keeps a copy of a collection in the platform's store: it
// lists the collection once, then watches for changes, and lists again when the
// store no longer has the history. During outages it retries with a growing
// backoff and keeps its copy.
//
// An answer that doesn't come is no sign by itself: a watch waits until something
// changes. Therefore a few instances of a fleet end their watches soon and read the
// store often, and the others ask them how far they are (Position). An instance whose
// state nobody confirms reads the store itself.
//
// An instance that gets no answer from the store takes newer copies from other
// instances. A copy states the store's revision, so that the watch continues from
// there when the store recovers.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
)

// Change is one change of a collection.
type Change[T any] struct {
	Name string
	// Revision is the store's revision of the change; zero if it isn't known.
	Revision Revision
	// Item is set unless the item was removed.
	Item    T
	Removed bool
}

// Source reads a collection from the store. Errors are domain.Error; the code
// history_gone says that the collection must be listed again before a watch.
type Source[T any] interface {
	// List returns all items and the revision that they are at least as new as.
	// A stale list may be seconds old and costs less.
	List(ctx context.Context, stale bool) (items []T, revision Revision, err error)
	// Watch returns the changes after a revision, or none after wait, and the
	// revision from which to watch next, which is of the same era: the history of an
	// earlier one is gone.
	Watch(ctx context.Context, revision Revision, wait time.Duration) (changes []Change[T], next Revision, err error)
}

// Sink receives the copy and its changes.
type Sink[T any] interface {
	Replace(items []T)
	// Apply applies the changes of one watch, in their order.
	Apply(changes []Change[T])
	// StoreRecovered is called when the store answers again after an outage, before
	// the first change that was read since. A call that fails while the store answers others, or
	// answers this instance again at once, is none.
	StoreRecovered()
	// StoreRestored is called when the store has come back from an older copy, before the
	// first state that was read since. What was written to the store shortly before its
	// return may be missing in it until it is written again.
	StoreRestored()
}

// Peers are other instances that follow the same collection.
type Peers[T any] interface {
	// Newer returns a copy with a later revision than the one given, or the zero revision
	// if no instance that answers has one.
	Newer(ctx context.Context, after Revision) (items []T, revision Revision)
}

const (
	// listTimeout bounds one list. The store answers in milliseconds, and takes some
	// tens of times longer when it is slow.
	listTimeout = 3 * time.Second
	// firstListTimeout bounds the first list if there are peers to ask after it. An
	// instance that starts while the store is silent must serve within 2 s; two pages
	// of a store that is 60 times slower than usual fit in.
	firstListTimeout = 800 * time.Millisecond
	// askInterval is the least time between two calls to the peers. Changes must reach
	// every instance within 3 to 5 s.
	askInterval = time.Second
	// A hint restarts a watch after minRestartAfter at the soonest, and after twice as
	// long each time that no change was missed, up to maxRestartAfter: each restart
	// costs a call, and a pool may lack searchers for good.
	minRestartAfter = 2 * time.Second
	maxRestartAfter = 32 * time.Second
	// A hint ends the pause between two watches after minHintPause at the soonest, for
	// maxShortened pauses at most until one gets no hint: a pool may lack searchers for
	// good while others change. Searchers register again within 2 s of an outage.
	minHintPause = 200 * time.Millisecond
	maxShortened = 12
	// minOutage is the least time in which the store must have answered nobody for an outage. What expires
	// in the store takes longer to do so.
	minOutage = time.Second
	// backlogThreshold is the number of changes in one watch from which more are
	// expected, since the store answers with some hundreds at most. No pause follows.
	backlogThreshold = 100
	minBackoff       = 100 * time.Millisecond
	// maxBackoff bounds the time until a recovered store is noticed. Searchers have
	// registered again within 2 s of the recovery.
	maxBackoff = 800 * time.Millisecond
	// silentBackoff is the time between two calls while no instance that was asked gets
	// answers either: the first of them that does ends it.
	silentBackoff = 2 * time.Second
	// toldBackoff is that time while another instance, which tries the store often, answers
	// and tells when it has been answered. It is within the time that an instance has, after
	// its own link was cut, until it must be up to date.
	toldBackoff = 4 * time.Second
	// answerTime is how long the store and an instance that starts take to answer.
	answerTime = 100 * time.Millisecond
	// linkBackoff is that time while another follower of the instance tries the store.
	linkBackoff = 4 * time.Second
)

// Follower follows one collection.
type Follower[T any] struct {
	Log    zerolog.Logger
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// Bound is the time within which every change must be known. A watch without an answer
	// doesn't show whether nothing changed or the store lost the call, so that no state may
	// stay unconfirmed for longer: other instances confirm it (Confirm), or this one reads
	// the store itself. With 0, nothing is confirmed and watches wait for long.
	Bound time.Duration
	// Proof, if set, is for how long the collection may be acted on as the newest one (Proven).
	// An answer then shows only what was so when its call was sent, as it may have been held
	// up on its way, the watches of readers are short, and the first list isn't a stale one.
	Proof time.Duration
	// Settlement says whether what the store has lost in a return from an older copy has been written
	// again. Until then no answer renews the proof; nil if nothing is lost.
	Settlement *Settlement
	// InForce reports whether an item that the store has is the one that the sink has in force, and not an
	// older one; nil if they never differ.
	InForce func(item T) bool
	// Pause is the time between two watches, so that changes in quick succession
	// cost one call.
	Pause time.Duration
	// RestartHints receives when something suggests that changes were missed; the pause
	// before the next watch then ends, or the watch is restarted on another connection.
	// TCP keep-alive probes don't detect a middlebox that acknowledges packets and
	// forwards nothing. It may be nil.
	RestartHints <-chan struct{}

	// Link is shared by the followers of an instance; nil if this one is alone.
	Link *Link

	// Peers are asked for newer copies while the store doesn't answer; nil if there
	// are none.
	Peers Peers[T]

	// ItemName returns the name of an item, by which a list is compared with the one before;
	// nil if lists aren't compared. SameItem reports whether two items of a name are equal; it
	// must be set with ItemName.
	ItemName func(item T) string
	SameItem func(a, b T) bool

	// FollowOthers says that other instances tell the changes that they know (Deliver), so
	// that this one watches the store only while nobody confirms the collection.
	FollowOthers bool

	once    sync.Once // Makes the mailbox.
	mailbox mailbox[T]
	// log holds the latest changes for other instances, items the collection by name.
	log   changeLog[T]
	items map[string]T
	// copied says that the items are those of another instance, which may have others in force than the
	// store.
	copied bool
	// progress is how far the sink has the store's changes.
	progress progress
	// askedAt is when the peers were last asked.
	askedAt time.Time
	// lastCount is the number of changes in the last watch.
	lastCount int
	// skipPause ends the next pause at once.
	skipPause bool
	// outdated says that the collection's age has passed Bound in this outage.
	outdated bool
	// retryAt is when the store is tried again, in Unix nanoseconds; 0 if no try has failed.
	retryAt atomic.Int64
	// shortened counts the pauses that a hint ended since the last one without a hint.
	shortened int
	// restartAfter is how long a watch runs before a hint may end it.
	restartAfter time.Duration
}

// Revision returns the store's revision up to which the sink has every change, or
// zero before the first list. The sink may be ahead of it.
func (f *Follower[T]) Revision() Revision { return f.Position().Revision }

// Position returns how far the collection has been followed.
func (f *Follower[T]) Position() Position { return f.progress.position() }

// Proven reports whether the collection was the newest one within Proof, and lacked nothing that the
// store had acknowledged before.
func (f *Follower[T]) Proven() bool { return f.ProofAge() <= f.Proof }

// ProofAge returns how long ago the collection was last proven to be the newest one.
func (f *Follower[T]) ProofAge() time.Duration { return f.progress.proofAge() }

// prove records what an answer of the store has shown.
func (f *Follower[T]) prove(ctx context.Context) {
	f.progress.prove(f.Settlement)

	if f.Settlement != nil && f.whole() {
		f.Settlement.record(ctx)
	}
}

// whole reports whether the store has every item that is in force.
func (f *Follower[T]) whole() bool {
	if f.copied {
		return false
	}

	for _, item := range f.items {
		if f.InForce != nil && !f.InForce(item) {
			return false
		}
	}

	return len(f.items) > 0
}

// shownAt returns when the answer to a call shows the collection to have been complete.
func (f *Follower[T]) shownAt(sent, answered time.Time) time.Time {
	if f.Proof > 0 {
		return sent
	}

	return answered
}

// Run follows the collection until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var (
		listed  bool
		lostAt  time.Time
		backoff time.Duration
		// A stale list proves nothing.
		stale = f.Proof == 0
	)

	for ctx.Err() == nil {
		var err error

		switch {
		case !listed:
			err = f.list(ctx, stale, &lostAt)
		case f.follows() && f.answersOthers(lostAt):
			f.needsNoAnswer(&lostAt)

			if f.awaitChanges(ctx) {
				err = f.watch(ctx, &lostAt)
			} else {
				f.skipPause = true
			}
		default:
			err = f.watch(ctx, &lostAt)
		}

		switch {
		case err == nil:
			listed, backoff = true, 0

			if f.lastCount < backlogThreshold {
				f.pause(ctx)
			}
		case historyGone(err):
			// A stale list may be older than the remaining history.
			listed, stale = false, false
			f.Log.Info().Str("event", "store_history_gone").Str("collection", f.Name).EmbedObject(f.Revision()).Send()
		case ctx.Err() == nil:
			if lostAt.IsZero() {
				lostAt = time.Now()
				f.progress.lose()
				f.Log.Warn().Str("event", "store_lost").Str("collection", f.Name).EmbedObject(f.Revision()).Err(err).Send()
			}

			if f.copyFromPeers(ctx) {
				listed = true
			}

			f.checkAge()

			backoff = f.nextBackoff(backoff)
			f.waitBackoff(ctx, backoff/2+rand.N(backoff/2+1))
		}
	}
}

func (f *Follower[T]) list(ctx context.Context, stale bool, lostAt *time.Time) error {
	timeout := listTimeout
	if f.Peers != nil && f.Revision().IsZero() && lostAt.IsZero() {
		timeout = firstListTimeout
	}

	f.Settlement.consult(ctx)

	listCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	sent := time.Now()

	items, revision, err := f.Source.List(listCtx, stale)
	if err != nil {
		return err
	}

	if before := f.Revision(); revision.Era < before.Era {
		return domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "list "+f.Name,
			"the list is of revision %s, from before the store's return at %s", revision, before)
	}

	f.storeRecovered(lostAt)
	f.linkAnswered()
	f.storeRestored(revision)
	f.Sink.Replace(items)
	f.logList(items, revision, stale)
	f.copied = false
	f.progress.listed(revision, stale, f.shownAt(sent, time.Now()))
	f.prove(ctx)
	f.Log.Info().Str("event", "store_listed").Str("collection", f.Name).Int("items", len(items)).
		EmbedObject(revision).Bool("stale", stale).Send()

	return nil
}

// copyFromPeers takes a newer copy if a peer has one, and reports whether it did.
func (f *Follower[T]) copyFromPeers(ctx context.Context) bool {
	now := time.Now()
	if f.Peers == nil || !f.askedAt.IsZero() && now.Sub(f.askedAt) < askInterval {
		return false
	}

	f.askedAt = now
	before := f.Revision()

	items, revision := f.Peers.Newer(ctx, before)
	if !revision.After(before) {
		return false
	}

	f.storeRestored(revision)
	f.Sink.Replace(items)
	f.logList(items, revision, true)
	f.copied = true
	f.progress.copied(revision)
	f.Log.Info().Str("event", "copy_taken").Str("collection", f.Name).Int("items", len(items)).
		EmbedObject(revision).Stringer("before", before).Send()

	return true
}

// silent reports whether the store answers nobody that this instance asks, so that its own
// calls are hardly of use. Those on whom others rely go on trying.
func (f *Follower[T]) silent() bool {
	return f.Bound > 0 && !f.progress.relied() && !f.progress.heard(share(maxAgeShare, f.Bound))
}

// nextBackoff returns the time between two calls in an outage, at most; last is the one before.
func (f *Follower[T]) nextBackoff(last time.Duration) time.Duration {
	switch {
	case f.silent() && f.progress.toldWithin(f.Bound):
		return toldBackoff
	case f.silent():
		return silentBackoff
	case last == 0:
		return minBackoff
	default:
		return min(2*last, maxBackoff)
	}
}

// answersOthers reports whether the store, which this instance lost at a time, has answered others
// since. Zero stands for a store that isn't lost.
func (f *Follower[T]) answersOthers(lostAt time.Time) bool {
	return lostAt.IsZero() || f.progress.heardAfter(lostAt)
}

// needsNoAnswer ends an outage of this instance alone: others confirm the collection.
func (f *Follower[T]) needsNoAnswer(lostAt *time.Time) {
	if lostAt.IsZero() {
		return
	}

	f.storeRecovered(lostAt)

	if f.Link != nil {
		f.Link.regained(f, false)
	}
}

// linkAnswered tells the other followers of this instance that the store answers.
func (f *Follower[T]) linkAnswered() {
	if f.Link != nil {
		f.Link.regained(f, true)
	}
}

// Due returns how long it takes, as far as is known, until the collection may be known that isn't yet:
// until the store is tried again, and answers.
func (f *Follower[T]) Due() time.Duration {
	wait := time.Duration(0)
	if at := f.retryAt.Load(); at != 0 {
		wait = max(time.Until(time.Unix(0, at)), 0)
	}

	return wait + answerTime
}

// waitBackoff waits between two calls in an outage. If the store was silent when the wait
// began, the first sign that it answers somebody ends it, and so does its answer to another
// follower of this instance. Of those that have a list, one tries the store.
func (f *Follower[T]) waitBackoff(ctx context.Context, d time.Duration) {
	var answered <-chan struct{}

	if f.Link != nil {
		var probes bool
		if probes, answered = f.Link.probes(f); !probes && !f.Revision().IsZero() {
			d = max(d, linkBackoff)
		}
	}

	f.retryAt.Store(time.Now().Add(d).UnixNano())

	var news <-chan struct{}
	if f.silent() {
		news = f.progress.notifications()

		select {
		case <-news: // From before the silence.
		default:
		}
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-news:
	case <-answered:
	case <-t.C:
	case <-ctx.Done():
	}
}

// checkAge logs once in an outage that the collection is older than Bound.
func (f *Follower[T]) checkAge() {
	p := f.Position()
	if f.outdated || f.Bound == 0 || p.Revision.IsZero() || p.Age < f.Bound {
		return
	}

	f.outdated = true

	f.Log.Warn().Str("event", "collection_outdated").Str("collection", f.Name).EmbedObject(p.Revision).
		Int64("age_ms", p.Age.Milliseconds()).Int64("bound_ms", f.Bound.Milliseconds()).Send()
}

// pause waits for Pause between two watches. A hint ends it earlier: after an outage,
// searchers register again one after the other, and requests are refused for want of
// those that have done so since the last watch.
func (f *Follower[T]) pause(ctx context.Context) {
	if f.skipPause {
		f.skipPause = false

		return
	}

	shortest := min(minHintPause, f.Pause)
	sleep(ctx, shortest)

	t := time.NewTimer(f.Pause - shortest)
	defer t.Stop()

	hinted := false

	for {
		select {
		case <-f.RestartHints:
			hinted = true

			if f.shortened < maxShortened {
				f.shortened++

				return
			}
		case <-t.C:
			if !hinted {
				f.shortened = 0
			}

			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower[T]) storeRecovered(lostAt *time.Time) {
	if lostAt.IsZero() {
		return
	}

	quiet := f.progress.regain()

	f.Log.Info().Str("event", "store_regained").Str("collection", f.Name).
		Int64("lost_for_ms", time.Since(*lostAt).Milliseconds()).Int64("quiet_ms", quiet.Milliseconds()).
		Bool("outage", quiet >= minOutage).Send()

	if quiet >= minOutage {
		f.Sink.StoreRecovered()
	}

	*lostAt, f.outdated = time.Time{}, false
}

// storeRestored prepares the sink for a state that is about to be put in force, if that is of a later
// era than the one before.
func (f *Follower[T]) storeRestored(to Revision) {
	before := f.Revision()
	if before.IsZero() || to.Era <= before.Era {
		return
	}

	f.Log.Warn().Str("event", "collection_restored").Str("collection", f.Name).EmbedObject(to).Stringer("before", before).Send()
	f.Sink.StoreRestored()
}

func historyGone(err error) bool {
	var e *domain.Error

	return errors.As(err, &e) && e.Code == domain.CodeHistoryGone
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
