package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/platform"
)

// waitLimit bounds each wait for a condition, far above what it takes.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// searchFunc implements QueryRunner and Executor.
type searchFunc func(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)

func (f searchFunc) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	return f(ctx, cfg, req)
}

// Execute answers as the instance that f names in its response.
func (f searchFunc) Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	resp, err := f(ctx, cfg, &pb.SearchRequest{RequestId: req.GetKey(), Service: req.GetService()})
	if err != nil {
		return nil, err
	}

	return &pb.ExecuteResponse{Key: req.GetKey(), Instance: resp.GetInstance()}, nil
}

// Apply grants every operation.
func (searchFunc) Apply(_ context.Context, op claims.Operation) (claims.Result, error) {
	return claims.Result{Outcome: claims.Granted, Claim: claims.Claim{State: claims.StateClaimed, ClaimID: op.ClaimID, Digest: op.Digest}}, nil
}

// testInstance is an instance on loopback.
type testInstance struct {
	*Mesh

	instance domain.Instance
	stop     func()
}

func testJitter(d time.Duration) time.Duration { return rand.N(d + 1) }

func start(tb testing.TB, id, failureDomain string, search searchFunc, seeds ...*testInstance) *testInstance {
	tb.Helper()

	return startWith(tb, id, failureDomain, search, func(*Options) {}, seeds...)
}

// startWith starts an instance whose options are changed by configure.
func startWith(tb testing.TB, id, failureDomain string, search searchFunc, configure func(*Options), seeds ...*testInstance) *testInstance {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)

	in := domain.Instance{ID: id, PeerAddress: l.Addr().String(), FailureDomain: failureDomain, Region: "region"}
	o := Options{
		Log: zerolog.Nop(), Keeper: &configuration.Keeper{}, Jitter: testJitter,
		Table: membership.New(in, 1, rand.New(rand.NewPCG(1, 1))),
	}

	for _, s := range seeds {
		o.Seeds = append(o.Seeds, s.instance.PeerAddress)
	}

	configure(&o)

	n := &testInstance{Mesh: NewMesh(o), instance: in}
	n.SetHandlers(search, search)
	n.SetReady()
	n.listener = l

	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	wg.Go(func() { n.Run(ctx) })
	n.stop = func() { cancel(); wg.Wait() }
	tb.Cleanup(n.stop)

	return n
}

func (n *testInstance) live() int { return n.options.Table.View().Live.Len() }

func (n *testInstance) version() uint64 { return n.options.Keeper.Configuration().Version }

func (n *testInstance) change(t *testing.T, i int) {
	t.Helper()

	next, err := configuration.Apply(n.options.Keeper.Current(), configuration.Change{
		ID: fmt.Sprintf("change-%d", i), SetMember: &domain.Member{Name: "member", Weight: uint32(i)},
	})
	require.NoError(t, err)
	require.True(t, n.options.Keeper.SetIfNewer(next))
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitLimit, 10*time.Millisecond, what)
}

func echo(_ context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	return &pb.SearchResponse{RequestId: req.GetRequestId(), ConfigurationVersion: cfg.Version}, nil
}

// Guards against instances that don't discover each other from one seed, changes
// that don't reach every instance, a new instance that needs the store although
// its peers have the configuration, and a stopped instance that stays live in the
// table.
func TestDiscoveryAndConfigurationPush(t *testing.T) {
	first := start(t, "entry-0", "a", echo)
	all := []*testInstance{first}

	for i := 1; i < 6; i++ {
		all = append(all, start(t, fmt.Sprintf("entry-%d", i), string(rune('a'+i%3)), echo, first))
	}

	for _, n := range all {
		eventually(t, "every instance sees all others", func() bool { return n.live() == len(all) })
	}

	first.options.Keeper.SetIfNewer(&configuration.Stored{})

	for i := 1; i <= 20; i++ {
		all[i%6].change(t, i)

		for _, n := range all {
			eventually(t, "the change is in force everywhere", func() bool { return n.version() == uint64(i) })
		}
	}

	joined := start(t, "entry-9", "a", echo, all[3])
	eventually(t, "the new instance has the configuration", func() bool {
		return joined.options.Keeper.Loaded() && joined.version() == 20
	})

	all[4].stop()
	eventually(t, "the stopped instance is dead", func() bool { return first.live() == 6 })
}

// Guards against an instance that waits for the store although a peer has loaded
// the empty configuration.
func TestEmptyConfigurationIsFetched(t *testing.T) {
	first := start(t, "entry-0", "a", echo)
	first.options.Keeper.SetIfNewer(&configuration.Stored{})

	second := start(t, "entry-1", "a", echo, first)
	eventually(t, "the second instance has loaded", second.options.Keeper.Loaded)
}

// Guards against an invalid frame that leaves the session open, isn't counted or
// keeps the instance from accepting further sessions.
func TestBadFramesCloseTheSession(t *testing.T) {
	n := start(t, "entry-0", "a", echo)
	before := badFrames.Get()

	oversized := binary.BigEndian.AppendUint32(nil, frame.MaxControlBytes+1)
	garbage := append(binary.BigEndian.AppendUint32(nil, 4), 0xff, 0xff, 0xff, 0xff)
	empty := binary.BigEndian.AppendUint32(nil, 0)

	for _, bad := range [][]byte{oversized, garbage, empty} {
		conn, err := net.Dial("tcp", n.instance.PeerAddress)
		require.NoError(t, err)

		mux, err := yamux.Client(conn, muxConfig())
		require.NoError(t, err)

		stream, err := mux.OpenStream()
		require.NoError(t, err)

		// The session may be closed before the write returns.
		_, _ = stream.Write(bad)
		_ = stream.SetReadDeadline(time.Now().Add(waitLimit))

		_, err = stream.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotErrorIs(t, err, yamux.ErrTimeout, "the session stays open")
		require.NoError(t, mux.Close())
	}

	eventually(t, "the bad frames are counted", func() bool { return badFrames.Get() == before+3 })
}

