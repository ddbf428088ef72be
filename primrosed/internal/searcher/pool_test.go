package searcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/integrity"
)

// server is a searcher on in-memory connections.
type server struct {
	primrosespringv1connect.UnimplementedSearcherServiceHandler

	mu          sync.Mutex // Guards the fields below.
	conns       []*pipe
	refuseDial  bool
	cancels     bool // Answers each request with a cancellation.
	serviceTime time.Duration
	corrupt     bool
	accept      chan net.Conn
}

// pipe is the searcher's end of a connection. A frozen one writes nothing, and
// isn't closed.
type pipe struct {
	net.Conn

	frozen chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (p *pipe) Write(b []byte) (int, error) {
	select {
	case <-p.frozen:
		<-p.closed

		return 0, net.ErrClosed
	default:
		return p.Conn.Write(b)
	}
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.closed) })

	return p.Conn.Close()
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.refuseDial {
		return nil, errors.New("connection refused")
	}

	clientEnd, serverEnd := net.Pipe()
	p := &pipe{Conn: serverEnd, frozen: make(chan struct{}), closed: make(chan struct{})}
	s.conns = append(s.conns, p)
	s.accept <- p

	return clientEnd, nil
}

func (s *server) Accept() (net.Conn, error) {
	c, ok := <-s.accept
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (s *server) Close() error   { return nil }
func (s *server) Addr() net.Addr { return &net.TCPAddr{} }

func (s *server) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// open returns how many connections the pool hasn't closed.
func (s *server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := 0

	for _, c := range s.conns {
		select {
		case <-c.closed:
		default:
			n++
		}
	}

	return n
}

func (s *server) Run(ctx context.Context, req *pb.RunRequest) (*pb.RunResponse, error) {
	s.mu.Lock()
	serviceTime, corrupt, cancels := s.serviceTime, s.corrupt, s.cancels
	s.mu.Unlock()

	if cancels {
		return nil, context.Canceled
	}

	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}

	resp := &pb.RunResponse{QueryId: req.GetQueryId(), Attempt: req.GetAttempt(), Shard: req.GetShard(), Snapshot: req.GetSnapshot()}
	resp.Checksum = integrity.RunChecksum(resp)

	if corrupt {
		resp.QueryId = "other"
	}

	return resp, nil
}

func (s *server) Ping(context.Context, *pb.PingRequest) (*pb.PingResponse, error) {
	return &pb.PingResponse{}, nil
}

var testSearcher = domain.Searcher{ID: "s0", Address: "127.0.0.1:9000", Slots: 2, Connections: 25, FailureDomain: "d"}

func configurationOf(searchers ...domain.Searcher) *domain.Configuration {
	return &domain.Configuration{Version: 1, Services: []domain.Service{{
		Name: "booking", PartitionMap: domain.PartitionMap{Version: 1, Shards: []domain.Shard{{Searchers: searchers}}},
	}}}
}

// withPool runs f with a pool that is connected to a fake searcher.
func withPool(t *testing.T, f func(p *Pool, s *server)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &server{serviceTime: 5 * time.Millisecond, accept: make(chan net.Conn, 16)}
		mux := http.NewServeMux()
		mux.Handle(primrosespringv1connect.NewSearcherServiceHandler(s))

		var protocols http.Protocols

		protocols.SetUnencryptedHTTP2(true)

		h := &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: time.Minute}

		var wg sync.WaitGroup

		wg.Go(func() { _ = h.Serve(s) })

		p := &Pool{Dial: s.dial}
		f(p, s)
		p.Close()
		synctest.Wait()
		close(s.accept)
		_ = h.Close()
		wg.Wait()
	})
}

func run(p *Pool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	_, err := p.Run(ctx, &testSearcher, &pb.RunRequest{QueryId: "q", Snapshot: &pb.Snapshot{IndexVersion: 1}})

	return err
}

func codeOf(t *testing.T, err error) domain.Code {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)

	return e.Code
}

