// Package mux serves and opens the yamux sessions between hosted instances.
// Each stream carries one exchange; the type of its first frame selects the
// kind of exchange.
package mux

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/contain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/memory"
	"primrosespring.example/primrosed/internal/frame"
)

const (
	// WriteTimeout bounds a write and the answer to a ping. The longest round
	// trip between failure domains takes 10 ms; the rest allows for a busy CPU.
	WriteTimeout = 250 * time.Millisecond
	// StreamCloseTimeout is how long a half-closed stream keeps its state.
	StreamCloseTimeout = 5 * time.Second
	// firstFrameTimeout bounds the arrival of the first frame on a new stream.
	firstFrameTimeout = 2 * time.Second
	// maxStreams bounds the streams of a session that are served at a time, and maxBacklog
	// those that wait to be accepted; more are reset. yamux buffers 256 KiB for each.
	maxStreams = 128
	maxBacklog = 64
	// minAcceptWait and maxAcceptWait bound the time after which a listener that failed is
	// tried again.
	minAcceptWait = 5 * time.Millisecond
	maxAcceptWait = time.Second
	// maxOpening bounds the streams that this instance opens and that aren't accepted yet.
	maxOpening = 1024
)

var acceptsFailed = metrics.NewCounter("primrose_peer_accepts_failed_total")

// Handler serves one stream, whose first frame has been read; peer is the remote
// address. The read deadline of the first frame is still set. The stream is closed
// after Handler returns.
type Handler func(ctx context.Context, peer string, first *pb.PeerFrame, stream *yamux.Stream)

// Server serves the sessions of other instances. It is safe for concurrent use.
type Server struct {
	log    zerolog.Logger
	handle Handler
	frames *memory.Budget

	sessions sync.WaitGroup

	mu     sync.Mutex // Guards the fields below.
	open   map[*yamux.Session]bool
	closed bool
}

// NewServer returns a server that passes each stream to handle. frames bounds the first frames
// that are being read; nil sets no bound.
func NewServer(log zerolog.Logger, frames *memory.Budget, handle Handler) *Server {
	return &Server{log: log, handle: handle, frames: frames, open: make(map[*yamux.Session]bool)}
}

// Serve serves the connections of a listener until it is closed or ctx ends. Accept fails for a
// time when file descriptors run out.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	wait := minAcceptWait

	for {
		nc, err := l.Accept()

		switch {
		case err == nil:
			wait = minAcceptWait

			s.ServeConn(ctx, nc)

			continue
		case errors.Is(err, net.ErrClosed):
			return err
		}

		acceptsFailed.Inc()
		s.log.Warn().Str("event", "accept_failed").Str("address", l.Addr().String()).Int64("wait_ms", wait.Milliseconds()).Err(err).Send()

		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}

		wait = min(2*wait, maxAcceptWait)
	}
}

// ServeConn serves one connection in the background until it ends or Close is called.
func (s *Server) ServeConn(ctx context.Context, nc net.Conn) {
	s.sessions.Go(func() { s.serveSession(ctx, nc) })
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.open)
}

// Close ends all sessions and waits for their handlers; the listener must be closed
// before.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()

	for _, session := range open {
		_ = session.Close()
	}

	s.sessions.Wait()
}

func (s *Server) serveSession(ctx context.Context, nc net.Conn) {
	session, err := yamux.Server(nc, config(maxBacklog))
	if err != nil {
		_ = nc.Close()

		return
	}

	s.mu.Lock()
	s.open[session] = true
	closed := s.closed
	s.mu.Unlock()

	if closed {
		_ = session.Close()
	}

	defer func() {
		_ = session.Close()

		s.mu.Lock()
		delete(s.open, session)
		s.mu.Unlock()
	}()

	var streams sync.WaitGroup
	defer streams.Wait()

	slots := make(chan struct{}, maxStreams)

	for {
		slots <- struct{}{}

		stream, err := session.AcceptStream()
		if err != nil {
			return
		}

		streams.Go(func() {
			defer func() { <-slots }()

			s.serveStream(ctx, nc.RemoteAddr().String(), stream)
		})
	}
}

func (s *Server) serveStream(ctx context.Context, peer string, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()

	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout)) // A closed stream fails below.

	// A panic ends this stream, which the sender sees; it is logged there.
	_ = contain.Call(s.log, "serve stream", peer, func() error {
		f, err := frame.Read(stream, peer, frame.MaxRelayBytes, s.frames)
		if err != nil {
			s.log.Warn().Str("event", "peer_frame_unreadable").Str("peer", peer).Err(err).Send()

			return nil
		}

		s.handle(ctx, peer, f, stream)

		return nil
	})
}

// Dial opens a session with the instance at the address.
func Dial(ctx context.Context, dial http1.DialFunc, address string) (*yamux.Session, error) {
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}

	s, err := yamux.Client(nc, config(maxOpening))
	if err != nil {
		return nil, errors.Join(err, nc.Close())
	}

	go refuseStreams(s)

	return s, nil
}

// refuseStreams closes a session whose server opens a stream, which no server does; nobody
// would read what is sent on it. It returns when the session is closed.
func refuseStreams(s *yamux.Session) {
	if _, err := s.AcceptStream(); err == nil {
		_ = s.Close()
	}
}

// config returns the configuration of a session in which so many streams may wait to be
// accepted.
func config(backlog int) *yamux.Config {
	c := yamux.DefaultConfig()
	// Users of a session ping it while they wait for an answer. If the peer of an
	// idle session stops responding, the next exchange detects it.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = WriteTimeout
	c.StreamOpenTimeout = 0 // A stream that isn't accepted must not end its session.
	c.StreamCloseTimeout = StreamCloseTimeout
	c.AcceptBacklog = backlog
	c.LogOutput = io.Discard

	return c
}
