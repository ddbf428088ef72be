package searcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/refusal"
)

const (
	// initialUsual is the latency assumed of a searcher before its first answer.
	initialUsual = 10 * time.Millisecond
	// maxUsual bounds what one answer adds to the usual latency.
	maxUsual    = time.Second
	usualWeight = 16
	// A connection with outstanding requests that has read nothing for
	// silenceFactor times the usual latency, at least minSilence, is probed. The
	// probe has the same time, at least minProbe: a lost packet is sent again
	// after 200 ms.
	silenceFactor = 6
	minSilence    = 30 * time.Millisecond
	minProbe      = 250 * time.Millisecond
)

// Why a connection was closed.
var (
	errSilent  = errors.New("the connection went silent")
	errCorrupt = errors.New("the connection delivered a wrong answer")
)

// conn is one HTTP/2 connection. The pool's lock guards outstanding, since,
// suspect and retired.
type conn struct {
	pool *Pool
	peer *peer
	http *http.ClientConn
	raw  *watched
	rpc  primrosespringv1connect.SearcherServiceClient

	outstanding int
	since       time.Time
	suspect     bool
	retired     bool
	watching    bool
	timer       *time.Timer

	once  sync.Once
	cause atomic.Pointer[error]
}

// watched notes when bytes arrive.
type watched struct {
	net.Conn

	read atomic.Int64
}

// Read implements net.Conn.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.read.Store(time.Now().UnixNano())
	}

	return n, err
}

func dial(p *Pool, e *peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	c := &conn{pool: p, peer: e}

	open := p.Dial
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}

	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	t := &http.Transport{
		Protocols: &protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := open(ctx, network, address)
			if err != nil {
				return nil, err
			}

			c.raw = &watched{Conn: raw}

			return c.raw, nil
		},
	}

	cc, err := t.NewClientConn(ctx, "http", e.address)
	if err != nil {
		return nil, err
	}

	c.http = cc
	c.rpc = primrosespringv1connect.NewSearcherServiceClient(
		&http.Client{Transport: cc}, "http://"+e.address, connect.WithReadMaxBytes(maxAnswerBytes))

	return c, nil
}

// acquired counts a request in and starts the watch for silence.
func (c *conn) acquired() {
	c.outstanding++

	if c.outstanding > 1 && c.watching {
		return
	}

	c.since = time.Now()

	if c.watching {
		return
	}

	c.watching = true

	if c.timer == nil {
		c.timer = time.AfterFunc(c.peer.silence(), c.watch)
	} else {
		c.timer.Reset(c.peer.silence())
	}
}

// silence returns how long a busy connection may read nothing.
func (e *peer) silence() time.Duration { return max(silenceFactor*e.usual, minSilence) }

// watch runs while requests are outstanding, and probes a silent connection.
func (c *conn) watch() {
	c.pool.mu.Lock()

	if c.outstanding == 0 || c.cause.Load() != nil {
		c.watching = false
		c.pool.mu.Unlock()

		return
	}

	limit := c.peer.silence()

	quiet := time.Since(c.lastRead())
	if quiet < limit {
		c.timer.Reset(limit - quiet)
		c.pool.mu.Unlock()

		return
	}

	c.suspect = true
	c.pool.mu.Unlock()

	alive := c.probe(max(limit, minProbe))

	c.pool.mu.Lock()
	c.suspect = false

	if alive {
		c.since = time.Now()
		c.timer.Reset(c.peer.silence())
		c.pool.mu.Unlock()

		return
	}

	c.watching = false
	c.pool.mu.Unlock()
	c.pool.discard(c, errSilent)
}

// lastRead returns when bytes last arrived, or when the connection became busy
// if that was later.
func (c *conn) lastRead() time.Time {
	if read := time.Unix(0, c.raw.read.Load()); read.After(c.since) {
		return read
	}

	return c.since
}

// probe reports whether the peer answers a Ping, or anything else arrives
// meanwhile.
func (c *conn) probe(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	before := c.raw.read.Load()
	_, err := c.rpc.Ping(ctx, &pb.PingRequest{})

	return err == nil || c.raw.read.Load() != before
}

// close closes the connection; requests outstanding on it fail. why is nil for
// a connection that has none.
func (c *conn) close(why error) {
	c.once.Do(func() {
		if why != nil {
			c.cause.Store(&why)
		}

		_ = c.raw.Close()
		_ = c.http.Close()
	})
}

// failure returns the domain error of a request on this connection. A transport
// error never says whether the request ran.
func (c *conn) failure(ctx context.Context, err error, step, peer string) *domain.Error {
	e := refusal.FromConnect(err, step, peer)
	if cause := c.cause.Load(); cause != nil && e.Fate == domain.FateUnknown && e.Code != domain.CodeDeadline {
		code := domain.CodeSearcherUnavailable
		if errors.Is(*cause, errSilent) {
			code = domain.CodeSearcherSilent
		}

		return domain.Errorf(domain.FateUnknown, code, step, "the connection was closed").WithPeer(peer).WithCause(*cause)
	}

	// A searcher that is being killed cancels what it runs. Only ctx says
	// whether the caller did.
	broken := e.Code == domain.CodeCancelled && ctx.Err() == nil
	if broken || e.Code == domain.CodePeerUnavailable || e.Code == domain.CodeInternal {
		c := *e
		c.Code = domain.CodeSearcherUnavailable

		return &c
	}

	return e
}
