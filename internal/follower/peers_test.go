package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// fakePeers stands for other instances with one copy. It records the revisions that
// it is asked with.
type fakePeers struct {
	mu       sync.Mutex // Guards the fields below.
	items    []int
	revision Revision
	asked    []Revision
}

// Newer implements Peers.
func (c *fakePeers) Newer(_ context.Context, revision Revision) ([]int, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.asked = append(c.asked, revision)

	if !c.revision.After(revision) {
		return nil, Revision{}
	}

	return c.items, c.revision
}

func (c *fakePeers) set(revision uint64, items ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.items, c.revision = items, at(revision)
}

func (c *fakePeers) askCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.asked)
}

// Guards against an instance that starts while the store is silent and serves
// nothing until its recovery, though other instances have the collection.
func TestFollowerStartsFromACopyOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{silent: true}, &recordingSink{}
		c := &fakePeers{}
		c.set(40, 5, 6)

		f := newFollower(s, r)
		f.Peers = c

		go f.Run(ctx)

		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"replace [5 6]"}, r.lines(), "within 2 s of the start")
		require.Equal(t, at(40), f.Revision())
		require.Equal(t, []string{"list stale=true", "watch 40"}, s.recorded(), "the watch starts at the copy's revision")
		cancel()
		synctest.Wait()
	})
}

// Guards against listing the whole collection after a start from a copy, and
// against a sink that isn't told of the store's recovery.
func TestFollowerGoesOnFromACopyWhenTheStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int], 1)}, &recordingSink{}
		s.fail = []domain.Code{domain.CodeStoreUnavailable, domain.CodeStoreUnavailable}
		c := &fakePeers{}
		c.set(40, 5, 6)

		f := newFollower(s, r)
		f.Peers = c

		go f.Run(ctx)

		s.events <- Change[int]{Item: 7}
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"replace [5 6]", "store recovered", "apply 7 false"}, r.lines())
		require.Equal(t, at(41), f.Revision())
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that the store refuses for long and that keeps an old
// copy, though its peers have newer ones; and against one call to the peers for
// each failed call to the store.
func TestFollowerTakesNewerCopiesWhileItIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int])}, &recordingSink{}
		s.fail = []domain.Code{""}

		for range 60 {
			s.fail = append(s.fail, domain.CodeStoreUnavailable)
		}

		c := &fakePeers{}
		f := newFollower(s, r)
		f.Peers = c

		go f.Run(ctx)

		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"replace [1 2]"}, r.lines(), "no peer has a newer copy")
		require.LessOrEqual(t, c.askCount(), 5, "once a second")

		c.set(9, 8)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"replace [1 2]", "replace [8]"}, r.lines())
		require.Equal(t, at(9), f.Revision())
		cancel()
		synctest.Wait()
	})
}

// Guards against calls to the peers while the store answers.
func TestFollowerDoesNotAskPeersWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int])}, &recordingSink{}
		c := &fakePeers{}
		c.set(40, 5, 6)

		f := newFollower(s, r)
		f.Peers = c

		go f.Run(ctx)

		time.Sleep(time.Minute)
		require.Zero(t, c.askCount())
		cancel()
		synctest.Wait()
	})
}
