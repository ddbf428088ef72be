package http1

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection; the longest way is some
	// ten milliseconds and a lost opening packet is sent again after 1 s.
	dialTimeout = 1500 * time.Millisecond
	// idleShare is the part of a peer's stated idle timeout after which its
	// connection isn't used any more, so that a request doesn't cross its close.
	idleShare = 0.6
	// idleDefault is used for a peer that states no idle timeout.
	idleDefault = 10 * time.Second
)

// Limit says how a Pool uses its peer's connections.
type Limit struct {
	// Open is how many connections may be open; at least 1 may.
	Open int
	// Scarce says that the peer accepts fewer connections than there are instances
	// which use it. A connection is closed then as soon as no request waits for it.
	Scarce bool
}

// Pool holds the connections to one peer address. Its zero value is empty; use
// NewPool. It is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc

	mu   sync.Mutex // Guards what follows.
	idle []*Conn
	// open counts the connections, those being opened included.
	open   int
	limit  Limit
	closed bool
	// waiting are the requests that wait for a connection, in order. A waiter
	// gets an idle connection, or nil as leave to open one.
	waiting []chan *Conn
}

// NewPool returns a pool of connections to address.
func NewPool(address string, limit Limit, dial DialFunc) *Pool {
	return &Pool{address: address, dial: dial, limit: limit}
}

// SetLimit changes the limit. Connections that are idle are closed if they are
// scarce from now on.
func (p *Pool) SetLimit(limit Limit) {
	p.mu.Lock()
	p.limit = limit

	var unused []*Conn
	if limit.Scarce {
		unused = p.takeIdle()
	}
	p.mu.Unlock()

	for _, c := range unused {
		c.Close()
	}
}

// takeIdle takes the idle connections out of the pool; the lock is held.
func (p *Pool) takeIdle() []*Conn {
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)

	return idle
}

// mayOpen reports whether another connection may be opened; the lock is held.
func (p *Pool) mayOpen() bool { return p.open < max(p.limit.Open, 1) }

// Exchange is one request with what its sender wants of the connection.
type Exchange struct {
	// Prepare makes the request once there is a connection, so that a time left
	// that it states is what is left then. An error of it ends the exchange with
	// nothing sent.
	Prepare func() (*Request, error)
	// Trust reports whether the answer belongs to the request; the connection
	// is closed otherwise. Nil trusts every answer.
	Trust func(*Response) bool
}

// Do sends a request on an idle connection or a new one and returns the whole
// answer; while the limit is reached it waits for a connection. A request that
// an idle connection didn't take, because the peer had closed it, goes to the
// next; nothing of it was sent. Errors are *SendError.
func (p *Pool) Do(ctx context.Context, x Exchange) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &SendError{Err: err}
	}

	r, err := x.Prepare()
	if err != nil {
		p.release(c, true)

		return nil, &SendError{Err: err}
	}

	resp, keep, err := c.Exchange(ctx, r)
	p.release(c, keep && (x.Trust == nil || x.Trust(resp)))

	return resp, err
}

// Close closes the idle connections now and the others after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.takeIdle()
	p.mu.Unlock()

	for _, c := range idle {
		c.Close()
	}
}

func (p *Pool) acquire(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.take(ctx)
		if err != nil {
			return nil, err
		}

		if c != nil {
			if time.Since(c.idleSince) < c.usableFor() && c.clean() {
				return c, nil
			}

			p.release(c, false)

			continue
		}

		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		nc, err := p.dial(dctx, p.address)

		cancel()

		if err != nil {
			p.drop()

			return nil, err
		}

		return newConn(nc), nil
	}
}

func (c *Conn) usableFor() time.Duration {
	if c.idleLimit == 0 {
		return idleDefault
	}

	return time.Duration(idleShare * float64(c.idleLimit))
}

// take returns an idle connection, or nil as leave to open one.
func (p *Pool) take(ctx context.Context) (*Conn, error) {
	p.mu.Lock()

	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()

		return c, nil
	}

	if p.mayOpen() {
		p.open++
		p.mu.Unlock()

		return nil, nil //nolint:nilnil // Nil is the leave to open a connection.
	}

	turn := make(chan *Conn, 1)
	p.waiting = append(p.waiting, turn)
	p.mu.Unlock()

	select {
	case c := <-turn:
		return c, nil
	case <-ctx.Done():
		p.leave(turn)

		return nil, ctx.Err()
	}
}

// leave takes a waiter out, and passes on what it got in the meantime.
func (p *Pool) leave(turn chan *Conn) {
	p.mu.Lock()
	i := slices.Index(p.waiting, turn)

	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()

		return
	}

	p.mu.Unlock()

	if c := <-turn; c != nil {
		p.release(c, true)
	} else {
		p.drop()
	}
}

// release ends the use of a connection.
func (p *Pool) release(c *Conn, keep bool) {
	p.mu.Lock()

	switch {
	case !keep || p.closed || p.limit.Scarce && len(p.waiting) == 0:
		p.mu.Unlock()
		c.Close()
		p.drop()

		return
	case len(p.waiting) > 0:
		p.hand(c)
	default:
		p.idle = append(p.idle, c)
	}

	p.mu.Unlock()
}

// drop takes a connection out of the count; the first waiter may open one.
func (p *Pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.open--

	if len(p.waiting) > 0 && p.mayOpen() {
		p.open++
		p.hand(nil)
	}
}

// hand gives a connection, or nil, to the first waiter.
func (p *Pool) hand(c *Conn) {
	turn := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	turn <- c
}

// Group holds a Pool for each peer, named by a key such as the peer's id. Its
// zero value is ready to use, and it is safe for concurrent use.
type Group struct {
	// Dial opens connections; nil stands for DialTCP. It must be set before
	// first use.
	Dial DialFunc

	mu    sync.Mutex // Guards pools.
	pools map[string]*Pool
}

// Pool returns the pool for the peer of that key at address, with its limit set.
// A peer that has moved gets a new pool; the old one is closed.
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
	g.pools[key] = p

	return p
}

// Retain closes the pools of all peers but those that keep reports.
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
