package follower

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against collections of one instance that all try a store which refuses, and against ones
// that go on waiting for seconds although it has answered another.
func TestFollowersOfAnInstanceTryTheStoreTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &Link{}
		sources := make([]*scriptedSource, 3)
		ctx, cancel := context.WithCancel(t.Context())

		var running sync.WaitGroup

		for i := range sources {
			sources[i] = &scriptedSource{}
			f := newFollower(sources[i], &recordingSink{})
			f.Link, f.Bound = link, 5*time.Second
			running.Go(func() { f.Run(ctx) })
		}

		time.Sleep(time.Second)

		for _, s := range sources {
			s.mu.Lock()
			s.fail = slices.Repeat([]domain.Code{domain.CodeStoreUnavailable}, 1000)
			s.calls = nil
			s.mu.Unlock()
		}

		time.Sleep(20 * time.Second)

		calls := make([]int, len(sources))
		for i, s := range sources {
			calls[i] = len(s.recorded())
		}

		slices.Sort(calls)
		require.GreaterOrEqual(t, calls[2], 10, "one goes on trying")
		require.LessOrEqual(t, calls[1], 8)

		for _, s := range sources {
			s.succeed()
			s.mu.Lock()
			s.calls = nil
			s.mu.Unlock()
		}

		time.Sleep(silentBackoff + 100*time.Millisecond)

		for _, s := range sources {
			require.NotEmpty(t, s.recorded(), "its answer to one wakes all")
		}

		cancel()
		running.Wait()
	})
}

// Guards against an instance that goes on calling a store which turns only it away.
func TestFollowersThatOthersConfirmLeaveTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{}
		r := &recordingSink{}
		f := newFollower(s, r)
		f.Link, f.Bound, f.FollowOthers = &Link{}, 5*time.Second, true
		ctx, cancel := context.WithCancel(t.Context())

		var running sync.WaitGroup

		running.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)

		s.mu.Lock()
		s.fail = slices.Repeat([]domain.Code{domain.CodeStoreUnavailable}, 1000)
		s.mu.Unlock()
		time.Sleep(6 * time.Second)

		running.Go(func() {
			for ctx.Err() == nil {
				f.Confirm(Position{Changed: at(7)}, time.Now())
				time.Sleep(700 * time.Millisecond)
			}
		})

		time.Sleep(5 * time.Second)

		before := len(s.recorded())

		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, len(s.recorded())-before, 1)
		require.Contains(t, r.lines(), "store recovered")
		cancel()
		running.Wait()
	})
}

// Guards against callers of an instance without a configuration that are told to return long before
// it may have one.
func TestDueIsTheNextTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{fail: slices.Repeat([]domain.Code{domain.CodeStoreUnavailable}, 1000)}
		f := newFollower(s, &recordingSink{})
		require.Equal(t, answerTime, f.Due(), "the first list is on its way")

		ctx, cancel := context.WithCancel(t.Context())

		var running sync.WaitGroup

		running.Go(func() { f.Run(ctx) })
		time.Sleep(5 * time.Second)

		for range 50 {
			calls := len(s.recorded())
			due := f.Due()
			require.LessOrEqual(t, due, maxBackoff+answerTime)
			time.Sleep(due)
			require.Greater(t, len(s.recorded()), calls)
		}

		cancel()
		running.Wait()
	})
}
