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
	// initialMeanLatency is assumed for a searcher before its first answer.
	initialMeanLatency = 10 * time.Millisecond
	// maxLatencySample caps the latency that one answer adds to the mean.
	maxLatencySample = time.Second
	// meanLatencyDivisor is the reciprocal weight of one answer in the mean.
	meanLatencyDivisor = 16
	// A connection with outstanding requests that has read nothing for
	// silenceFactor times the mean latency, at least minSilenceTimeout, is probed.
	// The probe has the same timeout, at least minProbeTimeout: TCP sends a lost
	// packet again after 200 ms.
	silenceFactor     = 6
	minSilenceTimeout = 30 * time.Millisecond
	minProbeTimeout   = 250 * time.Millisecond
)

// Causes of closing a connection.
var (
	errSilent  = errors.New("no data received before the probe timed out")
	errCorrupt = errors.New("an answer failed the integrity check")
)

// conn is one HTTP/2 connection. The pool's lock guards the fields from
// outstanding to timer.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	http     *http.ClientConn
	netConn  *timedConn
	rpc      primrosespringv1connect.SearcherServiceClient

	outstanding int
	busySince   time.Time // When it became busy or last passed a probe.
	probing     bool
	retired     bool        // Closed once no request is outstanding.
	monitored   bool        // The timer is set, or monitor runs.
	timer       *time.Timer // Calls monitor.

	once  sync.Once
	cause atomic.Pointer[error] // Why it was closed; nil while open or without a cause.
}

// timedConn records when data was last received.
type timedConn struct {
	net.Conn

	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}

	return n, err
}

func dial(p *Pool, e *endpoint) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	c := &conn{pool: p, endpoint: e}

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

			c.netConn = &timedConn{Conn: raw}

			return c.netConn, nil
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

// addRequest counts a new request and starts monitor if it isn't active.
func (c *conn) addRequest() {
	c.outstanding++

	if c.outstanding > 1 && c.monitored {
		return
	}

	c.busySince = time.Now()

	if c.monitored {
		return
	}

	c.monitored = true

	if c.timer == nil {
		c.timer = time.AfterFunc(c.endpoint.silenceTimeout(), c.monitor)
	} else {
		c.timer.Reset(c.endpoint.silenceTimeout())
	}
}

// silenceTimeout returns how long a busy connection may receive nothing before
// it is probed.
func (e *endpoint) silenceTimeout() time.Duration {
	return max(silenceFactor*e.meanLatency, minSilenceTimeout)
}

// monitor probes the connection if it is silent. It is called by the timer as
// long as requests are outstanding.
func (c *conn) monitor() {
	c.pool.mu.Lock()

	if c.outstanding == 0 || c.cause.Load() != nil {
		c.monitored = false
		c.pool.mu.Unlock()

		return
	}

	limit := c.endpoint.silenceTimeout()

	idle := time.Since(c.lastRead())
	if idle < limit {
		c.timer.Reset(limit - idle)
		c.pool.mu.Unlock()

		return
	}

	c.probing = true
	c.pool.mu.Unlock()

	alive := c.probe(max(limit, minProbeTimeout))

	c.pool.mu.Lock()
	c.probing = false

	if alive {
		c.busySince = time.Now()
		c.timer.Reset(c.endpoint.silenceTimeout())
		c.pool.mu.Unlock()

		return
	}

	c.monitored = false
	c.pool.mu.Unlock()
	c.pool.discard(c, errSilent)
}

// lastRead returns when data was last received, or busySince if that is later.
func (c *conn) lastRead() time.Time {
	if read := time.Unix(0, c.netConn.lastRead.Load()); read.After(c.busySince) {
		return read
	}

	return c.busySince
}

// probe reports whether the searcher answers a Ping, or any other data arrives
// before the timeout.
func (c *conn) probe(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	before := c.netConn.lastRead.Load()
	_, err := c.rpc.Ping(ctx, &pb.PingRequest{})

	return err == nil || c.netConn.lastRead.Load() != before
}

// close closes the connection; requests outstanding on it fail. cause is nil for
// a connection that has none.
func (c *conn) close(cause error) {
	c.once.Do(func() {
		if cause != nil {
			c.cause.Store(&cause)
		}

		_ = c.netConn.Close()
		_ = c.http.Close()
	})
}

// requestError converts the error of a request on this connection. A transport
// error never tells whether the request ran.
func (c *conn) requestError(ctx context.Context, err error, step, peer string) *domain.Error {
	e := refusal.FromConnect(err, step, peer)
	if cause := c.cause.Load(); cause != nil && e.Fate == domain.FateUnknown && e.Code != domain.CodeDeadline {
		code := domain.CodeSearcherUnavailable
		if errors.Is(*cause, errSilent) {
			code = domain.CodeSearcherSilent
		}

		return domain.Errorf(domain.FateUnknown, code, step, "the connection was closed").WithPeer(peer).WithCause(*cause)
	}

	// A searcher that is being killed cancels the requests that it runs. Only
	// ctx tells whether the caller cancelled.
	broken := e.Code == domain.CodeCancelled && ctx.Err() == nil
	if broken || e.Code == domain.CodePeerUnavailable || e.Code == domain.CodeInternal {
		c := *e
		c.Code = domain.CodeSearcherUnavailable

		return &c
	}

	return e
}
