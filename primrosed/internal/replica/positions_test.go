package replica

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/leaving"
	"primrosespring.example/internal/placement"
	"primrosespring.example/internal/quota"
	"primrosespring.example/primrosed/internal/mux"
)

const (
	testBound = 3 * time.Second
	// stableTime is how long a store must have answered for testBound to hold.
	stableTime = 4 * time.Second
)

// silence is a time in which the store takes the calls of some instances and never
// answers them.
type silence struct {
	begin, end time.Time
	instances  []int
}

func (s silence) affects(instance int, from, to time.Time) bool {
	return slices.Contains(s.instances, instance) && from.Before(s.end) && s.begin.Before(to)
}

// modelStore is a store with one collection; the value of an item is its revision.
type modelStore struct {
	silences []silence

	mu      sync.Mutex // Guards the fields below.
	changes []time.Time
	changed chan struct{}
	calls   int
}

func (s *modelStore) silent(instance int) bool {
	now := time.Now()

	return slices.ContainsFunc(s.silences, func(x silence) bool { return x.affects(instance, now, now.Add(1)) })
}

// change makes a change, at once or after a silence for everybody.
func (s *modelStore) change(instances int) {
	for slices.ContainsFunc(s.silences, func(x silence) bool {
		return len(x.instances) == instances && x.affects(0, time.Now(), time.Now().Add(1))
	}) {
		time.Sleep(100 * time.Millisecond)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.changes = append(s.changes, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// modelView is one instance's view of the store and of the collection.
type modelView struct {
	store    *modelStore
	instance int

	mu sync.Mutex // Guards the fields below.
	// knownAt is when the instance learned of each change, newest the last revision.
	knownAt []time.Time
	newest  int
	t       *testing.T
}

// begin counts a call and reports the store's state, or false if the call is swallowed.
func (v *modelView) begin(ctx context.Context) (revision int, changed chan struct{}, ok bool) {
	v.store.mu.Lock()
	revision, changed = len(v.store.changes), v.store.changed
	v.store.mu.Unlock()

	if v.store.silent(v.instance) {
		<-ctx.Done()

		return 0, nil, false
	}

	return revision, changed, true
}

func (v *modelView) List(ctx context.Context, _ bool) ([]int, follower.Revision, error) {
	revision, _, ok := v.begin(ctx)
	if !ok {
		return nil, follower.Revision{}, ctx.Err()
	}

	return []int{revision}, at(uint64(revision)), nil
}

func (v *modelView) Watch(ctx context.Context, after follower.Revision, wait time.Duration) ([]follower.Change[int], follower.Revision, error) {
	v.store.mu.Lock()
	v.store.calls++
	v.store.mu.Unlock()

	end := time.After(wait)

	for {
		revision, changed, ok := v.begin(ctx)
		if !ok {
			return nil, follower.Revision{}, ctx.Err()
		}

		var changes []follower.Change[int]
		for r := int(after.Number) + 1; r <= revision; r++ {
			changes = append(changes, follower.Change[int]{Revision: at(uint64(r)), Item: r})
		}

		if len(changes) > 0 {
			return changes, at(uint64(revision)), nil
		}

		select {
		case <-changed:
		case <-end:
			return nil, at(uint64(revision)), nil
		case <-ctx.Done():
			return nil, follower.Revision{}, ctx.Err()
		}
	}
}

func (v *modelView) learn(revision int) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if revision < v.newest {
		v.t.Errorf("instance %d goes back from %d to %d", v.instance, v.newest, revision)
	}

	for v.newest = revision; len(v.knownAt) < revision; {
		v.knownAt = append(v.knownAt, time.Now())
	}
}

func (v *modelView) Replace(items []int)                  { v.learn(slices.Max(items)) }
func (v *modelView) Apply(changes []follower.Change[int]) { v.learn(changes[len(changes)-1].Item) }
func (v *modelView) StoreRecovered()                      {}
func (v *modelView) StoreRestored()                       {}

// modelInstance follows the store and confirms positions as a process does.
type modelInstance struct {
	view      *modelView
	follower  *follower.Follower[int]
	positions *Positions
	quota     *quota.Table
	leaving   *leaving.Signs
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// modelSigns gives and takes signs of leaving as a process does.
type modelSigns struct{ signs *leaving.Signs }

func (m modelSigns) All(now time.Time) []leaving.Sign     { return m.signs.All(now) }
func (m modelSigns) Learn(_ string, signs []leaving.Sign) { m.signs.Learn(time.Now(), signs) }

// testPeers returns n instances.
func testPeers(n int) []domain.Instance {
	peers := make([]domain.Instance, n)
	for i := range peers {
		peers[i] = domain.Instance{ID: fmt.Sprintf("e-%d", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", i+1)}
	}

	return peers
}

// startFleet starts n instances that are one another's readers.
func startFleet(t *testing.T, network *network, s *modelStore, n int) []*modelInstance {
	t.Helper()

	fleet, peers := make([]*modelInstance, n), testPeers(n)

	for i := range fleet {
		in := &modelInstance{
			view: &modelView{store: s, instance: i, t: t}, quota: quota.New(time.Now(), peers[i].ID, uint64(i+1), 0), leaving: &leaving.Signs{},
		}
		copies := map[string]ReadFunc{Configuration: func() (any, follower.Revision) {
			at := in.follower.Revision()

			return []int{int(at.Number)}, at
		}}
		in.follower = &follower.Follower[int]{
			Log: zerolog.Nop(), Name: Configuration, Source: in.view, Sink: in.view, Bound: testBound, Pause: 900 * time.Millisecond, FollowOthers: true,
			Peers: Peers[int]{Client: network.add(peers[i].PeerAddress, copies), Collection: Configuration},
		}
		in.positions = &Positions{
			Log: zerolog.Nop(), Self: peers[i].ID, Dial: network.dial, Interval: follower.AskInterval(testBound),
			Followed: map[string]Followed{Configuration: &Collection[int]{Follower: in.follower}},
			Quota:    in.quota, Signs: modelSigns{in.leaving},
		}
		in.positions.SetReaders(placement.NewSet(peers).Readers(peers[i].ID))

		server := Server{Log: zerolog.Nop(), Collections: copies}
		network.instances[peers[i].PeerAddress] = mux.NewServer(zerolog.New(io.Discard), nil,
			func(_ context.Context, peer string, f *pb.PeerFrame, stream *yamux.Stream) {
				if f.GetPositionRequest() != nil {
					in.positions.Handle(peer, f.GetPositionRequest(), stream)
				} else {
					server.Handle(peer, f.GetCopyRequest(), stream)
				}
			})
		fleet[i] = in
	}

	for _, in := range fleet {
		ctx, stop := context.WithCancel(t.Context())
		in.stop = stop

		in.done.Go(func() { in.follower.Run(ctx) })
		in.done.Go(func() { in.positions.Run(ctx) })
	}

	return fleet
}

// kill ends an instance: it reads nothing and answers nobody.
func (in *modelInstance) kill(network *network, address string) {
	in.stop()
	in.done.Wait()

	network.mu.Lock()
	server := network.instances[address]
	delete(network.instances, address)
	network.mu.Unlock()

	if server != nil {
		server.Close()
	}
}

// dueAt returns when an instance must know a change: after testBound, once the store has
// answered it for stableTime.
func (s *modelStore) dueAt(instance int, change time.Time) time.Time {
	due := change.Add(testBound)

	for again := true; again; {
		again = false

		for _, x := range s.silences {
			if x.affects(instance, due.Add(-stableTime), due) {
				due, again = x.end.Add(stableTime), true
			}
		}
	}

	return due
}

// runModel plays a minute of changes and silences and checks that every instance that
// lives knows each change in time. killed, unless negative, ends halfway.
func runModel(t *testing.T, instances, killed int, silences func(begin time.Time) []silence, changes []time.Duration) {
	t.Helper()

	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		begin := time.Now()
		s := &modelStore{silences: silences(begin), changed: make(chan struct{})}
		n := newNetwork(t)
		fleet := startFleet(t, n, s, instances)

		for _, at := range changes {
			time.Sleep(time.Until(begin.Add(at)))
			s.change(instances)

			if killed >= 0 && at > 20*time.Second {
				fleet[killed].kill(n, fmt.Sprintf("127.0.0.1:%d", killed+1))
			}
		}

		time.Sleep(time.Minute)

		for i, in := range fleet {
			in.stop()
			in.done.Wait()

			for r, at := range s.changes {
				if i == killed {
					continue
				}

				require.Greater(t, len(in.view.knownAt), r, "instance %d lacks change %d", i, r+1)
				require.LessOrEqual(t, in.view.knownAt[r].Sub(begin), s.dueAt(i, at).Sub(begin), "instance %d, change %d", i, r+1)
			}
		}
	})
}

// Guards against signs of searchers that stay with the instance that heard them: limits, their
// ends and leaving reach all others, also one that starts later, and each gets permits.
func TestSignsReachAllInstances(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		s := &modelStore{changed: make(chan struct{})}
		n := newNetwork(t)
		fleet := startFleet(t, n, s, 5)
		sr := &domain.Searcher{ID: "s", Incarnation: 7}

		for _, in := range fleet {
			in.quota.SetShares(time.Now(), quota.Shares{Gathered: 0.2, Direct: 0.2}, true)
		}

		time.Sleep(5 * time.Second)

		heard := time.Now()
		fleet[3].quota.Observe(heard, sr, quota.Statement{Limited: true, Rate: 20}, heard)
		fleet[3].leaving.Heard(heard, "e-3", "s2", 9)
		time.Sleep(time.Second)

		for i, in := range fleet {
			require.True(t, in.quota.Active(), "instance %d", i)

			signs := in.leaving.All(time.Now())
			require.Len(t, signs, 1, "instance %d", i)
			require.Equal(t, []string{"e-3"}, signs[0].HeardBy, "instance %d", i)
			require.InDelta(t, time.Since(heard), signs[0].Age, float64(10*time.Millisecond), "instance %d", i)

			in.quota.Want(time.Now(), sr)
		}

		fleet[1].leaving.Heard(time.Now(), "e-1", "s2", 9)
		time.Sleep(time.Second)

		permitted := 0

		for i, in := range fleet {
			signs := in.leaving.All(time.Now())
			require.True(t, signs[0].Confirmed(), "instance %d", i)

			for range 20 {
				in.quota.Want(time.Now(), sr)
			}
		}

		for range 4 * 20 {
			time.Sleep(50 * time.Millisecond)

			for _, in := range fleet {
				for in.quota.Available(time.Now(), sr, quota.Claim{}) {
					in.quota.Take(time.Now(), sr, quota.Claim{})

					permitted++
				}

				in.quota.Want(time.Now(), sr)
			}
		}

		require.LessOrEqual(t, permitted, 4*20+5)
		require.GreaterOrEqual(t, permitted, 4*20*85/100)

		sent := time.Now()
		time.Sleep(20 * time.Millisecond)
		fleet[0].quota.Observe(time.Now(), sr, quota.Statement{}, sent)
		time.Sleep(time.Second)

		for i, in := range fleet {
			require.False(t, in.quota.Active(), "instance %d", i)
		}

		for _, in := range fleet {
			in.stop()
			in.done.Wait()
		}
	})
}

// Guards against changes that aren't known in time after a watch was swallowed (CONFIG,
// deployment adunni-search, inc1): by a silence for all or for one instance, long or over
// before anybody noticed, and where the reader is killed or one instance is alone.
func TestEveryChangeIsKnownInTime(t *testing.T) {
	everybody := []int{0, 1, 2, 3, 4}
	// The changes at 15 s and 20 s end all watches; those after them are swallowed.
	changes := []time.Duration{15 * time.Second, 20 * time.Second, 22 * time.Second, 25 * time.Second, 31 * time.Second}

	for _, c := range []struct {
		name      string
		instances int
		killed    int
		length    time.Duration
		silent    []int
	}{
		{"short silence for all", 5, -1, 300 * time.Millisecond, everybody},
		{"silence for all", 5, -1, 1500 * time.Millisecond, everybody},
		{"long silence for all", 5, -1, 8 * time.Second, everybody},
		{"one instance", 5, -1, 1500 * time.Millisecond, []int{2}},
		{"every reader", 5, -1, 1500 * time.Millisecond, []int{0, 1, 2}},
		{"reader killed", 5, 0, 1500 * time.Millisecond, everybody},
		{"alone", 1, -1, 1500 * time.Millisecond, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runModel(t, c.instances, c.killed, func(begin time.Time) []silence {
				at := begin.Add(20*time.Second + 800*time.Millisecond)

				return []silence{{begin: at, end: at.Add(c.length), instances: c.silent}}
			}, changes)
		})
	}
}

