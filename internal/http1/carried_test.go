package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a connection that carries the same request twice, whatever the limits and
// however many of its sendings overlap, and against slots lost by replaced connections.
func TestNoConnectionCarriesARequestTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			var (
				mu          sync.Mutex
				open, twice int
				carried     = make(map[net.Conn]map[string]bool)
			)

			limit := rapid.IntRange(1, 4).Draw(rt, "limit")
			pool := NewPool("peer", Limit{MaxOpen: limit, CloseIdle: rapid.Bool().Draw(rt, "close idle")},
				pipeDialer(func(c net.Conn, target string) string {
					mu.Lock()
					defer mu.Unlock()

					if carried[c] == nil {
						carried[c] = make(map[string]bool)
					}

					if carried[c][target] {
						twice++
					}

					carried[c][target] = true

					return okResponse
				}, func(change int) {
					mu.Lock()
					defer mu.Unlock()

					open += change
					require.LessOrEqual(t, open, limit)
				}))

			var wg sync.WaitGroup

			for range rapid.IntRange(1, 12).Draw(rt, "sendings") {
				key := fmt.Sprint("/", rapid.IntRange(0, 3).Draw(rt, "request"))
				wait := time.Duration(rapid.IntRange(0, 5).Draw(rt, "wait ms")) * time.Millisecond

				wg.Go(func() {
					time.Sleep(wait)

					_, err := pool.Do(context.Background(), keyedExchange(key, time.Now().Add(time.Second)))
					require.NoError(t, err)
				})
			}

			wg.Wait()
			require.Zero(t, twice)
			pool.Close()
			require.Zero(t, pool.open)
		})
	})
}

// Guards against connections that are replaced though no request can come again: a request
// is remembered until its deadline, and a set that is full ends the use of its connection.
func TestRequestsAreRememberedUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s requestSet

		for n := range maxCarried {
			require.True(t, s.add(strconv.Itoa(n), time.Now().Add(time.Minute+time.Duration(n)*time.Millisecond), time.Now()))
		}

		require.True(t, s.has("0"))
		require.False(t, s.add("one more", time.Now().Add(time.Minute), time.Now()))

		time.Sleep(time.Minute + 500*time.Millisecond)
		require.True(t, s.add("one more", time.Now().Add(time.Minute), time.Now()))
		require.False(t, s.has("0"))
		require.True(t, s.has("1023"))
		require.True(t, s.add("", time.Now(), time.Now()))
		require.False(t, s.has(""))
	})
}

func keyedExchange(key string, expires time.Time) Exchange {
	return Exchange{Key: key, Expires: expires, Prepare: func() (*Request, error) {
		return &Request{Method: "GET", Target: key, Host: "h"}, nil
	}}
}

// pipeDialer dials peers that answer each request after a millisecond with the result of
// respond; opened is called with the change of the number of open connections.
func pipeDialer(respond func(c net.Conn, target string) string, opened func(change int)) DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()

		opened(1)

		go func() {
			for r := bufio.NewReader(server); ; {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}

				response := respond(server, req.URL.Path)

				time.Sleep(time.Millisecond)

				if _, err := io.WriteString(server, response); err != nil {
					return
				}
			}
		}()

		return &countedConn{Conn: client, closed: func() { opened(-1) }}, nil
	}
}
