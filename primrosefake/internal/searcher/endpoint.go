package searcher

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"primrosespring.example/primrosefake/internal/unary"
)

const readHeaderTimeout = 5 * time.Second

// Endpoint serves one searcher on its address and applies its connection limit
// and connection faults.
type Endpoint struct {
	*Server
	http *http.Server

	mu       sync.Mutex // Guards the fields below.
	address  string     // Resolved by the first listen.
	listener net.Listener
	conns    map[*conn]struct{}
	live     int // Open connections that aren't silent.
	peak     int
	total    int
	refused  int
	thawed   chan struct{} // Closed to end a freeze; nil when not frozen.
}

// NewEndpoint returns an endpoint that isn't listening.
func NewEndpoint(s *Server) *Endpoint {
	return &Endpoint{
		Server: s, address: s.options.Load().Address, conns: make(map[*conn]struct{}),
		http: &http.Server{Handler: newHandler(s), ReadHeaderTimeout: readHeaderTimeout},
	}
}

// Listen opens the address and serves it in the background.
func (e *Endpoint) Listen() error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.listener != nil {
		return nil
	}

	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}

	e.serve(l)

	return nil
}

// serve serves l in the background. The caller holds e.mu.
func (e *Endpoint) serve(l net.Listener) {
	e.address = l.Addr().String()
	e.listener = l

	a := &acceptor{Listener: l, endpoint: e, http1: make(chan net.Conn), done: make(chan struct{})}

	go a.run()
	go func() { _ = e.http.Serve(a) }()
}

// Address returns the address that is served.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.address
}

// Close closes the listener and every connection.
func (e *Endpoint) Close() {
	e.refuse()
	_ = e.http.Close()
}

// SetFaults replaces the faults. Unless f.Refuse is set, it also makes the
// endpoint listen, and returns an error if that fails.
func (e *Endpoint) SetFaults(f Faults) error {
	old := e.faults.Swap(&f)
	e.setFrozen(f.Freeze)

	if f.Silent {
		e.silence()
	}

	if f.Refuse {
		e.refuse()

		return nil
	}

	if old.Refuse {
		e.Restart()
	}

	return e.Listen()
}

func (e *Endpoint) setFrozen(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	switch {
	case on && e.thawed == nil:
		e.thawed = make(chan struct{})
	case !on && e.thawed != nil:
		close(e.thawed)
		e.thawed = nil
	}
}

func (e *Endpoint) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()

	for c := range e.conns {
		if !c.silent.Swap(true) {
			e.live--
		}
	}
}

// refuse closes the listener and every connection.
func (e *Endpoint) refuse() {
	e.mu.Lock()

	if e.listener != nil {
		_ = e.listener.Close()
		e.listener = nil
	}

	open := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		open = append(open, c)
	}
	e.mu.Unlock()

	for _, c := range open {
		_ = c.Close()
	}
}

// Stats returns the counts since the start.
func (e *Endpoint) Stats() Stats {
	r := e.stats()

	e.mu.Lock()
	defer e.mu.Unlock()

	r.Connections, r.ConnectionsPeak = e.live, e.peak
	r.ConnectionsTotal, r.ConnectionsRefused = e.total, e.refused

	return r
}

// add registers a connection, or returns nil if the limit is reached.
func (e *Endpoint) add(nc net.Conn) *conn {
	o := e.options.Load()

	e.mu.Lock()
	defer e.mu.Unlock()

	if o.ConnectionLimit > 0 && e.live >= o.ConnectionLimit {
		e.refused++

		return nil
	}

	c := &conn{Conn: nc, endpoint: e, readyAt: time.Now().Add(milliseconds(o.SetupMS)), closed: make(chan struct{})}
	e.conns[c] = struct{}{}
	e.live++
	e.total++
	e.peak = max(e.peak, e.live)

	return c
}

func (e *Endpoint) remove(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()

	delete(e.conns, c)

	if !c.silent.Load() {
		e.live--
	}
}

// thawedChannel returns a channel that is closed when the freeze ends, or nil if
// the searcher isn't frozen.
func (e *Endpoint) thawedChannel() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.thawed
}

// acceptor closes the connections above the limit, serves HTTP/2 with package
// unary and passes HTTP/1 to net/http.
type acceptor struct {
	net.Listener
	endpoint *Endpoint
	http1    chan net.Conn
	done     chan struct{}
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	defer close(a.done)

	for {
		nc, err := a.Listener.Accept()
		if err != nil {
			return
		}

		if c := a.endpoint.add(nc); c != nil {
			go a.serve(c)
		} else {
			_ = nc.Close()
		}
	}
}

func (a *acceptor) serve(c *conn) {
	r := bufio.NewReader(c)

	prefix, err := r.Peek(len(unary.Prefix))

	switch {
	case err != nil:
		_ = c.Close()
	case string(prefix) == unary.Prefix:
		unary.Serve(c, r, a.endpoint.http.Handler)
	default:
		select {
		case a.http1 <- &peekedConn{c, r}:
		case <-a.done:
			_ = c.Close()
		}
	}
}

// Accept implements net.Listener for HTTP/1.
func (a *acceptor) Accept() (net.Conn, error) {
	select {
	case c := <-a.http1:
		return c, nil
	case <-a.done:
		return nil, net.ErrClosed
	}
}

// peekedConn is a connection whose first bytes are buffered in reader.
type peekedConn struct {
	*conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (p *peekedConn) Read(b []byte) (int, error) { return p.reader.Read(b) }
