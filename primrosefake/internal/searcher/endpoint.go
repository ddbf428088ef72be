package searcher

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Endpoint serves one searcher on its address and applies its limits and
// faults of connections.
type Endpoint struct {
	*Server
	http *http.Server

	mu       sync.Mutex // Guards all below.
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
	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	return &Endpoint{
		Server: s, address: s.options.Load().Address, conns: make(map[*conn]struct{}),
		http: &http.Server{Handler: newHandler(s), Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout},
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

	go func() { _ = e.http.Serve(&acceptor{l, e}) }()
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

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) error {
	old := e.faults.Swap(&f)
	e.freeze(f.Freeze)

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

func (e *Endpoint) freeze(on bool) {
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

// add counts a connection, or returns nil if the limit is reached.
func (e *Endpoint) add(nc net.Conn) *conn {
	o := e.options.Load()

	e.mu.Lock()
	defer e.mu.Unlock()

	if o.ConnectionLimit > 0 && e.live >= o.ConnectionLimit {
		e.refused++

		return nil
	}

	c := &conn{Conn: nc, endpoint: e, ready: time.Now().Add(milliseconds(o.SetupMS)), closed: make(chan struct{})}
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

func (e *Endpoint) frozen() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.thawed
}

// acceptor closes the connections above the limit.
type acceptor struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		nc, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if c := a.endpoint.add(nc); c != nil {
			return c, nil
		}

		_ = nc.Close()
	}
}
