package follower

import (
	"context"
	"time"
)

const (
	// watchWait is the longest time that one watch waits. Each watch is a priced call.
	watchWait = 25 * time.Second
	// watchGrace and readGrace are how much longer than its wait a watch may take before
	// it times out; readGrace applies to watches of an instance that reads the store
	// itself, and to those that look for the store's recovery. A slow store takes 0.4 s.
	watchGrace = 3 * time.Second
	readGrace  = time.Second
	// recoveryWait is the wait of a watch that looks for the store's recovery.
	recoveryWait = 100 * time.Millisecond

	// Shares of Bound. An instance asks another one every askShare, which reads the store
	// every readShare; a position older than confirmShare is one of an instance that gets
	// no answers. What is older than maxAgeShare must be read; the rest is for that call.
	askShare     = 0.15
	readShare    = 0.55
	confirmShare = 0.7
	maxAgeShare  = 0.8
	// relyShare is how long an instance goes on reading after it was asked.
	relyShare = 1.0

	// Shares of Proof: the wait of a reader's watch, and the greatest age of a position that
	// confirms another one. They leave an instance the time to ask two readers and the store.
	proofWaitShare    = 0.15
	proofConfirmShare = 0.5
)

// AskInterval returns how often an instance asks another one for its position, to know
// every change within bound.
func AskInterval(bound time.Duration) time.Duration { return share(askShare, bound) }

func share(s float64, bound time.Duration) time.Duration { return time.Duration(s * float64(bound)) }

// restartReason says why a watch was ended before its answer.
type restartReason string

const (
	notRestarted restartReason = ""
	// restartHinted: a pool lacks searchers; see Follower.RestartHints.
	restartHinted restartReason = "hint"
	// restartUnconfirmed: neither the store nor another instance has shown for too long
	// that nothing changed.
	restartUnconfirmed restartReason = "unconfirmed"
)

// Confirm takes the position of another instance that was asked at the time asked, and
// reports whether the store has answered that instance lately. A position with a change
// that this instance lacks confirms nothing, so that it reads the store itself in time.
func (f *Follower[T]) Confirm(p Position, asked time.Time) bool {
	maxAge := share(confirmShare, f.Bound)
	if f.Proof > 0 {
		maxAge = min(maxAge, share(proofConfirmShare, f.Proof))
	}

	heard := f.progress.confirm(p, asked, maxAge)
	f.progress.prove(f.Settlement)

	return heard
}

// Rely records that another instance relies on this one to read the store, and returns
// this one's position.
func (f *Follower[T]) Rely() Position {
	f.progress.rely(time.Now().Add(share(relyShare, f.Bound)))

	return f.Position()
}

// reads reports whether this instance has to read the store often: others rely on it, or
// nobody confirms its position.
func (f *Follower[T]) reads() bool {
	if f.Bound == 0 {
		return false
	}

	maxAge := share(maxAgeShare, f.Bound)

	return f.progress.relied() || !f.progress.heard(maxAge) || f.progress.unconfirmed() >= maxAge
}

// watchPlan says how long a watch waits, and after which further time it has failed.
type watchPlan struct {
	wait, grace time.Duration
	// relies says that others confirm meanwhile that the store has nothing new.
	relies bool
}

// planWatch returns the plan of the next watch.
func (f *Follower[T]) planWatch(lost bool) watchPlan {
	switch {
	case lost && f.Bound == 0:
		return watchPlan{wait: recoveryWait, grace: watchGrace}
	case lost:
		// A short first watch after an outage detects the recovery soon.
		return watchPlan{wait: recoveryWait, grace: readGrace}
	case f.reads() && f.Proof > 0:
		return watchPlan{wait: share(proofWaitShare, f.Proof), grace: readGrace}
	case f.reads():
		return watchPlan{wait: max(share(readShare, f.Bound)-f.progress.unconfirmed(), recoveryWait), grace: readGrace}
	case f.FollowOthers:
		// Something is missing that others can't tell.
		return watchPlan{wait: recoveryWait, grace: watchGrace}
	default:
		return watchPlan{wait: watchWait, grace: watchGrace, relies: f.Bound > 0}
	}
}