// Guards against a first query that waits for its connection, and against more
// connections than the searcher's limit allows each instance.
func TestConfigureOpensConnections(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		p.Configure(configurationOf(testSearcher), holders(10))
		synctest.Wait()
		require.Equal(t, 2, s.opened(), "80% of 25 connections for 10 holders")

		p.Configure(configurationOf(testSearcher), holders(5))
		synctest.Wait()
		require.Equal(t, 4, s.open(), "80% of 25 connections for 5 holders")

		p.Configure(configurationOf(testSearcher), holders(100))
		synctest.Wait()
		require.Equal(t, 1, s.open())
		require.NoError(t, run(p))

		p.Configure(configurationOf(testSearcher), holders(0))
		synctest.Wait()
		require.Equal(t, 0, s.open(), "another instance holds the service")
	})
}

// holders returns n as the number of holders of every service.
func holders(n int) func(string) int { return func(string) int { return n } }

// Guards against requests that wait until their deadline for answers on a silent
// connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		p.Configure(configurationOf(testSearcher), holders(100))
		synctest.Wait()
		require.NoError(t, run(p))
		close(s.conns[0].frozen)

		start := time.Now()
		err := run(p)
		require.Equal(t, domain.CodeSearcherSilent, codeOf(t, err))
		require.Less(t, time.Since(start), time.Second)

		require.NoError(t, run(p))
		require.Equal(t, 2, s.opened())
		require.Equal(t, 1, s.open())
	})
}

// Guards against closing a connection because one request is slow.
func TestSlowConnectionIsKept(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		p.Configure(configurationOf(testSearcher), holders(100))
		synctest.Wait()
		require.NoError(t, run(p))

		s.mu.Lock()
		s.serviceTime = 3 * time.Second
		s.mu.Unlock()

		require.NoError(t, run(p))
		require.Equal(t, 1, s.opened())
	})
}

// Guards against further use of a connection that delivered an answer to another
// request.
func TestCorruptAnswerClosesConnection(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		p.Configure(configurationOf(testSearcher), holders(100))
		synctest.Wait()

		s.mu.Lock()
		s.corrupt = true
		s.mu.Unlock()

		require.Equal(t, domain.CodeCorrupt, codeOf(t, run(p)))
		synctest.Wait()
		require.Equal(t, 2, s.opened())
		require.Equal(t, 1, s.open())
	})
}

// Guards against a configuration change that interrupts requests, and against
// connections to a removed searcher.
func TestRemovedSearcherClosesAfterLastAnswer(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		s.serviceTime = time.Second

		p.Configure(configurationOf(testSearcher), holders(10))
		synctest.Wait()

		var (
			wg  sync.WaitGroup
			err error
		)

		wg.Go(func() { err = run(p) })
		synctest.Wait()
		p.Configure(&domain.Configuration{Version: 2}, holders(10))
		synctest.Wait()
		require.Equal(t, 1, s.open(), "the busy connection")
		wg.Wait()
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 0, s.open())
	})
}

// Guards against a refused connection that is reported as if the request might
// have run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		s.refuseDial = true

		err := run(p)
		require.Equal(t, domain.CodeSearcherUnavailable, codeOf(t, err))

		var e *domain.Error

		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.FateNotRun, e.Fate)
	})
}

// Guards against taking a searcher's cancellation for the caller's, which says
// nothing about the searcher: one that is being killed cancels the requests that
// it runs.
func TestCancelledBySearcherIsUnavailable(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		s.cancels = true
		require.Equal(t, domain.CodeSearcherUnavailable, codeOf(t, run(p)))
	})
}

// Guards against a cancellation that closes the connection.
func TestCancelKeepsConnection(t *testing.T) {
	withPool(t, func(p *Pool, s *server) {
		p.Configure(configurationOf(testSearcher), holders(100))
		synctest.Wait()
		s.serviceTime = time.Second

		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := p.Run(ctx, &testSearcher, &pb.RunRequest{QueryId: "q"})

		cancel()
		require.Equal(t, domain.CodeDeadline, codeOf(t, err))
		require.NoError(t, run(p))
		require.Equal(t, 1, s.opened())
	})
}
