package http1

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleTimer closes server connections on which no request arrives in time. The
// timeouts of http.Server are fixed; that of an IdleTimer may change while
// connections are open. Timeout must be set.
type IdleTimer struct {
	// Timeout returns how long a connection may wait for its next request, headers
	// included; zero means no timeout. It is called each time a connection begins to
	// wait, under the timer's lock.
	Timeout func() time.Duration

	mu    sync.Mutex // Guards the fields below.
	conns map[net.Conn]*idleConn
}

// idleConn is one connection of an IdleTimer.
type idleConn struct {
	timer   *time.Timer // Nil before the first wait with a timeout.
	waiting bool
}

// ConnState is the hook for http.Server.ConnState.
func (t *IdleTimer) ConnState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()

	ic := t.conns[c]
	if ic == nil {
		ic = &idleConn{}

		if t.conns == nil {
			t.conns = make(map[net.Conn]*idleConn)
		}

		t.conns[c] = ic
	}

	ic.waiting = s == http.StateNew || s == http.StateIdle

	if ic.timer != nil {
		ic.timer.Stop()
	}

	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.conns, c)
	}

	if !ic.waiting {
		return
	}

	timeout := t.Timeout()

	switch {
	case timeout <= 0:
	case ic.timer == nil:
		ic.timer = time.AfterFunc(timeout, func() { t.expire(c, ic) })
	default:
		ic.timer.Reset(timeout)
	}
}

// expire closes a connection that still waits; a request may have arrived while
// the timer fired.
func (t *IdleTimer) expire(c net.Conn, ic *idleConn) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if ic.waiting {
		_ = c.Close()
	}
}