func (f *Follower[T]) watch(ctx context.Context, lostAt *time.Time) error {
	p := f.planWatch(!lostAt.IsZero())

	f.Settlement.consult(ctx)

	watchCtx, cancel := context.WithTimeout(ctx, p.wait+p.grace)
	defer cancel()

	supervision := f.superviseWatch(cancel, p.relies)
	revision := f.Revision()
	sent := time.Now()

	changes, next, err := f.Source.Watch(watchCtx, revision, p.wait)
	if reason := supervision(); reason != notRestarted {
		f.restarted(reason, revision, time.Since(sent))

		return nil
	}

	if err != nil {
		// The store held a watch that was cut off while it waited, but not one that it didn't answer in time.
		if ran := time.Since(sent); ran >= recoveryWait && watchCtx.Err() == nil {
			f.progress.alive(sent.Add(min(ran, p.wait)))
		}

		return err
	}

	f.storeRecovered(lostAt)
	f.linkAnswered()

	f.lastCount = len(changes)
	if f.lastCount > 0 {
		f.restartAfter = 0
		f.Sink.Apply(changes)
	}

	f.logChanges(changes, next)

	if f.lastCount > 0 && f.whole() {
		f.Settlement.written(next.Era, time.Now())
	}

	// A watch that has used up its wait leaves nothing to collect in a pause.
	f.skipPause = f.Bound > 0 && f.lastCount == 0 && time.Since(sent) >= p.wait
	f.progress.answered(next, lastRevision(changes, next), f.shownAt(sent, answeredAt(sent, p.wait, len(changes))))
	f.prove(ctx)

	return nil
}

// restarted prepares the next watch after one that was ended before its answer.
func (f *Follower[T]) restarted(reason restartReason, revision Revision, ran time.Duration) {
	f.lastCount = 0

	if reason == restartHinted {
		f.restartAfter = min(2*max(f.restartAfter, minRestartAfter), maxRestartAfter)
	} else {
		f.skipPause = true
	}

	f.Log.Info().Str("event", "store_watch_restarted").Str("collection", f.Name).Str("reason", string(reason)).
		EmbedObject(revision).Int64("unconfirmed_ms", f.progress.unconfirmed().Milliseconds()).Int64("ran_ms", ran.Milliseconds()).Send()
}

// superviseWatch cancels a watch that has to be restarted. The function that it returns
// must be called after the watch; it returns why the watch was cancelled, if it was.
func (f *Follower[T]) superviseWatch(cancel context.CancelFunc, relies bool) func() restartReason {
	ended, done := make(chan struct{}), make(chan restartReason, 1)

	go func() {
		reason := f.awaitRestart(ended, relies)
		if reason != notRestarted {
			cancel()
		}

		done <- reason
	}()

	return func() restartReason {
		close(ended)

		return <-done
	}
}

// awaitRestart waits for a reason to restart a watch, or for its end. A hint counts once
// the watch has run for restartAfter. A watch that relies on others ends when nobody
// confirms the collection.
func (f *Follower[T]) awaitRestart(ended <-chan struct{}, relies bool) restartReason {
	hintsAfter := time.NewTimer(max(f.restartAfter, minRestartAfter))
	defer hintsAfter.Stop()

	var (
		hints  <-chan struct{}
		checks <-chan time.Time
	)

	for {
		if relies {
			left := share(maxAgeShare, f.Bound) - f.progress.unconfirmed()
			if left <= 0 {
				return restartUnconfirmed
			}

			checks = time.After(left)
		}

		select {
		case <-ended:
			return notRestarted
		case <-hintsAfter.C:
			hints = f.RestartHints
		case <-hints:
			return restartHinted
		case <-checks:
		}
	}
}

// lastRevision returns the revision of the last of the changes that a watch returned, or
// zero if there are none. next, the revision to watch from, stands for an unknown one.
func lastRevision[T any](changes []Change[T], next Revision) Revision {
	var last Revision

	for i := range changes {
		if changes[i].Revision.IsZero() {
			return next
		}

		last = later(last, changes[i].Revision)
	}

	return last
}

// answeredAt returns when the store answered a watch. An answer without changes was due
// after the wait and may have been held up on its way; one with changes is taken to have
// arrived without delay.
func answeredAt(sent time.Time, wait time.Duration, changes int) time.Time {
	now := time.Now()
	if due := sent.Add(wait); changes == 0 && due.Before(now) {
		return due
	}

	return now
}
