package http1

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/memory"
)

// Guards against bytes of a peer that make the client panic, hang or return more than the
// limit, and against a failure that claims that nothing was sent.
func FuzzExchange(f *testing.F) {
	for _, e := range endless {
		f.Add([]byte(e.head + e.repeat))
	}

	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=5, max=9\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 503 \r\nConnection: close\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nKeep-Alive: timeout=9223372036854775807\r\n\r\n"))

	const limit = 1 << 10

	f.Fuzz(func(t *testing.T, response []byte) {
		client, server := net.Pipe()
		c := newConn(client, limit, &memory.Budget{Max: 4 * limit})

		go func() {
			defer func() { _ = server.Close() }()

			_, _ = server.Read(make([]byte, 1<<10))
			_, _ = server.Write(response)
		}()

		resp, keep, err := c.Exchange(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		c.Close()

		require.Zero(t, c.bodies.Used(), "the memory is returned")

		if err == nil {
			require.LessOrEqual(t, len(resp.Body), limit)
			require.False(t, resp.Status >= 100 && resp.Status < 200)

			if keep {
				require.False(t, strings.EqualFold(resp.Header.Get("Connection"), "close"))
			}

			return
		}

		var failure *SendError

		require.True(t, errors.As(err, &failure) && failure.Sent, "%v", err)
	})
}
