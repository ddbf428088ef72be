package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/memory"
)

// Guards against callers that decide how much memory the heads of requests take: large ones
// on many connections, and ones of many short lines. What isn't read is refused, and the
// memory is there again once a request has ended.
func TestHeadsShareOneBound(t *testing.T) {
	const room = 64 << 10

	timer := &IdleTimer{Timeout: func() time.Duration { return time.Minute }, Heads: &memory.Budget{Max: room}}
	entered, leave := make(chan struct{}), make(chan struct{})
	srv := &http.Server{
		ConnState: timer.ConnState, MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered <- struct{}{}
			<-leave
			w.WriteHeader(http.StatusNoContent)
		}),
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	go func() { _ = srv.Serve(timer.Listen(l)) }()

	send := func(headers string) *bufio.Reader {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })

		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n")
		require.NoError(t, err)

		return bufio.NewReader(c)
	}
	status := func(r *bufio.Reader) int {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())

		return resp.StatusCode
	}
	large := "X-Large: " + strings.Repeat("l", room/2) + "\r\n"

	first := send(large)
	<-entered
	require.Equal(t, http.StatusServiceUnavailable, status(send(large)), "the head of the first request is still held")
	require.Equal(t, http.StatusServiceUnavailable, status(send(strings.Repeat("a:\r\n", 200))), "each line takes more than its text")
	leave <- struct{}{}
	require.Equal(t, http.StatusNoContent, status(first))
	// The caller may have the answer before the server has ended the request.
	require.Eventually(t, func() bool { return timer.Heads.Used() == 0 }, time.Minute, time.Millisecond, "the memory is returned while the connection is kept")

	second := send(large)
	<-entered
	leave <- struct{}{}
	require.Equal(t, http.StatusNoContent, status(second))

	require.NoError(t, srv.Close())
	require.Eventually(t, func() bool { return timer.Heads.Used() == 0 }, time.Minute, time.Millisecond, "the memory is returned")
}
