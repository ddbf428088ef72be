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
	endpoint  *Endpoint
	readyAt   time.Time
	setUpDone bool // Used by Read only.
	silent    atomic.Bool
	once      sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. On a silent connection it discards the data that it
// reads, so that the peer's close is still noticed.
func (c *conn) Read(b []byte) (int, error) {
	if !c.setUpDone {
		c.setUpDone = true
		c.waitSetUp()
	}

	for {
		n, err := c.Conn.Read(b)
		c.waitThawed()

		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection drops what is written.
func (c *conn) Write(b []byte) (int, error) {
	c.waitThawed()

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

// waitSetUp waits for the simulated set-up time.
func (c *conn) waitSetUp() {
	t := time.NewTimer(time.Until(c.readyAt))
	defer t.Stop()

	select {
	case <-t.C:
	case <-c.closed:
	}
}

// waitThawed waits while the searcher is frozen.
func (c *conn) waitThawed() {
	for {
		thawed := c.endpoint.thawedChannel()
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
