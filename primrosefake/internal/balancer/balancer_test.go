package balancer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// testBalancer is a balancer with simulated backends.
type testBalancer struct {
	*Balancer

	mu           sync.Mutex // Guards the fields below.
	notReady     []string
	unreachable  []string
	dialled      []string   // The backend of each connection.
	backendConns []net.Conn // The backends' ends of the pipes.
}

func newTestBalancer(t *testing.T, ids ...string) *testBalancer {
	t.Helper()

	tb := &testBalancer{Balancer: New()}
	tb.isReady = func(b Backend) bool {
		tb.mu.Lock()
		defer tb.mu.Unlock()

		return !slices.Contains(tb.notReady, b.ID)
	}
	tb.dial = func(b Backend) (net.Conn, error) {
		tb.mu.Lock()
		defer tb.mu.Unlock()

		if slices.Contains(tb.unreachable, b.ID) {
			return nil, errors.New("refused")
		}

		balancerConn, backendConn := net.Pipe()
		tb.dialled = append(tb.dialled, b.ID)
		tb.backendConns = append(tb.backendConns, backendConn)

		return balancerConn, nil
	}

	tb.setBackends(t, ids...)
	t.Cleanup(func() {
		tb.setBackends(t)

		for _, c := range tb.backendConns {
			_ = c.Close()
		}
	})

	return tb
}

func (tb *testBalancer) setBackends(t *testing.T, ids ...string) {
	t.Helper()

	list := make([]Backend, 0, len(ids))
	for _, id := range ids {
		list = append(list, Backend{id, id, id})
	}

	require.NoError(t, tb.SetBackends(list))
	synctest.Wait()
}

func (tb *testBalancer) setFailing(notReady, unreachable []string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()

	tb.notReady, tb.unreachable = notReady, unreachable
}

// connect opens n connections and returns the callers' ends.
func (tb *testBalancer) connect(n int) (callers []net.Conn) {
	for range n {
		caller, balancerConn := net.Pipe()
		callers = append(callers, caller)

		go tb.serve(balancerConn)
		synctest.Wait()
	}

	return callers
}

// Guards against connections that aren't distributed evenly, that go to a
// backend which isn't ready, or that are closed when it stops being ready or is
// removed.
func TestOnlyReadyBackendsGetNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestBalancer(t, "a", "b", "c")
		callers := tb.connect(6)
		require.Equal(t, []string{"a", "b", "c", "a", "b", "c"}, tb.dialled)

		tb.setFailing([]string{"b"}, nil)
		time.Sleep(pollInterval)
		synctest.Wait()
		tb.connect(4)
		require.Equal(t, []string{"a", "c", "a", "c"}, tb.dialled[6:])
		require.Equal(t, Status{Backend{"b", "b", "b"}, false, 2, 2}, tb.Statuses()[1])

		tb.setBackends(t, "a", "c")

		go func() { _, _ = tb.backendConns[1].Write([]byte("x")) }()

		_, err := callers[1].Read(make([]byte, 1))
		require.NoError(t, err)
	})
}

// Guards against closing a caller's connection while a backend accepts
// connections, and against keeping it open when none does.
func TestFailedDialTriesNextBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestBalancer(t, "a", "b")
		tb.setFailing(nil, []string{"a"})
		tb.connect(2)
		require.Equal(t, []string{"b", "b"}, tb.dialled)
		require.Equal(t, Status{Backend{"a", "a", "a"}, false, 0, 0}, tb.Statuses()[0])

		tb.setFailing(nil, []string{"a", "b"})

		_, err := tb.connect(1)[0].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 2, tb.Statuses()[1].Connections)
	})
}

// Guards against a relay over TCP that loses data or the end of a stream, and
// against readiness that differs from /readyz.
func TestRelaysOverTCP(t *testing.T) {
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/readyz" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(health.Close)

	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })

		return l
	}
	backend, front := listen(), listen()

	go func() {
		c, err := backend.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()

	b := New()
	body := `{"backends": [{"id": "a", "address": "` + backend.Addr().String() + `", "health": "` +
		health.Listener.Addr().String() + `"}]}`
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/fake/backends", strings.NewReader(body)))
	require.Equal(t, http.StatusOK, w.Code)
	t.Cleanup(func() { _ = b.SetBackends(nil) })
	require.Eventually(t, func() bool { return b.Statuses()[0].Ready }, time.Minute, time.Millisecond)

	go func() { _ = b.Serve(front) }()

	c, err := net.Dial("tcp", front.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
}
