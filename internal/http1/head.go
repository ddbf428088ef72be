package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// headLineBytes is what a header takes beside its text: an entry of a map, a list of
	// values and their strings.
	headLineBytes = 256
	// refusalTimeout bounds how long the rest of a refused head is read, so that the reset of
	// the connection doesn't overtake the refusal.
	refusalTimeout = 200 * time.Millisecond
	maxRefusedHead = 1 << 20
)

// headRefusal is the answer to a request whose head isn't read on.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var (
	headsRefused = metrics.NewCounter("primrose_caller_heads_refused_total")

	errHeadRefused = errors.New("no memory is left for the head of a request")
)

// reserveHead takes the memory of a part of a head from the budget until the next request
// begins or the connection is closed, and reports whether there is any left. The caller holds
// c.mu.
func (c *keptConn) reserveHead(part []byte) bool {
	n := int64(len(part)) + headLineBytes*int64(bytes.Count(part, []byte{'\n'}))
	if !c.heads.Reserve(n) {
		return false
	}

	c.held += n

	return true
}

// releaseHead returns the memory of the last head. The caller holds c.mu.
func (c *keptConn) releaseHead() {
	c.heads.Release(c.held)
	c.held = 0
}

// refuse answers that the request wasn't read, which is true of its head and so of all of it.
func (c *keptConn) refuse() error {
	headsRefused.Inc()

	_ = c.SetDeadline(time.Now().Add(refusalTimeout))

	if _, err := io.WriteString(c.Conn, headRefusal); err != nil {
		return err
	}

	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}

	_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedHead)

	return errHeadRefused
}
