package http1

import (
	"context"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/memory"
)

const (
	// dialTimeout bounds the opening of a connection. It allows for one lost SYN,
	// which is sent again after 1 s; network time is at most some ten
	// milliseconds.
	dialTimeout = 1500 * time.Millisecond
	// idleFraction is the part of a peer's stated idle timeout after which its
	// connection isn't reused, so that no request is sent while the peer closes it.
	idleFraction = 0.6
	// defaultMaxIdle applies to a peer that states no idle timeout.
	defaultMaxIdle = 10 * time.Second
)

// Limit says how a Pool uses its peer's connections.
type Limit struct {
	// MaxOpen is how many connections may be open; values below 1 mean 1.
	MaxOpen int
	// CloseIdle closes a connection as soon as no request waits for it. It is for
	// peers that accept fewer connections than there are instances using them.
	CloseIdle bool
	// MaxBodyBytes bounds the body of a response; zero stands for 8 MiB.
	MaxBodyBytes int64
}

// Pool holds the connections to one peer address. Create it with NewPool. It
// is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc
	bodies  *memory.Budget

	mu   sync.Mutex // Guards the fields below.
	idle []*Conn
	// open counts the connections, those being opened included.
	open   int
	limit  Limit
	closed bool
	// waiters are the requests that wait for a connection, in order. A waiter
	// receives an idle connection, or nil as permission to open one.
	waiters []chan *Conn
}

// NewPool returns a pool of connections to address.
func NewPool(address string, limit Limit, dial DialFunc) *Pool {
	return &Pool{address: address, dial: dial, limit: limit}
}

// SetLimit changes the limit and, if it sets CloseIdle, closes idle connections.
// A lower MaxOpen by itself closes none.
func (p *Pool) SetLimit(limit Limit) {
	p.mu.Lock()
	p.limit = limit

	var idle []*Conn
	if limit.CloseIdle {
		idle = p.removeIdle()
	}
	p.mu.Unlock()

	for _, c := range idle {
		c.Close()
	}
}

// removeIdle removes the idle connections from the pool. The caller holds mu.
func (p *Pool) removeIdle() []*Conn {
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)

	return idle
}

// canOpen reports whether another connection may be opened. The caller holds mu.
func (p *Pool) canOpen() bool { return p.open < max(p.limit.MaxOpen, 1) }

// Exchange describes one request and how to check its response.
type Exchange struct {
	// Key identifies the request if it may be sent more than once, until Expires at the
	// latest. No connection carries the same request twice: a late copy of the response to
	// the first sending would pass for the response to the second. Empty if the request is
	// sent once.
	Key     string
	Expires time.Time
	// Prepare makes the request once a connection is available, so that a
	// remaining time stated in it is current. If it fails, nothing is sent.
	Prepare func() (*Request, error)
	// Matches reports whether the response belongs to the request; if not, the
	// connection is closed. Nil accepts every response.
	Matches func(*Response) bool
	// Received, if set, is called with the whole response before the connection is released,
	// so that a request that waits for the connection isn't prepared before.
	Received func(*Response)
}

// Do sends a request on an idle connection or a new one and returns the whole
// response; while the limit is reached it waits for a connection. An idle
// connection that the peer has closed is skipped before anything is sent on it.
// Errors are *SendError.
func (p *Pool) Do(ctx context.Context, x Exchange) (*Response, error) {
	c, err := p.acquire(ctx, x.Key)
	if err != nil {
		return nil, &SendError{Err: err}
	}

	// Set last, so that a panic closes the connection and doesn't leak its slot.
	reusable := false
	defer func() { p.release(c, reusable) }()

	r, err := x.Prepare()
	if err != nil {
		reusable = true

		return nil, &SendError{Err: err}
	}

	resp, keep, err := c.Exchange(ctx, r)
	if err == nil && x.Received != nil {
		x.Received(resp)
	}

	reusable = keep && (x.Matches == nil || x.Matches(resp)) && c.carried.add(x.Key, x.Expires, time.Now())

	return resp, err
}

// Close closes the idle connections now and the others after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.removeIdle()
	p.mu.Unlock()

	for _, c := range idle {
		c.Close()
	}
}

