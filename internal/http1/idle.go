package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"primrosespring.example/internal/memory"
)

// IdleTimer closes server connections on which no request arrives in time. The
// timeouts of http.Server are fixed; that of an IdleTimer may change while
// connections are open. Timeout must be set. Shutdown ends the server without losing a
// request.
//
// A connection of Listen is closed only if nothing of its next request has been read:
// http.Server itself, in Shutdown and SetKeepAlivesEnabled, takes a connection for idle until
// it has read a whole head, and closes it under a request that it then passes on.
type IdleTimer struct {
	// Timeout returns how long a connection may wait for its next request, headers
	// included; zero means no timeout. It is called each time a connection begins to
	// wait, under the timer's lock.
	Timeout func() time.Duration
	// Heads bounds the heads of the requests that are being read or served; nil sets no
	// bound. One for which no memory is left is refused with status 503.
	Heads *memory.Budget

	mu    sync.Mutex // Guards the fields below; locked before those of the connections.
	conns map[net.Conn]*idleConn
	// closing says that connections are closed as soon as they are idle.
	closing bool
	// listeners are those of Listen that accept connections.
	listeners map[*keptListener]bool
	accepted  int // Connections accepted by listeners.
	// changed is closed when a connection or a listener ends; nil while nobody waits.
	changed chan struct{}
}

// headGrace is how much longer a connection may take at the end of its timeout if a part of
// a request has been read, so that one that is whole isn't cut off.
const headGrace = time.Second

const (
	// backlogQuiet is for how long no connection is accepted before a listener closes, and
	// maxBacklogWait how long that is waited for.
	backlogQuiet   = 10 * time.Millisecond
	maxBacklogWait = 250 * time.Millisecond
)

// idleConn is one connection of an IdleTimer.
type idleConn struct {
	timer *time.Timer // Nil before the first wait with a timeout.
	state http.ConnState
	// late says that the timeout is over and headGrace has begun.
	late bool
}

func (c *idleConn) waiting() bool { return c.state == http.StateNew || c.state == http.StateIdle }

// Listen returns a listener whose connections the timer closes without losing a request.
func (t *IdleTimer) Listen(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.listeners == nil {
		t.listeners = make(map[*keptListener]bool)
	}

	k := &keptListener{Listener: l, timer: t}
	t.listeners[k] = true

	return k
}

// Shutdown closes the listeners of Listen and the idle connections, and returns once the
// requests on all other connections have been served, or with the error of ctx.
// Connections on which no request begins within headGrace are closed. Serve returns
// net.ErrClosed.
//
// It stands in for http.Server.Shutdown, which doesn't serve a request that it reads after its
// start, though the connection was accepted before.
func (t *IdleTimer) Shutdown(ctx context.Context) error {
	t.awaitBacklog(ctx)
	t.closeListeners()
	t.CloseIdle()

	waiting := time.AfterFunc(headGrace, t.closeWaiting)
	defer waiting.Stop()

	for {
		changed := t.awaitChange()
		if changed == nil {
			return nil
		}

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// awaitBacklog waits until the listeners have accepted what the kernel holds for them: a
// process that gets little CPU time accepts late, and closing a listener resets the rest.
func (t *IdleTimer) awaitBacklog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxBacklogWait)
	defer cancel()

	for before := -1; ctx.Err() == nil; {
		t.mu.Lock()
		accepted, listening := t.accepted, len(t.listeners) > 0
		t.mu.Unlock()

		if !listening || accepted == before {
			return
		}

		before = accepted

		time.Sleep(backlogQuiet)
	}
}

func (t *IdleTimer) closeListeners() {
	t.mu.Lock()
	defer t.mu.Unlock()

	for l := range t.listeners {
		_ = l.Close()
	}
}

// closeWaiting closes the connections on which no request has begun.
func (t *IdleTimer) closeWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()

	for c, ic := range t.conns {
		if ic.waiting() {
			closeUnread(c)
		}
	}
}

// awaitChange returns a channel that is closed when a connection or a listener ends, or nil if
// all have.
func (t *IdleTimer) awaitChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(t.conns)+len(t.listeners) == 0 {
		return nil
	}

	if t.changed == nil {
		t.changed = make(chan struct{})
	}

	return t.changed
}

// notifyChange wakes those that wait for a connection or a listener to end. The caller holds
// the lock.
func (t *IdleTimer) notifyChange() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// listenerEnded records that l accepts no more. http.Server has reported the state of each
// connection that l accepted by then.
func (t *IdleTimer) listenerEnded(l *keptListener) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.listeners, l)
	t.notifyChange()
}

// CloseIdle closes the connections that wait for another request, now and as soon as they do.
func (t *IdleTimer) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.closing = true

	for c, ic := range t.conns {
		if ic.state == http.StateIdle {
			closeUnread(c)
		}
	}
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

	ic.state, ic.late = s, false

	if ic.timer != nil {
		ic.timer.Stop()
	}

	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.conns, c)
		t.notifyChange()
	}

	k, kept := c.(*keptConn)

	if !ic.waiting() {
		if kept {
			k.headRead()
		}

		return
	}

	if kept {
		k.await()
	}

	if t.closing && s == http.StateIdle {
		closeUnread(c)

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

// expire closes a connection that still waits, at the end of headGrace also one that has sent a
// part of a request.
func (t *IdleTimer) expire(c net.Conn, ic *idleConn) {
	t.mu.Lock()
	defer t.mu.Unlock()

	switch {
	case !ic.waiting():
	case ic.late:
		_ = c.Close()
	case !closeUnread(c):
		ic.late = true
		ic.timer.Reset(headGrace)
	}
}

// closeUnread closes a connection unless something of a request has been read, and reports
// whether it did.
func closeUnread(c net.Conn) bool {
	if k, ok := c.(*keptConn); ok {
		return k.closeUnread()
	}

	_ = c.Close()

	return true
}

// keptListener makes keptConns.
type keptListener struct {
	net.Listener

	timer *IdleTimer
}

// Accept implements net.Listener.
func (l *keptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.timer.listenerEnded(l)
	}

	if err != nil {
		return nil, err
	}

	l.timer.mu.Lock()
	l.timer.accepted++
	l.timer.mu.Unlock()

	return &keptConn{Conn: c, heads: l.timer.Heads}, nil
}

// keptConn is a server's connection that is either closed while it waits for a request or
// read, not both.
type keptConn struct {
	net.Conn

	heads *memory.Budget

	mu sync.Mutex // Guards the fields below.
	// read says that something has been read since await; closed that the connection is
	// closed.
	read, closed bool
	// inHead says that a head is being read, and held what the last one holds of heads.
	inHead bool
	held   int64
}

// Read implements net.Conn.
func (c *keptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)

	c.mu.Lock()

	if c.closed {
		c.mu.Unlock()

		return 0, net.ErrClosed
	}

	c.read = c.read || n > 0
	refused := c.inHead && !c.reserveHead(p[:n])
	c.mu.Unlock()

	if refused {
		return 0, c.refuse()
	}

	return n, err
}

// Close implements net.Conn.
func (c *keptConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.releaseHead()
	c.mu.Unlock()

	return c.Conn.Close()
}

// await records that the next request hasn't begun.
func (c *keptConn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.read, c.inHead = false, true
	c.releaseHead()
}

// headRead records that a whole head has been read.
func (c *keptConn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inHead = false
}

func (c *keptConn) closeUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.read {
		return false
	}

	c.closed = true
	c.releaseHead()
	_ = c.Conn.Close()

	return true
}