// fakePeer starts a peer whose accepted sessions are served by serve.
func fakePeer(t *testing.T, id string, serve func(s *session)) domain.Instance {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	in := domain.Instance{ID: id, PeerAddress: l.Addr().String(), FailureDomain: "a", Region: "region"}
	m := NewMesh(Options{
		Log: zerolog.Nop(), Keeper: &configuration.Keeper{}, Jitter: testJitter,
		Table: membership.New(in, 1, rand.New(rand.NewPCG(1, 1))),
	})

	var wg sync.WaitGroup

	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			stop := context.AfterFunc(t.Context(), func() { _ = conn.Close() })

			wg.Go(func() {
				defer stop()

				if s, err := m.accept(conn); err == nil {
					serve(s)
					s.close()
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()

		wg.Wait()
	})

	return in
}

// Guards against a session that stays open although the peer is silent.
func TestSilentSessionIsClosed(t *testing.T) {
	var sessions sync.Map

	silent := fakePeer(t, "entry-9", func(s *session) {
		sessions.Store(s, true)
		<-s.mux.CloseChan()
	})
	n := start(t, "entry-0", "a", echo, &testInstance{instance: silent})

	eventually(t, "the peer is live", func() bool { return n.live() == 2 })
	eventually(t, "the silent session is closed and dialled again", func() bool {
		count := 0

		sessions.Range(func(any, any) bool { count++; return true })

		return count >= 2
	})
}

// Guards against a cancelled relayed query that continues at the holder, and
// against a graceful shutdown that interrupts one.
func TestCancelAndDrain(t *testing.T) {
	entered, cancelled := make(chan struct{}), make(chan struct{})
	release := make(chan struct{})
	holder := start(t, "entry-0", "a", func(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
		entered <- struct{}{}

		select {
		case <-ctx.Done():
			close(cancelled)

			return nil, ctx.Err()
		case <-release:
			return echo(ctx, cfg, req)
		}
	})
	other := start(t, "entry-1", "a", echo)

	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)

	go func() {
		_, err := other.RelaySearch(ctx, holder.instance, 0, waitLimit, "q", searchRequest("r"))
		failed <- err
	}()

	<-entered
	cancel()
	<-cancelled

	var e *domain.Error

	require.ErrorAs(t, <-failed, &e)
	require.Equal(t, domain.FateUnknown, e.Fate)

	go func() {
		_, err := other.RelaySearch(t.Context(), holder.instance, 0, waitLimit, "q", searchRequest("r"))
		failed <- err
	}()

	<-entered

	drained := make(chan error, 1)

	go func() { drained <- holder.Drain(t.Context()) }()

	eventually(t, "new relayed queries are refused as not run", func() bool {
		quick, done := context.WithTimeout(t.Context(), time.Second)
		defer done()

		holder.mu.Lock()
		draining := holder.draining
		holder.mu.Unlock()

		if !draining {
			return false
		}

		_, err := other.RelaySearch(quick, holder.instance, 0, time.Second, "q2", searchRequest("r2"))

		return errors.As(err, &e) && e.Fate == domain.FateNotRun && e.Code == domain.CodeStopping
	})
	require.Empty(t, drained, "the drain ended before the query")
	close(release)
	require.NoError(t, <-failed)
	require.NoError(t, <-drained)
}

// fakeList is the platform's list, as stored by the test.
type fakeList struct{ atomic.Pointer[platform.List] }

func (l *fakeList) Instances(_ context.Context, after uint64) (platform.List, error) {
	if now := l.Load(); now.Version != after {
		return *now, nil
	}

	return platform.List{}, nil
}

// Guards against a leaving searcher that only the instances that read the
// platform's list know of, and against an older list that reverts a newer one.
func TestLeavingSearchersReachEveryInstance(t *testing.T) {
	list := &fakeList{}
	list.Store(&platform.List{Version: 5, Instances: []platform.ListedInstance{
		{ID: "searcher-0", Role: "searcher", Leaving: true}, {ID: "searcher-1", Role: "searcher"},
	}})

	leaving := make([]atomic.Pointer[[]string], 3)
	record := func(i int, l Lister) func(*Options) {
		return func(o *Options) {
			o.SetLeaving = func(s []string) { leaving[i].Store(&s) }
			o.Lister = l
		}
	}
	reader := startWith(t, "entry-0", "a", nil, record(0, list))
	second := startWith(t, "entry-1", "b", nil, record(1, nil), reader)
	third := startWith(t, "entry-2", "c", nil, record(2, nil), second)

	for _, n := range []*testInstance{reader, second, third} {
		eventually(t, "every instance sees all others", func() bool { return n.live() == 3 })
	}

	allHave := func(want ...string) func() bool {
		return func() bool {
			for i := range leaving {
				if got := leaving[i].Load(); got == nil || !slices.Equal(*got, want) {
					return false
				}
			}

			return true
		}
	}

	reader.readList(t.Context())
	eventually(t, "every instance has the leaving searcher", allHave("searcher-0"))

	list.Store(&platform.List{Version: 4})
	reader.readList(t.Context())
	require.True(t, allHave("searcher-0")(), "an older list changes nothing")

	list.Store(&platform.List{Version: 6})
	reader.readList(t.Context())
	eventually(t, "the searcher is no longer leaving", allHave())
}
