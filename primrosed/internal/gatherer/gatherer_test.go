package gatherer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/gathering"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/serving"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/mux"
)

// lossyConn is one end of a pipe whose writes can be discarded, as in a network
// partition.
type lossyConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

// Write implements net.Conn.
func (c lossyConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// fakeEngine records the requests that it starts.
type fakeEngine struct {
	prepareErr error
	// prepareDelay is how long the preparation takes.
	prepareDelay time.Duration
	serve        func(ctx context.Context, r *serving.Request) (*serving.Response, error)

	mu    sync.Mutex // Guards the fields below.
	begun []*serving.Request
}

// Prepare implements Engine.
func (e *fakeEngine) Prepare(r *serving.Request, _ uint64) (func(context.Context) (*serving.Response, error), error) {
	time.Sleep(e.prepareDelay)

	if e.prepareErr != nil {
		return nil, e.prepareErr
	}

	return func(ctx context.Context) (*serving.Response, error) {
		e.mu.Lock()
		e.begun = append(e.begun, r)
		e.mu.Unlock()

		return e.serve(ctx, r)
	}, nil
}

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.begun)
}

// pair is a client and a server connected by pipes.
type pair struct {
	client   *Client
	server   *Server
	sessions *mux.Server
	engine   *fakeEngine
	// dropWrites discards what the server writes.
	dropWrites atomic.Bool
}

func answerOK(_ context.Context, r *serving.Request) (*serving.Response, error) {
	return &serving.Response{Gathered: true, Body: []byte("records of " + r.ID), Signatures: []string{"p1", "p2"}, Missing: 1}, nil
}

// inBubble runs f in a synctest bubble. yamux keeps timers in a pool, which must not
// pass them from one bubble to another; two garbage collections empty it.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// newPair returns a connected pair. It must be called in a bubble, whose end waits for
// every goroutine.
func newPair(t *testing.T, limit int) *pair {
	t.Helper()

	p := &pair{engine: &fakeEngine{serve: answerOK}}
	p.server = NewServer(zerolog.New(io.Discard), "g", p.engine, limit)
	p.sessions = mux.NewServer(zerolog.New(io.Discard), nil, func(ctx context.Context, peer string, first *pb.PeerFrame, stream *yamux.Stream) {
		p.server.Handle(ctx, peer, first.GetHandoverOffer(), stream)
	})
	p.client = NewClient(zerolog.New(io.Discard), "e", func(ctx context.Context, _ string) (net.Conn, error) {
		local, remote := net.Pipe()
		p.sessions.ServeConn(context.WithoutCancel(ctx), lossyConn{remote, &p.dropWrites})

		return local, nil
	}, nil)
	p.client.SetPlan(gathering.Plan{
		HandsOver: true, Near: []gathering.Instance{{ID: "g", Address: "x"}}, Gatherers: 1, Instances: 2,
	})
	t.Cleanup(func() {
		p.client.Close()
		p.sessions.Close()
		time.Sleep(mux.StreamCloseTimeout) // Half-closed streams have timers.
	})
	synctest.Wait()

	return p
}

var testRoute = &domain.Route{Name: "r", Host: "h", PathPrefix: "/a/", Shards: []string{"p", "q"}}

func testRequest() *serving.Request {
	return &serving.Request{
		ID: "r-1", Host: "h", Path: "/a/b", Target: "/a/b?c=%2f", Method: http.MethodGet, Body: []byte("body"),
		Header: http.Header{"X-Odd": {"1", "2"}}, Received: time.Now(), CallerTimeout: 3 * time.Second,
		Margin: 14 * time.Millisecond,
	}
}

// Guards against a request that changes on its way to the gatherer, and an answer
// that changes on its way back.
func TestQueriesAreHandedOver(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 1)
		r := testRequest()

		resp, by, begun, err := p.client.Gather(t.Context(), r, testRoute)
		require.NoError(t, err)
		require.True(t, begun)
		require.Equal(t, "g", by)
		require.Equal(t, &serving.Response{
			Status: 200, Gathered: true, Body: []byte("records of r-1"), Signatures: []string{"p1", "p2"}, Missing: 1,
		}, resp)

		got := *p.engine.begun[0]
		require.Equal(t, "e", got.HandedOverBy)
		require.Zero(t, got.Received.Sub(r.Received))

		got.HandedOverBy, got.Received = "", r.Received
		require.Equal(t, *r, got)
	})
}

// Guards against a query that is gathered twice: a gatherer that was stalled, or whose
// answers were lost, reads an offer that has timed out at the sender, and starts it.
func TestTimedOutOffersAreNotBegun(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		p.dropWrites.Store(true)

		begin := time.Now()
		_, _, begun, _ := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun)
		require.LessOrEqual(t, time.Since(begin), acceptTimeout)

		time.Sleep(time.Second)
		require.Zero(t, p.engine.count())

		// It gets no offers until its backoff has passed, and then is tried again.
		p.dropWrites.Store(false)
		time.Sleep(minBackoff)

		_, _, begun, _ = p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun, "the session is opened in the background")
		synctest.Wait()

		_, _, begun, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.NoError(t, err)
		require.True(t, begun)
	})
}

