// Package searcher sends requests to searchers. A Pool keeps a few connections to
// each, HTTP/2 without TLS, so that a cancelled request resets its stream and
// leaves the connection in use. It replaces a connection that receives
// nothing, not even the answer to a Ping, while requests are outstanding.
package searcher

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
)

const (
	dialTimeout = time.Second
	// maxAnswerBytes limits the size of one answer.
	maxAnswerBytes = 4 << 20

	minConnections = 1
	maxConnections = 4
	// connectionSharePermille is the share of a searcher's connection limit that
	// its holders divide among themselves. The rest is for replacements.
	connectionSharePermille = 800
)

// Pool holds the connections to searchers. Its zero value is ready to use, and
// it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil dials TCP. It must be set before first use.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Signs takes what searchers say of themselves; nil drops it. It must be set before
	// first use.
	Signs *Signs

	mu        sync.Mutex // Guards the fields below and the endpoints in it.
	endpoints map[string]*endpoint
	closed    bool
}

// endpoint is the address of one searcher with the connections to it.
type endpoint struct {
	id      string
	address string
	// size is how many connections to keep.
	size    int
	conns   []*conn
	dialing int
	// dialErr is the error of the last dial, or nil.
	dialErr error
	// dialDone is closed when a dial ends.
	dialDone chan struct{}
	// meanLatency is the mean latency of answered requests.
	meanLatency time.Duration
}

// errClosed says that the pool has been closed.
var errClosed = errors.New("the pool is closed")

// Run sends one attempt, with the time left of ctx as its timeout, and returns its
// checked answer. Errors are of type *domain.Error; the fate is not run if
// nothing was sent.
func (p *Pool) Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error) {
	c, err := p.acquire(ctx, sr)
	if err != nil {
		return nil, err
	}

	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutUs = uint64(max(time.Until(deadline), 0).Microseconds())
	}

	start := time.Now()
	resp, err := c.rpc.Run(ctx, req)
	p.release(c, time.Since(start), err == nil) //nolint:contextcheck // A replacement connection outlives the request.

	if err != nil {
		failure := c.requestError(ctx, err, "send attempt", sr.ID)

		if p.Signs != nil {
			p.Signs.refused(sr, req.GetQueryId(), failure)
		}

		return nil, failure
	}

	if err := integrity.CheckAnswer(req, resp); err != nil {
		p.discard(c, errCorrupt) //nolint:contextcheck // A replacement connection outlives the request.

		return nil, err.WithPeer(sr.ID)
	}

	if p.Signs != nil {
		p.Signs.answered(sr, req.GetQueryId(), resp.GetLoad(), start)
	}

	return resp, nil
}

// Status asks the searcher for its status. Errors are of type *domain.Error.
func (p *Pool) Status(ctx context.Context, sr *domain.Searcher) (*pb.GetStatusResponse, error) {
	c, err := p.acquire(ctx, sr)
	if err != nil {
		return nil, err
	}

	resp, err := c.rpc.GetStatus(ctx, &pb.GetStatusRequest{})
	p.release(c, 0, false) //nolint:contextcheck // A replacement connection outlives the request.

	if err != nil {
		return nil, c.requestError(ctx, err, "get status", sr.ID)
	}

	return resp, nil
}