// Guards against changes that are missed, or known too late, after silences that overlap.
func TestEveryChangeIsKnownInTimeAfterRandomSilences(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			const instances = 5

			rng := rand.New(rand.NewPCG(seed, 1))
			changes := make([]time.Duration, 30)

			for i := range changes {
				changes[i] = time.Duration(rng.IntN(40_000)) * time.Millisecond
			}

			slices.Sort(changes)
			runModel(t, instances, int(seed%instances), func(begin time.Time) []silence {
				out := make([]silence, 5)

				for i := range out {
					at := begin.Add(time.Duration(rng.IntN(35_000)) * time.Millisecond)
					out[i] = silence{begin: at, end: at.Add(time.Duration(200+rng.IntN(6000)) * time.Millisecond)}

					for in := range instances {
						if i%2 == 0 || rng.IntN(2) == 0 {
							out[i].instances = append(out[i].instances, in)
						}
					}
				}

				return out
			}, changes)
		})
	}
}

// Guards against a call for each instance in each Bound while nothing changes.
func TestFewInstancesReadTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		s := &modelStore{changed: make(chan struct{})}
		fleet := startFleet(t, newNetwork(t), s, 9)

		time.Sleep(10 * time.Second)
		s.mu.Lock()
		before := s.calls
		s.mu.Unlock()
		time.Sleep(time.Minute)

		for _, in := range fleet {
			in.stop()
			in.done.Wait()
		}

		require.LessOrEqual(t, s.calls-before, 60, "one reader's calls")
	})
}
