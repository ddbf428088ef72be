package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/memory"
)

// endless are responses that don't end: head is written once, then repeat until the
// client closes the connection.
var endless = map[string]struct {
	head, repeat string
	want         error
}{
	"status line":       {"HTTP/1.1 200 O", strings.Repeat("K", 4096), ErrHeadTooLarge},
	"header line":       {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", 4096), ErrHeadTooLarge},
	"header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: some value\r\n", 200), ErrHeadTooLarge},
	"continued lines":   {"HTTP/1.1 200 OK\r\nX: a\r\n", strings.Repeat(" more\r\n", 500), ErrHeadTooLarge},
	"interim responses": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), ErrHeadTooLarge},
	"interim headers":   {"HTTP/1.1 102 Processing\r\n", strings.Repeat("X-Field: some value\r\n", 200), ErrHeadTooLarge},
	"chunked body":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n", ErrTooLarge},
	"body until close":  {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 4096), ErrTooLarge},
	"declared body":     {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", strings.Repeat("b", 4096), ErrTooLarge},
}

// newEndlessPeer starts a peer that answers every request with the response; closed
// receives a value each time that the client has closed its connection.
func newEndlessPeer(tb testing.TB, head, repeat string) (address string, closed <-chan struct{}) {
	tb.Helper()

	ended := make(chan struct{}, 1)
	p := newPeer(tb, func(_ int, r *bufio.Reader, c net.Conn) {
		defer func() { ended <- struct{}{} }()

		if _, err := http.ReadRequest(r); err != nil {
			return
		}

		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = io.WriteString(c, repeat)
		}
	})

	return p.listener.Addr().String(), ended
}

// Guards against a peer in trouble that sends bytes without end, in a head or a body,
// until the client closes: reading them would take all memory and CPU time.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			address, closed := newEndlessPeer(t, e.head, e.repeat)
			p := NewPool(address, Limit{MaxOpen: 1, MaxBodyBytes: 1 << 20}, DialTCP)

			// Only a guard against a hanging test; the limits end the exchange.
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()

			_, err := p.Do(ctx, getExchange())
			require.ErrorIs(t, err, e.want)

			var failure *SendError

			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent, "the request may have run")

			select {
			case <-closed:
			case <-ctx.Done():
				require.Fail(t, "the connection is still open")
			}
		})
	}
}

// Guards against a buffer of the stated length, which hundreds of responses that never
// come would multiply: the reserved memory follows what has arrived.
func TestBodiesGrowAsTheyArrive(t *testing.T) {
	budget := &memory.Budget{Max: 8 << 10}
	next := make(chan string)
	p := newPeer(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for body := range next {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, body)
		}
	})

	g := &Group{Bodies: budget}
	pool := g.Pool("a", p.listener.Addr().String(), Limit{MaxOpen: 1})

	go func() {
		next <- "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("b", 6000)
		next <- "HTTP/1.1 200 OK\r\nContent-Length: 6000000\r\n\r\n" + strings.Repeat("b", 60000)

		close(next)
	}()

	resp, err := pool.Do(t.Context(), getExchange())
	require.NoError(t, err)
	require.Len(t, resp.Body, 6000)
	require.Zero(t, budget.Used(), "the memory is returned")

	_, err = pool.Do(t.Context(), getExchange())
	require.ErrorIs(t, err, ErrTooLarge, "the process has no memory left for the body")
	require.Zero(t, budget.Used())
}

// Guards against a body that is cut at the limit and taken for a whole one.
func TestBodiesAtTheLimitAreWhole(t *testing.T) {
	for size, want := range map[int]error{1 << 16: nil, 1<<16 + 1: ErrTooLarge} {
		for _, chunked := range []bool{false, true} {
			p := newPeer(t, func(_ int, r *bufio.Reader, c net.Conn) {
				req, _ := http.ReadRequest(r)
				resp := &http.Response{
					StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Request: req, Body: io.NopCloser(strings.NewReader(strings.Repeat("b", size))),
					ContentLength: int64(size),
				}

				if chunked {
					resp.ContentLength, resp.TransferEncoding = -1, []string{"chunked"}
				}

				_ = resp.Write(c)
			})

			resp, err := NewPool(p.listener.Addr().String(), Limit{MaxBodyBytes: 1 << 16}, DialTCP).Do(t.Context(), getExchange())
			require.ErrorIs(t, err, want)

			if want == nil {
				require.Len(t, resp.Body, size)
			}
		}
	}
}

// Measures what one exchange with an endless response allocates.
func BenchmarkEndlessResponse(b *testing.B) {
	for name, e := range endless {
		b.Run(strings.ReplaceAll(name, " ", "-"), func(b *testing.B) {
			address, closed := newEndlessPeer(b, e.head, e.repeat)
			p := NewPool(address, Limit{MaxOpen: 1, MaxBodyBytes: 1 << 20}, DialTCP)

			b.ReportAllocs()

			for b.Loop() {
				_, _ = p.Do(b.Context(), getExchange())

				<-closed
			}
		})
	}
}