// Configure opens connections in advance to the searchers of the services of c
// that this instance holds. holders returns how many instances divide the
// connection limits of a service's searchers, and 0 for a service that this
// instance doesn't hold. Any other searcher gets no new requests, and its
// connections are closed after their last answer; a draining one keeps one
// connection for its status.
func (p *Pool) Configure(c *domain.Configuration, holders func(service string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	held := make(map[string]bool)

	for _, svc := range c.Services {
		n := holders(svc.Name)
		if n == 0 {
			continue
		}

		for _, sh := range svc.PartitionMap.Shards {
			for i := range sh.Searchers {
				sr := &sh.Searchers[i]
				held[sr.Address] = true

				e := p.endpoint(sr)
				e.size = poolSize(sr, n)
				p.fill(e)
				p.trim(e)
			}
		}
	}

	for address, e := range p.endpoints {
		if !held[address] {
			e.size = 0
			p.trim(e)
			delete(p.endpoints, address)
		}
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true

	var conns []*conn

	for _, e := range p.endpoints {
		conns = append(conns, e.conns...)
		e.conns = nil
	}
	p.mu.Unlock()

	for _, c := range conns {
		c.close(errClosed)
	}
}

// poolSize returns how many connections one of n holders keeps to a searcher.
func poolSize(sr *domain.Searcher, n int) int {
	if sr.Draining {
		return minConnections
	}

	share := int(sr.Connections) * connectionSharePermille / domain.Permille

	return max(min(share/n, maxConnections), minConnections)
}

func (p *Pool) endpoint(sr *domain.Searcher) *endpoint {
	e, ok := p.endpoints[sr.Address]
	if !ok {
		if p.endpoints == nil {
			p.endpoints = make(map[string]*endpoint)
		}

		e = &endpoint{id: sr.ID, address: sr.Address, size: minConnections, dialDone: make(chan struct{}), meanLatency: initialMeanLatency}
		p.endpoints[sr.Address] = e
	}

	return e
}

// acquire returns the connection with the fewest outstanding requests, and
// waits for one to open if there is none.
func (p *Pool) acquire(ctx context.Context, sr *domain.Searcher) (*conn, error) {
	for waited := false; ; waited = true {
		p.mu.Lock()

		if p.closed {
			p.mu.Unlock()

			return nil, unavailable(sr, errClosed)
		}

		e := p.endpoint(sr)

		c := e.best()
		if c != nil {
			c.addRequest()
		}

		dialErr, dialDone := e.dialErr, e.dialDone

		// A request that has waited for a failed dial returns its error; the next
		// request dials again.
		if c != nil || !waited || dialErr == nil {
			p.fill(e) //nolint:contextcheck // A connection outlives the request that needs it first.
		}

		p.mu.Unlock()

		switch {
		case c != nil:
			return c, nil
		case waited && dialErr != nil:
			return nil, unavailable(sr, dialErr)
		}

		select {
		case <-dialDone:
		case <-ctx.Done():
			// Nothing was sent.
			return nil, refusal.FromConnect(ctx.Err(), "connect", sr.ID).WithFate(domain.FateNotRun)
		}
	}
}

func (p *Pool) release(c *conn, latency time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if answered {
		c.endpoint.meanLatency += (min(latency, maxLatencySample) - c.endpoint.meanLatency) / meanLatencyDivisor
	}

	c.outstanding--

	switch {
	case c.http.Err() != nil:
		p.remove(c)
		p.fill(c.endpoint)
	case c.retired && c.outstanding == 0:
		go c.close(nil)
	}
}

// discard closes a connection at once and opens another in its place.
func (p *Pool) discard(c *conn, cause error) {
	p.mu.Lock()
	p.remove(c)

	if !p.closed {
		p.fill(c.endpoint)
	}
	p.mu.Unlock()

	c.close(cause)
}

func (p *Pool) remove(c *conn) {
	c.endpoint.conns = slices.DeleteFunc(c.endpoint.conns, func(o *conn) bool { return o == c })
}

// trim retires the connections beyond the size: the idle ones are closed now and
// the others after their last answer.
func (p *Pool) trim(e *endpoint) {
	for len(e.conns) > e.size {
		c := e.conns[len(e.conns)-1]
		e.conns = e.conns[:len(e.conns)-1]
		c.retired = true

		if c.outstanding == 0 {
			go c.close(nil)
		}
	}
}

// fill opens the missing connections of an endpoint.
func (p *Pool) fill(e *endpoint) {
	// The searcher may have closed some.
	e.conns = slices.DeleteFunc(e.conns, func(c *conn) bool { return c.http.Err() != nil })

	for !p.closed && len(e.conns)+e.dialing < e.size {
		e.dialing++

		go p.open(e)
	}
}

func (p *Pool) open(e *endpoint) {
	c, err := dial(p, e)

	p.mu.Lock()

	e.dialing--
	e.dialErr = err

	surplus := err == nil && (p.closed || len(e.conns) >= e.size)
	if err == nil && !surplus {
		e.conns = append(e.conns, c)
	}

	close(e.dialDone)
	e.dialDone = make(chan struct{})
	p.mu.Unlock()

	if surplus {
		c.close(nil)
	}
}

// best returns the connection for the next request, or nil. One that is being
// probed is used only when there is no other.
func (e *endpoint) best() *conn {
	var best *conn

	for _, c := range e.conns {
		if c.http.Err() != nil {
			continue
		}

		if best == nil || (best.probing && !c.probing) || (best.probing == c.probing && c.outstanding < best.outstanding) {
			best = c
		}
	}

	return best
}

func unavailable(sr *domain.Searcher, cause error) error {
	return domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "connect", "no connection").
		WithPeer(sr.ID).WithCause(cause)
}
