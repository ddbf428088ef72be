package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
)

// session is one relayed connection: the connections to the caller and to the
// target, and a pipe in each direction.
type session struct {
	link     *Link
	caller   net.Conn
	target   net.Conn
	toTarget *pipe
	toCaller *pipe
	silent   atomic.Bool
	once     sync.Once
	done     chan struct{} // Closed when the session has ended.
}

// run relays until both directions have ended or the session is reset.
func (s *session) run() {
	var wg sync.WaitGroup

	for _, p := range []*pipe{s.toTarget, s.toCaller} {
		wg.Go(p.read)
		wg.Go(p.write)
	}

	wg.Wait()
	s.end(net.Conn.Close)
}

// reset ends the session and resets both connections.
func (s *session) reset() { s.end(reset) }

// silence makes the session drop all further data and not forward a close.
func (s *session) silence() { s.silent.Store(true) }

// halfOpen resets one connection; the other stays open and receives nothing more.
func (s *session) halfOpen(lost net.Conn) {
	s.silence()
	_ = reset(lost)
}

func (s *session) end(closeConn func(net.Conn) error) {
	s.once.Do(func() {
		close(s.done)

		_ = closeConn(s.caller)
		_ = closeConn(s.target)
	})
}

// reset closes c, with a reset if it is a TCP connection.
func reset(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	return c.Close()
}

// closeWrite shuts down the writing side of c, or closes c if it isn't a TCP
// connection.
func closeWrite(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		return t.CloseWrite()
	}

	return c.Close()
}
