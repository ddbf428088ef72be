package roster

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
)

// fakeStore holds entries and fails while it is down.
type fakeStore struct {
	mu      sync.Mutex // Guards the fields below.
	entries []Entry
	down    bool
	lists   int
	// staleLists is the number of first lists that are from before all entries.
	staleLists int
	// freshLists counts the lists that weren't to be stale.
	freshLists int
	replaced   []Entry
	removed    []string
}

var errDown = errors.New("down")

// CreateInstance implements Store.
func (s *fakeStore) CreateInstance(_ context.Context, e Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return errDown
	}

	if !slices.ContainsFunc(s.entries, func(o Entry) bool { return o.ID == e.ID }) {
		s.entries = append(s.entries, e)
	}

	return nil
}

// ReplaceInstance implements Store.
func (s *fakeStore) ReplaceInstance(_ context.Context, e Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return errDown
	}

	s.replaced = append(s.replaced, e)

	for i := range s.entries {
		if s.entries[i].ID == e.ID {
			s.entries[i] = e

			return nil
		}
	}

	return domain.Errorf(domain.FateUnknown, domain.CodeNotFound, "replace instance", "no such object")
}

// ListInstances implements Store.
func (s *fakeStore) ListInstances(_ context.Context, stale bool) ([]Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return nil, errDown
	}

	s.lists++

	if !stale {
		s.freshLists++
	}

	if s.lists <= s.staleLists {
		return nil, nil
	}

	return slices.Clone(s.entries), nil
}

// RemoveInstance implements Store.
func (s *fakeStore) RemoveInstance(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.entries = slices.DeleteFunc(s.entries, func(e Entry) bool { return e.ID == id })
	s.removed = append(s.removed, id)

	return nil
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// start runs a roster until the end of the test and returns the lists that it
// reported.
func start(t *testing.T, s *fakeStore, self Entry, peers ...Peers) func() [][]Entry {
	t.Helper()

	var (
		mu    sync.Mutex
		lists [][]Entry
		wg    sync.WaitGroup
	)

	r := New(zerolog.New(io.Discard), s, self)
	for _, p := range peers {
		r.Peers = p
	}

	r.OnChange = func(list []Entry) {
		mu.Lock()
		defer mu.Unlock()

		lists = append(lists, list)
	}

	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	wg.Go(func() { r.Run(ctx) })

	return func() [][]Entry {
		mu.Lock()
		defer mu.Unlock()

		return slices.Clone(lists)
	}
}

// Guards against a roster that misses instances which start a moment later, and
// one that reads the list too often, since each read is a priced call.
func TestRosterReadsSoonAfterAChangeThenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		lists := start(t, s, Entry{ID: "b"})

		synctest.Wait()
		require.Equal(t, [][]Entry{{{ID: "b"}}}, lists())

		s.set(func() { s.entries = append(s.entries, Entry{ID: "a"}) })
		time.Sleep(settleInterval)
		synctest.Wait()
		require.Equal(t, []Entry{{ID: "a"}, {ID: "b"}}, lists()[1])

		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, lists(), 2)
		require.LessOrEqual(t, s.lists, 10)
	})
}

// Guards against an instance that knows no other for 10 s after its start, since the
// stale list was from before the fleet's start, and reads the store all that time itself.
func TestListsWithoutThisInstanceAreReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{staleLists: 1, entries: []Entry{{ID: "a"}}}
		lists := start(t, s, Entry{ID: "b"})

		time.Sleep(settleInterval)
		synctest.Wait()
		require.Equal(t, [][]Entry{{{ID: "a"}, {ID: "b"}}}, lists())
	})
}

// Guards against an outdated address, left by an earlier machine of the same name,
// to which other instances hand over queries in vain.
func TestEntriesOfEarlierMachinesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: []Entry{{ID: "a", PeerAddress: "10.0.0.1:1", Started: 1}, {ID: "b", Started: 1}}}
		self := Entry{ID: "a", PeerAddress: "10.0.0.2:1", Started: 2}
		lists := start(t, s, self)

		synctest.Wait()
		require.Equal(t, []Entry{self}, s.replaced)
		require.Equal(t, self, lists()[0][0])

		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, s.replaced, 1, "a restart alone replaces nothing")
	})
}

// Guards against losing the list while the store is down.
func TestOutagesKeepTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{down: true}
		lists := start(t, s, Entry{ID: "a"})

		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, lists())

		s.set(func() { s.down = false })
		time.Sleep(retryInterval)
		synctest.Wait()
		require.Len(t, lists(), 1)

		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, lists(), 1)
	})
}

// fakePeers implements Peers with a fixed list.
type fakePeers struct{ entries []Entry }

// Newer implements Peers.
func (p *fakePeers) Newer(_ context.Context, revision follower.Revision) ([]Entry, follower.Revision) {
	if p.entries == nil || !revision.IsZero() {
		return nil, follower.Revision{}
	}

	return slices.Clone(p.entries), follower.Revision{Number: 1}
}

