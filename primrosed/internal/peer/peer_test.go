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

// waitLimit bounds the waits on conditions; it is far above what they take.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// searchFunc is a local searcher.
type searchFunc func(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)

func (f searchFunc) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	return f(ctx, cfg, req)
}

// Execute answers as the instance that Search says ran the query.
func (f searchFunc) Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	resp, err := f(ctx, cfg, &pb.SearchRequest{RequestId: req.GetKey(), Service: req.GetService()})
	if err != nil {
		return nil, err
	}

	return &pb.ExecuteResponse{Key: req.GetKey(), Instance: resp.GetInstance()}, nil
}

// Apply answers every operation as granted.
func (searchFunc) Apply(_ context.Context, op claims.Operation) (claims.Result, error) {
	return claims.Result{Outcome: claims.Granted, Claim: claims.Claim{State: claims.StateClaimed, ClaimID: op.ClaimID, Digest: op.Digest}}, nil
}

// node is one instance on loopback.
type node struct {
	*Mesh

	instance domain.Instance
	stop     func()
}

func testJitter(d time.Duration) time.Duration { return rand.N(d + 1) }

func start(tb testing.TB, id, failureDomain string, search searchFunc, seeds ...*node) *node {
	tb.Helper()

	return startWith(tb, id, failureDomain, search, func(*Options) {}, seeds...)
}

// startWith starts an instance whose options are changed by configure.
func startWith(tb testing.TB, id, failureDomain string, search searchFunc, configure func(*Options), seeds ...*node) *node {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)

	in := domain.Instance{ID: id, PeerAddress: l.Addr().String(), FailureDomain: failureDomain, Region: "region"}
	o := Options{
		Log: zerolog.Nop(), Holder: &configuration.Holder{}, Jitter: testJitter,
		Table: membership.New(in, 1, rand.New(rand.NewPCG(1, 1))),
	}

	for _, s := range seeds {
		o.Seeds = append(o.Seeds, s.instance.PeerAddress)
	}

	configure(&o)

	n := &node{Mesh: NewMesh(o), instance: in}
	n.Serve(search, search)
	n.SetReady()
	n.listener = l

	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	wg.Go(func() { n.Run(ctx) })
	n.stop = func() { cancel(); wg.Wait() }
	tb.Cleanup(n.stop)

	return n
}

func (n *node) live() int { return n.options.Table.View().Live.Len() }

func (n *node) version() uint64 { return n.options.Holder.Configuration().Version }

func (n *node) change(t *testing.T, i int) {
	t.Helper()

	next, err := configuration.Apply(n.options.Holder.Current(), configuration.Change{
		ID: fmt.Sprintf("change-%d", i), SetMember: &domain.Member{Name: "member", Weight: uint32(i)},
	})
	require.NoError(t, err)
	require.True(t, n.options.Holder.SetIfNewer(next))
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitLimit, 10*time.Millisecond, what)
}

func echo(_ context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	return &pb.SearchResponse{RequestId: req.GetRequestId(), ConfigurationVersion: cfg.Version}, nil
}

// Guards against instances that don't find each other from one seed, changes
// that don't reach everyone, a new instance that needs the store although its
// peers have the configuration, and a killed instance that stays in the table.
func TestFleetFindsItselfAndSpreadsChanges(t *testing.T) {
	first := start(t, "entry-0", "a", echo)
	all := []*node{first}

	for i := 1; i < 6; i++ {
		all = append(all, start(t, fmt.Sprintf("entry-%d", i), string(rune('a'+i%3)), echo, first))
	}

	for _, n := range all {
		eventually(t, "everyone knows everyone", func() bool { return n.live() == len(all) })
	}

	first.options.Holder.SetIfNewer(&configuration.Stored{})

	for i := 1; i <= 20; i++ {
		all[i%6].change(t, i)

		for _, n := range all {
			eventually(t, "the change is in force everywhere", func() bool { return n.version() == uint64(i) })
		}
	}

	late := start(t, "entry-9", "a", echo, all[3])
	eventually(t, "the new instance has the configuration", func() bool {
		return late.options.Holder.Loaded() && late.version() == 20
	})

	all[4].stop()
	eventually(t, "the stopped instance is dead", func() bool { return first.live() == 6 })
}