// Guards against a caller that waits until its deadline for a gatherer that has
// failed, and against reporting the fate of its query as known.
func TestSilentGatherersTimeOut(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		p.engine.serve = func(ctx context.Context, _ *serving.Request) (*serving.Response, error) {
			p.dropWrites.Store(true)
			<-ctx.Done()

			return nil, ctx.Err()
		}

		begin := time.Now()
		_, _, begun, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.True(t, begun)
		require.LessOrEqual(t, time.Since(begin), pingInterval+mux.WriteTimeout)

		var e *domain.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.FateUnknown, e.Fate)
		require.Equal(t, domain.CodePeerUnavailable, e.Code)
	})
}

// startHeld starts a query that waits for release; done gets its error.
func (p *pair) startHeld(t *testing.T) (release func(), done chan error) {
	t.Helper()

	held := make(chan struct{})
	p.engine.serve = func(ctx context.Context, r *serving.Request) (*serving.Response, error) {
		select {
		case <-held:
			return answerOK(ctx, r)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	done = make(chan error, 1)

	go func() {
		_, _, _, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		done <- err
	}()

	synctest.Wait()
	require.Equal(t, 1, p.engine.count())

	return func() { close(held) }, done
}

// Guards against an offer that isn't accepted in time and fails the other queries of
// its session. Seen with a gatherer whose CPU was busy for 40 ms (36 shards with
// one slot each and 14 connections).
func TestSlowAcceptanceKeepsOtherQueries(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		release, done := p.startHeld(t)

		p.engine.prepareDelay = acceptTimeout + 10*time.Millisecond

		_, _, begun, _ := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun)
		time.Sleep(time.Second)
		release()
		require.NoError(t, <-done)
		require.Equal(t, 1, p.engine.count())

		// The session is still there.
		p.engine.prepareDelay = 0

		_, _, begun, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.NoError(t, err)
		require.True(t, begun)
	})
}

// Guards against an answer that can't be sent and fails the other queries of its
// session.
func TestLostAnswerKeepsOtherQueries(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		release, done := p.startHeld(t)
		p.engine.serve = func(context.Context, *serving.Request) (*serving.Response, error) {
			return &serving.Response{Body: make([]byte, frame.MaxRelayBytes)}, nil
		}

		_, _, begun, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.True(t, begun)
		require.Error(t, err, "the answer is too large for a frame")
		time.Sleep(time.Second)
		release()
		require.NoError(t, <-done)
	})
}

// Guards against queries that are lost when their gatherer leaves the plan: one that
// is stopping finishes its queries, but is no longer on the list of instances.
func TestQueriesSurvivePlanChange(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		release, done := p.startHeld(t)

		p.client.SetPlan(gathering.Plan{Gatherers: 1, Instances: 1})
		time.Sleep(time.Second)
		release()
		require.NoError(t, <-done)
		synctest.Wait()
		require.Zero(t, p.sessions.Sessions(), "the session is no longer needed")
	})
}

// Guards against searchers that go on with a query after its caller has cancelled it.
func TestCallerCancellationEndsQuery(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		p.engine.serve = func(ctx context.Context, _ *serving.Request) (*serving.Response, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()

		_, _, begun, err := p.client.Gather(ctx, testRequest(), testRoute)
		require.True(t, begun)

		var e *domain.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.CodeCancelled, e.Code)
		synctest.Wait()
		require.NoError(t, p.server.Stop(t.Context()), "the query is still in progress")
	})
}

// Guards against an instance that stops with queries of others unanswered, and one
// that accepts more than its limit.
func TestLimitAndGracefulShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 1)
		release, done := p.startHeld(t)

		_, _, begun, _ := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun, "the limit is reached")

		stopped := make(chan error, 1)

		go func() { stopped <- p.server.Stop(t.Context()) }()

		synctest.Wait()
		require.Empty(t, stopped)
		release()
		require.NoError(t, <-done)
		require.NoError(t, <-stopped)

		_, _, begun, _ = p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun, "the instance is stopping")
		require.Equal(t, 1, p.engine.count())
	})
}

// Guards against a query that is served by another configuration than that of the
// instance which received it, and against a refusal that loses its fate.
func TestRefusalsKeepCodeAndFate(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		p := newPair(t, 4)
		p.engine.prepareErr = domain.Errorf(domain.FateNotRun, domain.CodeConflict, "match route", "another version")

		_, _, begun, _ := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.False(t, begun)

		p.engine.prepareErr = nil
		refusal := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "serve", "queue full")
		refusal.RetryAfter = 120 * time.Millisecond
		p.engine.serve = func(context.Context, *serving.Request) (*serving.Response, error) { return nil, refusal }

		_, _, begun, err := p.client.Gather(t.Context(), testRequest(), testRoute)
		require.True(t, begun)

		var e *domain.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.FateNotRun, e.Fate)
		require.Equal(t, domain.CodeOverloaded, e.Code)
		require.Equal(t, 120*time.Millisecond, e.RetryAfter)

		p.engine.serve = func(context.Context, *serving.Request) (*serving.Response, error) {
			return nil, errors.New("unclassified")
		}
		_, _, _, err = p.client.Gather(t.Context(), testRequest(), testRoute)
		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.FateUnknown, e.Fate)
	})
}