// Guards against an instance that starts while the store is down and assumes 64
// instances until it is up, though its peers have the list; and against a list of
// peers replacing one of the store.
func TestRosterTakesTheListOfPeersDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{down: true}
		peers := &fakePeers{entries: []Entry{{ID: "b"}, {ID: "a"}}}
		lists := start(t, s, Entry{ID: "c"}, peers)

		time.Sleep(2 * time.Second)
		require.Equal(t, [][]Entry{{{ID: "a"}, {ID: "b"}}}, lists())

		peers.entries = []Entry{{ID: "z"}}
		s.set(func() { s.down, s.entries = false, []Entry{{ID: "a"}, {ID: "b"}} })
		time.Sleep(5 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		require.Equal(t, []Entry{{ID: "a"}, {ID: "b"}, {ID: "c"}}, lists()[1])
		require.Len(t, lists(), 2)
	})
}

// Guards against a stopped instance that keeps its share of the budgets and
// connections, and against entries that pile up in the store: hundreds of machines
// are replaced each day, under new names.
func TestExpiredInstancesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: []Entry{{ID: "gone", Started: 1}}}
		first := start(t, s, Entry{ID: "a"})
		start(t, s, Entry{ID: "b"})

		time.Sleep(expireAfter - time.Second)
		require.Len(t, last(first()), 3, "its heartbeat may only be late")

		time.Sleep(time.Second + refreshInterval)
		require.Equal(t, []string{"a", "b"}, ids(last(first())))

		time.Sleep(removeAfter)
		s.set(func() {
			require.Equal(t, []string{"gone"}, s.removed, "one instance removes it, once")
			require.Len(t, s.entries, 2)
		})
		require.Equal(t, []string{"a", "b"}, ids(last(first())), "those that renew their entries stay")
	})
}

// Guards against instances that expire because none could renew its entry during
// an outage of the store, and against an entry that isn't created again after it
// was removed wrongly.
func TestOutagesAndWrongRemovalsExpireNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		lists := start(t, s, Entry{ID: "a"})
		start(t, s, Entry{ID: "b"})

		time.Sleep(time.Minute)
		s.set(func() { s.down = true })
		time.Sleep(2 * removeAfter)
		s.set(func() { s.down = false })
		time.Sleep(heartbeatInterval)
		require.Equal(t, []string{"a", "b"}, ids(last(lists())))
		s.set(func() {
			require.Empty(t, s.removed)

			s.entries = s.entries[:1]
		})
		time.Sleep(2 * heartbeatInterval)
		require.Equal(t, []string{"a", "b"}, ids(last(lists())))
	})
}

// Guards against instances that take too large a part of what all share, since the store has come back
// from an older copy without the entries of others: they run all the same, whether they reach the
// store or not. Those that have ended expire.
func TestLostEntriesCountUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: []Entry{{ID: "cut off"}, {ID: "known"}}}
		lists := start(t, s, Entry{ID: "a"})

		time.Sleep(time.Minute)
		s.set(func() { s.entries = nil })
		time.Sleep(expireAfter - time.Minute - time.Second)
		require.Equal(t, []string{"a", "cut off", "known"}, ids(last(lists())))

		time.Sleep(time.Second + refreshInterval)
		require.Equal(t, []string{"a"}, ids(last(lists())))
	})
}

// Guards against an entry that is missing until the next heartbeat, one to two minutes later, so that
// instances which start meanwhile don't count on this one; and against a fleet that knows only
// minutes later of instances which started shortly before the store's return from an older copy.
func TestLostEntriesAreWrittenAgain(t *testing.T) {
	for name, told := range map[string]bool{"told of the return": true, "by its own list": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				r := New(zerolog.New(io.Discard), s, Entry{ID: "a"})
				r.OnChange = func([]Entry) {}

				ctx, cancel := context.WithCancel(t.Context())

				var wg sync.WaitGroup

				wg.Go(func() { r.Run(ctx) })

				defer wg.Wait()
				defer cancel()

				time.Sleep(30*time.Second + time.Millisecond)

				within := 2*refreshInterval + settleInterval

				for range 2 {
					before := 0

					s.set(func() { s.entries, before = nil, s.lists })

					if told {
						r.Restored()

						within = restoreSpread + time.Millisecond
					}

					time.Sleep(within)
					s.set(func() { require.Equal(t, []string{"a"}, ids(s.entries)) })

					if told {
						time.Sleep(restoreTime)
						s.set(func() {
							require.LessOrEqual(t, s.lists-before-s.freshLists, 1, "the one after that time may be stale")
							require.InDelta(t, float64(restoreTime/settleInterval), float64(s.freshLists), 1)

							s.freshLists = 0
						})
					}
				}
			})
		})
	}
}

func last(lists [][]Entry) []Entry { return lists[len(lists)-1] }

func ids(entries []Entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.ID
	}

	return out
}
