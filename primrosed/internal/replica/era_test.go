package replica

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/placement"
)

// storeChange is a change in the history of a restorableStore; an empty value is a removal.
type storeChange struct{ name, value string }

// restorableStore is a store with one collection of values by name, which can come back from an
// older copy and then gives out its revisions again.
type restorableStore struct {
	mu      sync.Mutex // Guards the fields below.
	era     uint64
	history []storeChange // The change of each revision.
	written []time.Time   // When each revision was given out.
	changed chan struct{}
	away    bool
}

func newRestorableStore() *restorableStore {
	return &restorableStore{era: 1, changed: make(chan struct{})}
}

func (s *restorableStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restorableStore) put(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history = append(s.history, storeChange{name, value})
	s.written = append(s.written, time.Now())
	s.wake()
}

// leave has the store answer nobody, and cuts off its watches.
func (s *restorableStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.away = true
	s.wake()
}

// restore brings the store back from a copy of that age.
func (s *restorableStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := len(s.history)
	for n > 1 && time.Since(s.written[n-1]) <= age {
		n--
	}

	s.history, s.written = s.history[:n:n], s.written[:n:n]
	s.era++
	s.away = false
	s.wake()
}

// state returns the collection, the revision that it is of, and what tells of the next change.
func (s *restorableStore) state() (items map[string]string, at follower.Revision, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	items = make(map[string]string)

	for _, c := range s.history {
		items[c.name] = c.value
	}

	maps.DeleteFunc(items, func(_, value string) bool { return value == "" })

	return items, follower.Revision{Era: s.era, Number: uint64(len(s.history))}, s.changed, !s.away
}

// item is a named value of the collection.
type item struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// restorableView is one instance's view of the store, and its copy of the collection.
type restorableView struct {
	store *restorableStore
	cut   *sync.Map // The instances that are cut off from the store, by index.
	index int

	mu       sync.Mutex // Guards the fields below.
	items    map[string]string
	restores int
}

func (v *restorableView) reach() error {
	if _, cut := v.cut.Load(v.index); cut {
		return domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "call", "cut off")
	}

	return nil
}

func (v *restorableView) List(context.Context, bool) ([]item, follower.Revision, error) {
	state, at, _, ok := v.store.state()
	if err := v.reach(); err != nil || !ok {
		return nil, follower.Revision{}, domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "list", "away")
	}

	var out []item
	for name, value := range state {
		out = append(out, item{name, value})
	}

	return out, at, nil
}

func (v *restorableView) Watch(ctx context.Context, after follower.Revision, wait time.Duration,
) ([]follower.Change[item], follower.Revision, error) {
	end := time.After(wait)

	for {
		_, at, changed, ok := v.store.state()

		switch err := v.reach(); {
		case err != nil || !ok:
			return nil, follower.Revision{}, domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "watch", "away")
		case at.Era != after.Era || after.Number > at.Number:
			return nil, follower.Revision{}, domain.Errorf(domain.FateUnknown, domain.CodeHistoryGone, "watch", "gone")
		case after.Number < at.Number:
			return v.changes(after, at), at, nil
		}

		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, follower.Revision{}, ctx.Err()
		}
	}
}

// changes returns the changes after a revision up to another one.
func (v *restorableView) changes(after, to follower.Revision) []follower.Change[item] {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()

	var out []follower.Change[item]

	for n := after.Number; n < to.Number; n++ {
		c := v.store.history[n]
		out = append(out, follower.Change[item]{
			Name: c.name, Revision: follower.Revision{Era: to.Era, Number: n + 1}, Item: item{c.name, c.value}, Removed: c.value == "",
		})
	}

	return out
}

func (v *restorableView) Replace(items []item) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.items = make(map[string]string)
	for _, i := range items {
		v.items[i.Name] = i.Value
	}
}

func (v *restorableView) Apply(changes []follower.Change[item]) {
	v.mu.Lock()
	defer v.mu.Unlock()

	for _, c := range changes {
		if c.Removed {
			delete(v.items, c.Name)
		} else {
			v.items[c.Name] = c.Item.Value
		}
	}
}

func (v *restorableView) StoreRecovered() {}

func (v *restorableView) StoreRestored() {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.restores++
}

func (v *restorableView) copy() (items map[string]string, restores int) {
	v.mu.Lock()
	defer v.mu.Unlock()

	return maps.Clone(v.items), v.restores
}

// restorableFleet is a fleet of instances that follow a restorableStore.
type restorableFleet struct {
	store     *restorableStore
	views     []*restorableView
	followers []*follower.Follower[item]
	// cut holds the instances that are cut off from the store, by index.
	cut sync.Map
}

func startRestorableFleet(t *testing.T, s *restorableStore, size int) *restorableFleet {
	t.Helper()

	f, n := &restorableFleet{store: s}, newNetwork(t)
	peers := testPeers(size)

	var done sync.WaitGroup

	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		done.Wait()
	})

	for i := range size {
		v := &restorableView{store: s, cut: &f.cut, index: i}
		fo := &follower.Follower[item]{
			Log: zerolog.Nop(), Name: Registrations, Source: v, Sink: v, Bound: testBound, Pause: 900 * time.Millisecond, FollowOthers: true,
			ItemName: func(i item) string { return i.Name }, SameItem: func(a, b item) bool { return a == b },
		}
		p := &Positions{
			Log: zerolog.Nop(), Self: peers[i].ID, Dial: n.dial, Interval: follower.AskInterval(testBound),
			Followed: map[string]Followed{Registrations: &Collection[item]{Follower: fo}},
		}
		p.SetReaders(placement.NewSet(peers).Readers(peers[i].ID))
		n.serve(peers[i].PeerAddress, func(_ context.Context, peer string, m *pb.PeerFrame, stream *yamux.Stream) {
			p.Handle(peer, m.GetPositionRequest(), stream)
		})
		f.views, f.followers = append(f.views, v), append(f.followers, fo)

		done.Go(func() { fo.Run(ctx) })
		done.Go(func() { p.Run(ctx) })
	}

	return f
}

