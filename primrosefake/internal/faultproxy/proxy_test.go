package faultproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo starts an echo server and returns its address.
func echo(tb testing.TB) string {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()

	return l.Addr().String()
}

func newProxy(tb testing.TB, links ...Options) (*Proxy, []string) {
	tb.Helper()

	p, err := New(1)
	require.NoError(tb, err)
	tb.Cleanup(p.Close)

	var addresses []string

	for _, o := range links {
		o.Listen = "127.0.0.1:0"
		a, err := p.Add(o)
		require.NoError(tb, err)

		addresses = append(addresses, a)
	}

	return p, addresses
}

func dial(tb testing.TB, address string) net.Conn {
	tb.Helper()

	c, err := net.Dial("tcp", address)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = c.Close() })

	return c
}

func roundTrip(tb testing.TB, c net.Conn) {
	tb.Helper()

	b := make([]byte, 5)
	_, err := c.Write([]byte("hello"))
	require.NoError(tb, err)
	_, err = io.ReadFull(c, b)
	require.NoError(tb, err)
	require.Equal(tb, "hello", string(b))
}

// Guards against a relay over TCP that loses data or a close, against a reset
// action that closes without a reset, and against a dead target whose callers
// aren't reset.
func TestRelaysOverTCP(t *testing.T) {
	target := echo(t)
	p, a := newProxy(t, Options{Name: "l", Target: target, DelayMS: 1}, Options{Name: "dead", Target: "127.0.0.1:1"})

	c := dial(t, a[0])
	roundTrip(t, c)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())

	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	c = dial(t, a[0])
	roundTrip(t, c)

	_, err = p.Act("l", "reset")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")

	// The reset may arrive before the dial has returned.
	c, err = net.Dial("tcp", a[1])
	if err == nil {
		_, err = c.Read(make([]byte, 1))
		_ = c.Close()
	}

	require.ErrorContains(t, err, "reset")
}

// Guards against control calls that change the wrong links, and against refused
// ones that change something.
func TestControl(t *testing.T) {
	p, _ := newProxy(t,
		Options{Name: "ab", Target: "127.0.0.1:1", FromDomain: "a", ToDomain: "b"},
		Options{Name: "ac", Target: "127.0.0.1:1", FromDomain: "a", ToDomain: "c"})
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))

		return w.Code, strings.TrimSpace(w.Body.String())
	}
	option := func(i int) Options { return p.Statuses()[i].Options }

	_, body := call(http.MethodPut, "/fake/partition", `{"from": "a", "to": "b", "on": true}`)
	require.JSONEq(t, `{"links": 1}`, body)
	require.True(t, option(0).Partitioned)
	require.False(t, option(1).Partitioned)

	_, _ = call(http.MethodPut, "/fake/links/ac", `{"delay_ms": 7, "jitter_ms": 1}`)
	_, _ = call(http.MethodPut, "/fake/links/ac", `{"delay_ms": 8, "target": "127.0.0.1:2"}`)
	require.Equal(t, []any{8.0, 1.0, "127.0.0.1:1"}, []any{option(1).DelayMS, option(1).JitterMS, option(1).Target})

	code, body := call(http.MethodPut, "/fake/links/ac", `{"delay_ms": -1}`)
	require.Equal(t, http.StatusBadRequest, code)
	require.Equal(t, "delay_ms, jitter_ms, retransmit_ms or bytes_per_s is negative", body)
	require.InDelta(t, 8, option(1).DelayMS, 0)

	code, _ = call(http.MethodPut, "/fake/links/none", `{}`)
	require.Equal(t, http.StatusNotFound, code)
	code, _ = call(http.MethodPost, "/fake/links/ac/explode", "")
	require.Equal(t, http.StatusBadRequest, code)

	_, _ = call(http.MethodPost, "/fake/links", `{"name": "new", "listen": "127.0.0.1:0", "target": "127.0.0.1:1"}`)
	require.NotEqual(t, "127.0.0.1:0", option(2).Listen)
}

// BenchmarkRoundTrip measures round trips on an idle connection; the excess over
// twice the delay is the proxy's error.
func BenchmarkRoundTrip(b *testing.B) {
	for name, delay := range map[string]float64{"direct": 0, "1ms": 1, "1.4ms": 1.4, "5.3ms": 5.3} {
		b.Run(name, func(b *testing.B) {
			_, a := newProxy(b, Options{Name: "l", Target: echo(b), DelayMS: delay})
			c := dial(b, a[0])

			for b.Loop() {
				roundTrip(b, c)
			}
		})
	}
}

// BenchmarkThroughput shows whether a delay limits the throughput.
func BenchmarkThroughput(b *testing.B) {
	for name, delay := range map[string]float64{"direct": 0, "10ms": 10} {
		b.Run(name, func(b *testing.B) {
			_, a := newProxy(b, Options{Name: "l", Target: echo(b), DelayMS: delay})
			c := dial(b, a[0])
			data := make([]byte, 64<<10)

			b.SetBytes(int64(len(data)))

			go func() { _, _ = io.Copy(io.Discard, c) }()

			for b.Loop() {
				_, err := c.Write(data)
				require.NoError(b, err)
			}
		})
	}
}
