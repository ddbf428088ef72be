package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	pb "primrosespring.example/internal/gen/primrosespring/v1"

	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosed/internal/frame"
)

// runSession registers a session and serves it until it is closed.
func (m *Mesh) runSession(ctx context.Context, s *session) {
	if s.id() == m.options.Table.Self().Instance.ID {
		s.close()

		return
	}

	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.close()

	if !m.register(s) {
		return
	}
	defer m.unregister(s)

	m.goRun(func() { m.acceptStreams(ctx, s) })

	switch s.kind {
	case pb.SessionKind_SESSION_KIND_CONTROL:
		m.runControl(ctx, s)
	case pb.SessionKind_SESSION_KIND_RELAY:
		<-s.mux.CloseChan()
	case pb.SessionKind_SESSION_KIND_PROBE, pb.SessionKind_SESSION_KIND_UNSPECIFIED:
		// The hello has answered the probe; the dialling peer closes.
		m.waitClosed(s, helloTimeout)
	}
}

func (m *Mesh) waitClosed(s *session, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()

	select {
	case <-s.mux.CloseChan():
	case <-t.C:
	}
}

func (m *Mesh) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.closed {
		return false
	}

	m.all[s] = true
	if s.kind == pb.SessionKind_SESSION_KIND_CONTROL {
		m.sessions[s.id()] = append(m.sessions[s.id()], s)
	}

	return true
}

func (m *Mesh) unregister(s *session) {
	m.mu.Lock()
	delete(m.all, s)

	if m.relays[s.id()] == s {
		delete(m.relays, s.id())
	}

	last := false

	if s.kind == pb.SessionKind_SESSION_KIND_CONTROL {
		rest := slices.DeleteFunc(m.sessions[s.id()], func(o *session) bool { return o == s })
		m.sessions[s.id()] = rest

		if last = len(rest) == 0; last {
			delete(m.sessions, s.id())
		}
	}
	m.mu.Unlock()

	if last {
		m.options.Table.Disconnected(s.id())
	}
}

// controlSessions returns the latest control session with each connected peer.
func (m *Mesh) controlSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()

	out := make([]*session, 0, len(m.sessions))
	for _, all := range m.sessions {
		out = append(out, all[len(all)-1])
	}

	return out
}

// runControl exchanges frames on a control session.
func (m *Mesh) runControl(ctx context.Context, s *session) {
	m.goRun(s.writeLoop)
	m.perform(m.options.Table.Connected(time.Now(), s.peer, s.digest, s.dialled))
	m.catchUp(ctx, s)
	m.sendLeaving([]*session{s})

	for {
		f, err := frame.Read(s.stream, s.id(), frame.MaxControlBytes, m.options.Frames)
		if err == nil {
			countFrame(f, "received")
			err = m.handleFrame(ctx, s, f)
		}

		if err != nil {
			m.logFrameError(err)

			return
		}
	}
}

// handleFrame handles one frame of a control session. An error closes the
// session.
func (m *Mesh) handleFrame(ctx context.Context, s *session, f *pb.PeerFrame) error {
	now := time.Now()

	switch b := f.GetBody().(type) {
	case *pb.PeerFrame_Heartbeat:
		m.perform(m.options.Table.HandleHeartbeat(now, s.id(), b.Heartbeat))
		s.version.Store(b.Heartbeat.GetConfigurationVersion())
		m.catchUp(ctx, s)
	case *pb.PeerFrame_Membership:
		r, err := m.options.Table.HandleDelta(now, s.id(), b.Membership)
		if err != nil {
			return &frame.Error{Peer: s.id(), Reason: "membership delta", Cause: err}
		}

		m.perform(r)
	case *pb.PeerFrame_Sync:
		m.perform(m.options.Table.HandleSync(s.id(), b.Sync))
	case *pb.PeerFrame_Configuration:
		m.handlePush(ctx, s, b.Configuration)
	case *pb.PeerFrame_LeavingSearchers:
		m.applyLeaving(leavingSearchers{b.LeavingSearchers.GetListVersion(), b.LeavingSearchers.GetSearchers()})
	case *pb.PeerFrame_Probe:
		m.goRun(func() { m.probeFor(ctx, s, b.Probe) })
	case *pb.PeerFrame_ProbeAnswer:
		m.options.Table.HandleProbeAnswer(now, b.ProbeAnswer.GetInstance(), b.ProbeAnswer.GetReached())
	default:
		return &frame.Error{Peer: s.id(), Reason: fmt.Sprintf("unexpected %T on a control stream", b)}
	}

	return nil
}

// probeFor dials an instance on behalf of a peer, and answers only if it reached
// it.
func (m *Mesh) probeFor(ctx context.Context, s *session, p *pb.ProbeRequest) {
	if domain.CheckAddress("peer_address", p.GetPeerAddress()) != nil {
		return
	}

	target, err := m.dial(ctx, p.GetPeerAddress(), pb.SessionKind_SESSION_KIND_PROBE)
	if err != nil {
		return
	}
	defer target.close()

	if target.id() != p.GetInstance() {
		return
	}

	s.send(&pb.PeerFrame{Body: &pb.PeerFrame_ProbeAnswer{ProbeAnswer: &pb.ProbeAnswer{
		Reached: true, Instance: p.GetInstance(),
	}}})
}
