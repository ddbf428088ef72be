package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/frame"
)

const (
	// requestTimeout bounds the time until a new stream has delivered its request,
	// and a forwarded claim whose context has no deadline.
	requestTimeout = 5 * time.Second
	// relayIdleTimeout is how long an idle relay session stays open.
	relayIdleTimeout = time.Minute
	// pingAfter is the time without received data after which a relay session
	// with outstanding requests is pinged; pingTimeout bounds the wait for the
	// answer.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// exchange sends a request frame on a stream of its own and returns the answer
// frame; limit bounds each in bytes. sent reports whether the peer may have
// received the request.
func (m *Mesh) exchange(ctx context.Context, s *session, req *pb.PeerFrame, limit int) (answer *pb.PeerFrame, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}

	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, false, err
	}

	// Closing the stream cancels the request at the peer.
	defer func() { _ = stream.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	req.Id = m.nextID.Add(1)

	if err := frame.Write(stream, req, limit); err != nil {
		var fe *frame.Error

		return nil, !errors.As(err, &fe), err
	}

	answer, err = frame.Read(stream, s.id(), limit, m.options.Frames)
	if err != nil {
		m.logFrameError(err)

		if ctx.Err() != nil {
			return nil, true, ctx.Err()
		}

		return nil, true, err
	}

	if answer.GetId() != req.GetId() {
		s.close()

		return nil, true, &frame.Error{Peer: s.id(), Reason: fmt.Sprintf("answer is for request %d, not %d", answer.GetId(), req.GetId())}
	}

	return answer, true, nil
}

// acceptStreams answers the requests of a peer until the session is closed.
func (m *Mesh) acceptStreams(ctx context.Context, s *session) {
	defer s.close()

	slots := make(chan struct{}, maxServedStreams)

	for {
		select {
		case slots <- struct{}{}:
		case <-s.closed:
			return
		}

		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}

		serve := func() {
			defer func() { <-slots }()

			m.serveStream(ctx, s, stream)
		}

		if !m.goRun(serve) {
			return
		}
	}
}

func (m *Mesh) serveStream(ctx context.Context, s *session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()

	s.lastUsed.Store(time.Now().UnixNano())
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))

	f, err := frame.Read(stream, s.id(), frame.MaxRelayBytes, m.options.Frames)
	if err != nil {
		var fe *frame.Error
		if errors.As(err, &fe) {
			m.logFrameError(err)
			s.close()
		}

		return
	}

	_ = stream.SetReadDeadline(time.Time{})

	switch f.GetBody().(type) {
	case *pb.PeerFrame_Fetch:
		err = m.answerFetch(stream, f)
	case *pb.PeerFrame_RelaySearch, *pb.PeerFrame_RelayExecute, *pb.PeerFrame_ClaimApply:
		err = m.answerRelay(ctx, s, stream, f)
	case *pb.PeerFrame_PositionRequest:
		err = m.answerPermits(stream, f)
	default:
		err = &frame.Error{Peer: s.id(), Reason: fmt.Sprintf("%T isn't a request", f.GetBody())}
		m.logFrameError(err)
		s.close()
	}

	if err != nil {
		m.options.Log.Debug().Str("event", "answer_failed").Str("peer", s.id()).Err(err).Send()
	}
}

// relaySession returns the open relay session with an instance, or dials one.
func (m *Mesh) relaySession(ctx context.Context, to domain.Instance) (*session, error) {
	for {
		m.mu.Lock()

		if s := m.relays[to.ID]; s != nil && !s.mux.IsClosed() {
			m.mu.Unlock()

			return s, nil
		}

		if m.closed {
			m.mu.Unlock()

			return nil, errors.New("the mesh is closed")
		}

		dialling, ok := m.relayDials[to.ID]
		if !ok {
			dialling = make(chan struct{})
			m.relayDials[to.ID] = dialling
			m.mu.Unlock()

			return m.dialRelay(ctx, to, dialling)
		}
		m.mu.Unlock()

		select {
		case <-dialling:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *Mesh) dialRelay(ctx context.Context, to domain.Instance, done chan struct{}) (*session, error) {
	s, err := m.dial(ctx, to.PeerAddress, pb.SessionKind_SESSION_KIND_RELAY)
	if err == nil && s.id() != to.ID {
		s.close()

		err = errors.Errorf("another instance, %s, answers at %s", s.id(), to.PeerAddress)
	}

	m.mu.Lock()
	delete(m.relayDials, to.ID)
	close(done)

	if err == nil {
		m.relays[to.ID] = s
	}
	m.mu.Unlock()

	if err != nil {
		return nil, err
	}

	// The session outlives the request that it was opened for.
	background := context.WithoutCancel(ctx)
	if !m.goRun(func() { m.runSession(background, s) }) {
		s.close()

		return nil, errors.New("the mesh is closed")
	}

	return s, nil
}

// checkRelay closes a dialled relay session that is idle, and pings one that is
// silent although requests are outstanding.
func (m *Mesh) checkRelay(_ context.Context, s *session, now time.Time) {
	if s.kind != pb.SessionKind_SESSION_KIND_RELAY || !s.dialled {
		return
	}

	if s.outstanding.Load() == 0 {
		if now.Sub(time.Unix(0, s.lastUsed.Load())) > relayIdleTimeout {
			s.close()
		}

		return
	}

	if s.conn.sinceLastRead(now) < pingAfter || now.Sub(time.Unix(0, s.lastUsed.Load())) < pingAfter ||
		!s.pinging.CompareAndSwap(false, true) {
		return
	}

	m.goRun(func() { m.ping(s) })
}

func (m *Mesh) ping(s *session) {
	defer s.pinging.Store(false)

	answered := make(chan error, 1)

	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()

	t := time.NewTimer(pingTimeout)
	defer t.Stop()

	select {
	case err := <-answered:
		if err == nil {
			return
		}
	case <-t.C:
	case <-s.closed:
		return
	}

	silentSessions.Inc()
	m.options.Log.Warn().Str("event", "session_silent").Str("peer", s.id()).Str("kind", "relay").Send()
	s.close()
}
