package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}

	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Guards against a connection that is closed before its idle timeout or kept
// beyond it, against a timeout that stays as it was when the server started, and
// against closing a connection while a request is served.
func TestIdleConnectionsCloseAtConfiguredTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeout atomic.Int64

		timeout.Store(int64(15 * time.Second))

		timer := &IdleTimer{Timeout: func() time.Duration { return time.Duration(timeout.Load()) }}
		served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Minute)
			w.WriteHeader(http.StatusNoContent)
		})
		srv := &http.Server{Handler: served, ConnState: timer.ConnState, ReadHeaderTimeout: time.Hour}
		l := make(pipeListener)

		go func() { _ = srv.Serve(l) }()

		client, server := net.Pipe()
		l <- server

		r := bufio.NewReader(client)
		get := func() {
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)

			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, resp.StatusCode)
			require.NoError(t, resp.Body.Close())
		}

		time.Sleep(14 * time.Second)
		get()
		time.Sleep(14 * time.Second)
		timeout.Store(int64(40 * time.Second))
		get()
		time.Sleep(39 * time.Second)
		timeout.Store(int64(5 * time.Second))
		get()

		start := time.Now()
		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 5*time.Second, time.Since(start))

		synctest.Wait()
		require.Empty(t, timer.conns)
		close(l)
		require.NoError(t, srv.Close())
	})
}

// halfHead serves one request on a connection of the timer and then sends half of the head of
// another one, which the server has read when it returns.
func halfHead(t *testing.T, timer *IdleTimer) (client net.Conn, r *bufio.Reader, srv *http.Server) {
	t.Helper()

	srv = &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: timer.ConnState, ReadHeaderTimeout: time.Hour,
	}
	l := make(pipeListener)

	go func() { _ = srv.Serve(timer.Listen(l)) }()

	client, server := net.Pipe()
	l <- server

	close(l)

	r = bufio.NewReader(client)

	for _, text := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HT"} {
		_, err := io.WriteString(client, text)
		require.NoError(t, err)

		if text == "GET / HT" {
			break
		}

		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		synctest.Wait()
	}

	synctest.Wait()

	return client, r, srv
}

// Guards against a request that is read, passed on and cut off, because its connection was
// closed as an idle one while the head was being read (LOST, deployment adunni-search,
// hunt-206a-27).
func TestRequestsBeingReadSurviveTheCloseOfIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }}
		client, r, srv := halfHead(t, timer)

		timer.CloseIdle()

		_, err := io.WriteString(client, "TP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)

		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		require.NoError(t, resp.Body.Close())

		// It is idle now, and closed.
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, srv.Close())
	})
}

// Guards against a connection that stays open with a head that never ends.
func TestUnfinishedHeadsEndAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }}
		begin := time.Now()
		client, _, srv := halfHead(t, timer)

		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, time.Minute+headGrace, time.Since(begin))
		require.NoError(t, srv.Close())
	})
}

// memoryListener accepts the connections of dial until it is closed.
type memoryListener struct {
	pipeListener

	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{pipeListener: make(pipeListener), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pipeListener:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}

	return nil
}

func (l *memoryListener) dial() net.Conn {
	client, server := net.Pipe()
	l.pipeListener <- server

	return client
}

// Guards against a request that arrives after a planned stop has closed the listener, on a
// connection accepted before, and gets no answer (LOST, review/15), and against a stop that
// doesn't wait for it, or waits for connections on which nothing comes.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

	for name, c := range map[string]struct {
		sent  string
		pause time.Duration
		ends  time.Duration
	}{
		"accepted":       {pause: 200 * time.Millisecond, ends: 500 * time.Millisecond},
		"half a head":    {sent: request[:10], pause: 1500 * time.Millisecond, ends: 1800 * time.Millisecond},
		"nothing came":   {pause: time.Minute, ends: headGrace + backlogQuiet},
		"being answered": {sent: request, ends: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }}
				srv := &http.Server{ConnState: timer.ConnState, ReadHeaderTimeout: time.Hour}
				srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(300 * time.Millisecond)
					w.WriteHeader(http.StatusNoContent)
				})

				l := newMemoryListener()
				served := make(chan error, 1)

				go func() { served <- srv.Serve(timer.Listen(l)) }()

				client := l.dial()
				_, err := io.WriteString(client, c.sent)
				require.NoError(t, err)
				synctest.Wait()

				begin, done, took := time.Now(), make(chan error, 1), make(chan time.Duration, 1)

				go func() {
					done <- timer.Shutdown(t.Context())

					took <- time.Since(begin)
				}()

				time.Sleep(min(c.pause, headGrace+time.Second))

				if c.pause < time.Minute {
					_, err = io.WriteString(client, request[len(c.sent):])
					require.NoError(t, err)

					resp, err := http.ReadResponse(bufio.NewReader(client), nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusNoContent, resp.StatusCode)
				}

				_, err = client.Read(make([]byte, 1))
				require.ErrorIs(t, err, io.EOF)
				require.NoError(t, <-done)
				require.Equal(t, c.ends, <-took)
				require.ErrorIs(t, <-served, net.ErrClosed)
				require.Empty(t, timer.conns)
			})
		})
	}
}

// slowListener accepts its connections one by one and drops the rest when it closes, as the
// kernel does.
type slowListener struct {
	*memoryListener

	backlog []net.Conn
}

func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(5 * time.Millisecond)

	select {
	case <-l.closed:
		for _, c := range l.backlog {
			_ = c.Close()
		}

		return nil, net.ErrClosed
	default:
	}

	if len(l.backlog) == 0 {
		return l.memoryListener.Accept()
	}

	c := l.backlog[0]
	l.backlog = l.backlog[1:]

	return c, nil
}

// Guards against connections that are reset in a planned stop, with requests sent on them,
// since the process got no CPU time to accept them before (LOST, review/15).
func TestShutdownServesTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }}
		srv := &http.Server{ConnState: timer.ConnState, ReadHeaderTimeout: time.Hour}
		srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

		l := &slowListener{memoryListener: newMemoryListener()}
		clients := make([]net.Conn, 20)

		for n := range clients {
			var server net.Conn

			clients[n], server = net.Pipe()
			l.backlog = append(l.backlog, server)
		}

		served, done := make(chan error, 1), make(chan error, 1)
		listener := timer.Listen(l)

		go func() { served <- srv.Serve(listener) }()
		go func() { done <- timer.Shutdown(t.Context()) }()

		for n, client := range clients {
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err, "connection %d", n)

			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			require.NoError(t, err, "connection %d", n)
			require.Equal(t, http.StatusNoContent, resp.StatusCode)
		}

		require.NoError(t, <-done)
		require.ErrorIs(t, <-served, net.ErrClosed)
	})
}

// Guards against a stop without end where a request isn't answered.
func TestShutdownEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }}
		client, _, srv := halfHead(t, timer)

		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()

		require.ErrorIs(t, timer.Shutdown(ctx), context.DeadlineExceeded)
		require.NoError(t, srv.Close())

		_, err := client.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}
