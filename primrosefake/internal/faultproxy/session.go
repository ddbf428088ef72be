package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
)

// session is one connection over a link: the caller's half, the target's half
// and a pipe in each direction.
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

// reset ends the session with a reset of both halves.
func (s *session) reset() { s.end(reset) }

// silence makes the session pass nothing more; neither end is told.
func (s *session) silence() { s.silent.Store(true) }

// halfOpen closes one half; the other stays open and hears nothing more.
func (s *session) halfOpen(lost net.Conn) {
	s.silence()
	_ = reset(lost)
}

func (s *session) end(closeHalf func(net.Conn) error) {
	s.once.Do(func() {
		close(s.done)

		_ = closeHalf(s.caller)
		_ = closeHalf(s.target)
	})
}

// reset closes c so that its peer gets a reset, where the connection can.
func reset(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	return c.Close()
}

// closeWrite tells the peer of c that no more data comes.
func closeWrite(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		return t.CloseWrite()
	}

	return c.Close()
}