// Guards against a fleet that waits for the store although a peer has loaded
// the empty configuration.
func TestEmptyConfigurationIsFetched(t *testing.T) {
	first := start(t, "entry-0", "a", echo)
	first.options.Holder.SetIfNewer(&configuration.Stored{})

	second := start(t, "entry-1", "a", echo, first)
	eventually(t, "the second instance has loaded", second.options.Holder.Loaded)
}

// Guards against bytes that aren't frames: they must close the session with a
// typed error and leave the instance working.
func TestBadFramesCloseTheSession(t *testing.T) {
	n := start(t, "entry-0", "a", echo)
	before := badFrames.Get()

	oversized := binary.BigEndian.AppendUint32(nil, frame.MaxControl+1)
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

// stub is a peer that speaks the protocol by hand.
func stub(t *testing.T, id string, serve func(s *session)) domain.Instance {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	in := domain.Instance{ID: id, PeerAddress: l.Addr().String(), FailureDomain: "a", Region: "region"}
	m := NewMesh(Options{
		Log: zerolog.Nop(), Holder: &configuration.Holder{}, Jitter: testJitter,
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

// Guards against a peer whose session is open but silent: it must be closed,
// and the peer counted as dead when nobody reaches it.
func TestSilentSessionIsClosed(t *testing.T) {
	var sessions sync.Map

	silent := stub(t, "entry-9", func(s *session) {
		sessions.Store(s, true)
		<-s.mux.CloseChan()
	})
	n := start(t, "entry-0", "a", echo, &node{instance: silent})

	eventually(t, "the peer is known", func() bool { return n.live() == 2 })
	eventually(t, "the silent session is closed and dialled again", func() bool {
		count := 0

		sessions.Range(func(any, any) bool { count++; return true })

		return count >= 2
	})
}

// Guards against a cancelled relayed query that goes on at the holder, and
// against a planned stop that interrupts one.
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
	require.Empty(t, drained, "the drain ends before the query")
	close(release)
	require.NoError(t, <-failed)
	require.NoError(t, <-drained)
}

// listOf serves a list of the platform that the test changes.
type listOf struct{ atomic.Pointer[platform.List] }

func (l *listOf) Instances(_ context.Context, after uint64) (platform.List, error) {
	if now := l.Load(); now.Version != after {
		return *now, nil
	}

	return platform.List{}, nil
}

// Guards against a searcher that the platform calls leaving being known only to
// the instances that read the list, and against an older list that takes the
// word back.
func TestLeavingSearchersReachEveryInstance(t *testing.T) {
	list := &listOf{}
	list.Store(&platform.List{Version: 5, Instances: []platform.ListedInstance{
		{ID: "searcher-0", Role: "searcher", Leaving: true}, {ID: "searcher-1", Role: "searcher"},
	}})

	known := make([]atomic.Pointer[[]string], 3)
	record := func(i int, l Lister) func(*Options) {
		return func(o *Options) {
			o.SetLeaving = func(s []string) { known[i].Store(&s) }
			o.Lister = l
		}
	}
	reader := startWith(t, "entry-0", "a", nil, record(0, list))
	second := startWith(t, "entry-1", "b", nil, record(1, nil), reader)
	third := startWith(t, "entry-2", "c", nil, record(2, nil), second)

	for _, n := range []*node{reader, second, third} {
		eventually(t, "everyone knows everyone", func() bool { return n.live() == 3 })
	}

	knows := func(want ...string) func() bool {
		return func() bool {
			for i := range known {
				if got := known[i].Load(); got == nil || !slices.Equal(*got, want) {
					return false
				}
			}

			return true
		}
	}

	reader.readList(t.Context())
	eventually(t, "the leaving searcher is known", knows("searcher-0"))

	list.Store(&platform.List{Version: 4})
	reader.readList(t.Context())
	require.True(t, knows("searcher-0")(), "an older list takes nothing back")

	list.Store(&platform.List{Version: 6})
	reader.readList(t.Context())
	eventually(t, "the searcher is back", knows())
}
