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

// fleet stands for the backends of a balancer on virtual time.
type fleet struct {
	*Balancer

	mu       sync.Mutex // Guards all below.
	notReady []string
	refusing []string
	reached  []string   // The backend of each connection.
	held     []net.Conn // The backends' ends.
}

func newFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()

	f := &fleet{Balancer: New()}
	f.ready = func(b Backend) bool {
		f.mu.Lock()
		defer f.mu.Unlock()

		return !slices.Contains(f.notReady, b.ID)
	}
	f.dial = func(b Backend) (net.Conn, error) {
		f.mu.Lock()
		defer f.mu.Unlock()

		if slices.Contains(f.refusing, b.ID) {
			return nil, errors.New("refused")
		}

		near, far := net.Pipe()
		f.reached = append(f.reached, b.ID)
		f.held = append(f.held, far)

		return near, nil
	}

	f.set(t, ids...)
	t.Cleanup(func() {
		f.set(t)

		for _, c := range f.held {
			_ = c.Close()
		}
	})

	return f
}

func (f *fleet) set(t *testing.T, ids ...string) {
	t.Helper()

	list := make([]Backend, 0, len(ids))
	for _, id := range ids {
		list = append(list, Backend{id, id, id})
	}

	require.NoError(t, f.SetBackends(list))
	synctest.Wait()
}

func (f *fleet) fail(notReady, refusing []string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.notReady, f.refusing = notReady, refusing
}

// connect opens n connections and returns the callers' ends.
func (f *fleet) connect(n int) (callers []net.Conn) {
	for range n {
		caller, near := net.Pipe()
		callers = append(callers, caller)

		go f.serve(near)
		synctest.Wait()
	}

	return callers
}

// Guards against connections that aren't spread evenly, that go to a backend
// which isn't ready, or that are cut when it stops being ready or is removed.
func TestOnlyReadyBackendsGetNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		callers := f.connect(6)
		require.Equal(t, []string{"a", "b", "c", "a", "b", "c"}, f.reached)

		f.fail([]string{"b"}, nil)
		time.Sleep(pollInterval)
		synctest.Wait()
		f.connect(4)
		require.Equal(t, []string{"a", "c", "a", "c"}, f.reached[6:])
		require.Equal(t, Status{Backend{"b", "b", "b"}, false, 2, 2}, f.Statuses()[1])

		f.set(t, "a", "c")

		go func() { _, _ = f.held[1].Write([]byte("x")) }()

		_, err := callers[1].Read(make([]byte, 1))
		require.NoError(t, err)
	})
}

// Guards against a caller that is sent away while a backend could serve it, or
// that isn't when none could.
func TestRefusedConnectionsGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.fail(nil, []string{"a"})
		f.connect(2)
		require.Equal(t, []string{"b", "b"}, f.reached)
		require.Equal(t, Status{Backend{"a", "a", "a"}, false, 0, 0}, f.Statuses()[0])

		f.fail(nil, []string{"a", "b"})

		_, err := f.connect(1)[0].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 2, f.Statuses()[1].Connections)
	})
}

// Guards against a relay over TCP that loses data or the end of a direction,
// and against readiness that isn't what /readyz says.
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
