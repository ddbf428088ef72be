package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
	"primrosespring.example/primrosed/internal/frame"
)

const (
	dialTimeout = time.Second
	// helloTimeout bounds the exchange of hellos on a new connection.
	helloTimeout = time.Second
	writeTimeout = 2 * time.Second
	// closeTimeout is how long a half-closed stream waits for the peer's close.
	closeTimeout      = 10 * time.Second
	streamWindowBytes = 256 << 10
	// maxPendingStreams bounds the streams of a session that wait to be accepted, and
	// maxServedStreams those that are served at a time; more are reset. yamux buffers
	// streamWindowBytes for each.
	maxPendingStreams = 256
	maxServedStreams  = 1024
	// maxQueuedFrames bounds the frames queued for a slow peer; beyond it the session is
	// closed, and a new one starts with an exchange of state.
	maxQueuedFrames = 1024
)

// session is a multiplexed connection to a peer.
type session struct {
	peer    membership.Record
	kind    pb.SessionKind
	dialled bool
	opened  time.Time
	conn    *countedConn
	mux     *yamux.Session
	// stream is the first stream; it carries the hellos and the control frames.
	stream *yamux.Stream
	out    chan *pb.PeerFrame
	// digest is the peer's membership digest when the session was opened.
	digest uint64
	// version is the configuration version that the peer reported or was last sent.
	version atomic.Uint64
	// outstanding counts the requests on a relay session that await an answer.
	outstanding atomic.Int64
	lastUsed    atomic.Int64 // Unix time in nanoseconds.
	pinging     atomic.Bool

	once   sync.Once
	closed chan struct{}
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Heartbeats detect silent control sessions, and pings silent relay sessions.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = closeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.AcceptBacklog = maxPendingStreams
	c.LogOutput = io.Discard

	return c
}

// dial opens a session to address and exchanges hellos.
func (m *Mesh) dial(ctx context.Context, address string, kind pb.SessionKind) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+helloTimeout)
	defer cancel()

	d := net.Dialer{Timeout: dialTimeout}

	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	conn := newCountedConn(raw)
	conn.relay.Store(kind == pb.SessionKind_SESSION_KIND_RELAY)

	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}

	s, err := m.handshake(ctx, conn, mux, kind)
	if err != nil {
		return nil, errors.Join(err, mux.Close())
	}

	return s, nil
}

// handshake exchanges hellos on a dialled connection.
func (m *Mesh) handshake(ctx context.Context, conn *countedConn, mux *yamux.Session, kind pb.SessionKind) (*session, error) {
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}

	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()

	if err := frame.Write(stream, m.hello(kind), frame.MaxControlBytes); err != nil {
		return nil, err
	}

	return m.readHello(conn, mux, stream, true)
}

// accept exchanges hellos on an accepted connection.
func (m *Mesh) accept(raw net.Conn) (*session, error) {
	conn := newCountedConn(raw)

	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}

	timer := time.AfterFunc(helloTimeout, func() { _ = mux.Close() })
	defer timer.Stop()

	stream, err := mux.AcceptStream()
	if err != nil {
		return nil, errors.Join(err, mux.Close())
	}

	s, err := m.readHello(conn, mux, stream, false)
	if err != nil {
		return nil, errors.Join(err, mux.Close())
	}

	conn.relay.Store(s.kind == pb.SessionKind_SESSION_KIND_RELAY)

	if err := frame.Write(stream, m.hello(s.kind), frame.MaxControlBytes); err != nil {
		return nil, errors.Join(err, mux.Close())
	}

	return s, nil
}

func (m *Mesh) readHello(conn *countedConn, mux *yamux.Session, stream *yamux.Stream, dialled bool) (*session, error) {
	address := conn.RemoteAddr().String()

	f, err := frame.Read(stream, address, frame.MaxControlBytes, m.options.Frames)
	if err != nil {
		return nil, err
	}

	h := f.GetHello()
	if h == nil {
		return nil, &frame.Error{Peer: address, Reason: "first frame isn't a hello"}
	}

	rec, err := membership.FromProto(h.GetInstance())
	if err != nil {
		return nil, &frame.Error{Peer: address, Reason: "hello", Cause: err}
	}

	if rec.Instance.PeerAddress == "" {
		return nil, &frame.Error{Peer: address, Reason: "hello has no address"}
	}

	s := &session{
		peer: rec, kind: h.GetKind(), dialled: dialled, opened: time.Now(), conn: conn, mux: mux, stream: stream,
		digest: h.GetMembershipDigest(), out: make(chan *pb.PeerFrame, maxQueuedFrames), closed: make(chan struct{}),
	}
	s.version.Store(rec.ConfigurationVersion)
	s.lastUsed.Store(time.Now().UnixNano())

	return s, nil
}

func newCountedConn(raw net.Conn) *countedConn {
	c := &countedConn{Conn: raw}
	c.lastRead.Store(time.Now().UnixNano())

	return c
}

func (m *Mesh) hello(kind pb.SessionKind) *pb.PeerFrame {
	rec := m.options.Table.Self()
	rec.ConfigurationVersion = m.options.Keeper.Configuration().Version

	return &pb.PeerFrame{Body: &pb.PeerFrame_Hello{Hello: &pb.Hello{
		Instance: rec.ToProto(), Kind: kind, MembershipDigest: m.options.Table.Digest(),
	}}}
}

func (s *session) id() string { return s.peer.Instance.ID }

// close closes the session; it may be called more than once.
func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.mux.Close()
	})
}

// send queues a frame for the control stream. It closes the session if the queue
// is full.
func (s *session) send(f *pb.PeerFrame) {
	select {
	case s.out <- f:
	case <-s.closed:
	default:
		s.close()
	}
}

// writeLoop sends the queued frames until the session is closed.
func (s *session) writeLoop() {
	defer s.close()

	for {
		select {
		case f := <-s.out:
			if err := frame.Write(s.stream, f, frame.MaxControlBytes); err != nil {
				return
			}

			countFrame(f, "sent")
		case <-s.closed:
			return
		}
	}
}