// acquire returns a connection that hasn't carried the request of that key.
func (p *Pool) acquire(ctx context.Context, key string) (*Conn, error) {
	for {
		c, err := p.get(ctx, key)
		if err != nil {
			return nil, err
		}

		switch {
		case c == nil:
		case c.carried.has(key):
			// The connection to open takes its slot.
			connsReplaced.Inc()
			c.Close()
		case time.Since(c.idleSince) < c.maxIdle() && c.reusable():
			return c, nil
		default:
			p.release(c, false)

			continue
		}

		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		nc, err := p.dial(dctx, p.address)

		cancel()

		if err != nil {
			p.freeSlot()

			return nil, err
		}

		return newConn(nc, p.maxBodyBytes(), p.bodies), nil
	}
}

func (p *Pool) maxBodyBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.limit.MaxBodyBytes
}

func (c *Conn) maxIdle() time.Duration {
	if c.peerIdleTimeout == 0 {
		return defaultMaxIdle
	}

	return time.Duration(idleFraction * float64(c.peerIdleTimeout))
}

// get returns an idle connection, or nil as permission to open one. The connection has
// carried the request of that key only if all idle ones have and no other may be opened.
func (p *Pool) get(ctx context.Context, key string) (*Conn, error) {
	p.mu.Lock()

	if c := p.takeIdle(key); c != nil {
		p.mu.Unlock()

		return c, nil
	}

	if p.canOpen() {
		p.open++
		p.mu.Unlock()

		return nil, nil //nolint:nilnil // Nil is the permission to open a connection.
	}

	ready := make(chan *Conn, 1)
	p.waiters = append(p.waiters, ready)
	p.mu.Unlock()

	select {
	case c := <-ready:
		return c, nil
	case <-ctx.Done():
		p.cancelWait(ready)

		return nil, ctx.Err()
	}
}

// takeIdle removes the idle connection to use for the request of that key, or returns nil.
// The caller holds mu.
func (p *Pool) takeIdle(key string) *Conn {
	i := len(p.idle) - 1
	for i >= 0 && p.idle[i].carried.has(key) {
		i--
	}

	if i < 0 && !p.canOpen() {
		i = len(p.idle) - 1
	}

	if i < 0 {
		return nil
	}

	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)

	return c
}

// cancelWait removes a waiter and passes on what it received in the meantime.
func (p *Pool) cancelWait(ready chan *Conn) {
	p.mu.Lock()
	i := slices.Index(p.waiters, ready)

	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.mu.Unlock()

		return
	}

	p.mu.Unlock()

	if c := <-ready; c != nil {
		p.release(c, true)
	} else {
		p.freeSlot()
	}
}

// release returns a connection to the pool, or closes it if it isn't kept.
func (p *Pool) release(c *Conn, keep bool) {
	p.mu.Lock()

	switch {
	case !keep || p.closed || p.limit.CloseIdle && len(p.waiters) == 0:
		p.mu.Unlock()
		c.Close()
		p.freeSlot()

		return
	case len(p.waiters) > 0:
		p.wakeFirst(c)
	default:
		p.idle = append(p.idle, c)
	}

	p.mu.Unlock()
}

// freeSlot uncounts a connection and lets the first waiter open one.
func (p *Pool) freeSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.open--

	if len(p.waiters) > 0 && p.canOpen() {
		p.open++
		p.wakeFirst(nil)
	}
}

// wakeFirst passes a connection, or nil, to the first waiter. The caller holds mu.
func (p *Pool) wakeFirst(c *Conn) {
	ready := p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	ready <- c
}

// Group holds a Pool for each peer, identified by a key such as the peer's id.
// Its zero value is ready to use, and it is safe for concurrent use.
type Group struct {
	// Dial opens connections; nil stands for DialTCP. It must be set before
	// first use.
	Dial DialFunc
	// Bodies bounds the bodies that are being read from all peers; nil sets no bound.
	// It must be set before first use.
	Bodies *memory.Budget

	mu    sync.Mutex // Guards pools.
	pools map[string]*Pool
}

// Pool returns the pool for the peer of that key at address, with its limit set.
// A peer whose address has changed gets a new pool; the old one is closed.
func (g *Group) Pool(key, address string, limit Limit) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()

	p, ok := g.pools[key]
	if ok && p.address == address {
		p.SetLimit(limit)

		return p
	}

	if ok {
		p.Close()
	}

	if g.pools == nil {
		g.pools = make(map[string]*Pool)
	}

	dial := g.Dial
	if dial == nil {
		dial = DialTCP
	}

	p = NewPool(address, limit, dial)
	p.bodies = g.Bodies
	g.pools[key] = p

	return p
}

// Retain closes the pools of all peers for which keep returns false.
func (g *Group) Retain(keep func(key string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for key, p := range g.pools {
		if !keep(key) {
			p.Close()
			delete(g.pools, key)
		}
	}
}