// requireCurrent checks that every instance has the store's state.
func (f *restorableFleet) requireCurrent(t require.TestingT) {
	state, at, _, _ := f.store.state()

	for i, v := range f.views {
		items, _ := v.copy()
		require.Equal(t, state, items, "instance %d, at %s while the store is at %s", i, f.followers[i].Revision(), at)
	}
}

// Guards against a change that is never seen after the store has come back from an older copy, since
// its revision was given out before: by instances that read the store, and by those that others tell.
func TestChangesAfterARestoreAreKnown(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		s := newRestorableStore()
		s.put("kept", "a")

		f := startRestorableFleet(t, s, 8)
		time.Sleep(10 * time.Second)

		for n := range 6 {
			s.put("n", strconv.Itoa(n))
			time.Sleep(time.Second)
		}

		s.leave()
		time.Sleep(time.Second)
		s.restore(6 * time.Second)
		s.put("kept", "b")

		time.Sleep(2 * testBound)
		f.requireCurrent(t)

		for _, v := range f.views {
			_, restores := v.copy()
			require.Equal(t, 1, restores)
		}
	})
}

// Guards against copies of the collection that differ for good after changes, returns from older
// copies in quick succession, and cuts between instances and the store, in any order.
func TestRestoresLeadToTheSameStateProperty(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
				rng := rand.New(rand.NewPCG(seed, 1))
				s := newRestorableStore()
				s.put("0", "start")

				f := startRestorableFleet(t, s, 3+rng.IntN(6))
				ended := time.Now().Add(40 * time.Second)

				for n := 0; time.Now().Before(ended); n++ {
					time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)

					name := strconv.Itoa(rng.IntN(5))

					switch rng.IntN(10) {
					case 0:
						s.leave()
						time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
						s.restore(time.Duration(500+rng.IntN(9500)) * time.Millisecond)
					case 1:
						f.cut.Store(rng.IntN(len(f.views)), true)
					case 2:
						f.cut.Clear()
					case 3:
						s.put(name, "")
					default:
						s.put(name, strings.Repeat(name, 1+n%3))
					}
				}

				f.cut.Clear()
				s.put("last", "change")
				time.Sleep(2 * testBound)
				f.requireCurrent(t)
			})
		})
	}
}

// Guards against an instance that starts after the store's return from an older copy and works with an
// older configuration than the others, whose version the store has lost, until the operator writes it
// again; and against copies each time that a reader is a little ahead.
func TestLaterConfigurationsOfOthersAreTaken(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		var (
			versions [3]atomic.Uint64
			taken    [3]atomic.Int64
			done     sync.WaitGroup
		)

		n, peers := newNetwork(t), testPeers(len(versions))
		ctx, stop := context.WithCancel(t.Context())

		defer done.Wait()
		defer stop()

		for i := range peers {
			client := NewClient(zerolog.Nop(), peers[i].PeerAddress, n.dial, nil, nil)
			server := Server{Log: zerolog.Nop(), Collections: map[string]ReadFunc{Configuration: func() (any, follower.Revision) {
				return []uint64{versions[i].Load()}, at(1)
			}}}
			p := &Positions{
				Log: zerolog.Nop(), Self: peers[i].ID, Dial: n.dial, Interval: follower.AskInterval(testBound), InForce: versions[i].Load,
				CatchUp: func(ctx context.Context, address string) {
					list, err := Peers[uint64]{Client: client, Collection: Configuration}.From(ctx, address)
					require.NoError(t, err)
					versions[i].Store(list[0])
					taken[i].Add(1)
				},
			}
			p.SetReaders(placement.NewSet(peers).Readers(peers[i].ID))
			n.serve(peers[i].PeerAddress, func(_ context.Context, peer string, f *pb.PeerFrame, stream *yamux.Stream) {
				if f.GetPositionRequest() != nil {
					p.Handle(peer, f.GetPositionRequest(), stream)
				} else {
					server.Handle(peer, f.GetCopyRequest(), stream)
				}
			})
			versions[i].Store(4)
			done.Go(func() { p.Run(ctx) })
		}

		readers := placement.NewSet(peers).Readers(peers[0].ID)
		reader := slices.IndexFunc(peers, func(in domain.Instance) bool { return in.ID == readers[0].ID })
		restarted := (reader + 1) % len(peers)

		time.Sleep(testBound)
		versions[restarted].Store(3)
		time.Sleep(testBound)
		require.Equal(t, uint64(4), versions[restarted].Load())
		require.Equal(t, int64(1), taken[restarted].Load())

		// A change that the reader knows first arrives with the same answer.
		for v := uint64(5); v < 20; v++ {
			versions[reader].Store(v)
			time.Sleep(follower.AskInterval(testBound))

			for i := range versions {
				versions[i].Store(v)
			}

			time.Sleep(follower.AskInterval(testBound))
		}

		require.Equal(t, int64(1), taken[restarted].Load())
	})
}
