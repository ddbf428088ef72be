package searcher

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that can be set up slowly, frozen or made silent.
type conn struct {
	net.Conn
	endpoint *Endpoint
	ready    time.Time
	served   bool // Used by Read only.
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn. On a silent connection it discards what comes, so
// that the peer's close is still noticed.
func (c *conn) Read(b []byte) (int, error) {
	if !c.served {
		c.served = true
		c.setUp()
	}

	for {
		n, err := c.Conn.Read(b)
		c.thaw()

		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection drops what is written.
func (c *conn) Write(b []byte) (int, error) {
	c.thaw()

	if c.silent.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.endpoint.remove(c)
	})

	return c.Conn.Close()
}

// setUp waits until the connection is set up.
func (c *conn) setUp() {
	t := time.NewTimer(time.Until(c.ready))
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.closed:
	}
}

// thaw waits while the searcher is frozen.
func (c *conn) thaw() {
	for {
		thawed := c.endpoint.frozen()
		if thawed == nil {
			return
		}

		select {
		case <-thawed:
		case <-c.closed:
			return
		}
	}
}
