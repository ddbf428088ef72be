package unary

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// pauseKey is the context key of a pause.
type pauseKey struct{}

// pause holds a client between the headers of a response, when it closes headers,
// and the body, which it reads once resume is closed.
type pause struct {
	headers, resume chan struct{}
}

// serve starts a server that runs h. It returns a function that sends a request
// to it, and the number of its connections.
func serve(t *testing.T, h http.HandlerFunc, c *http.HTTP2Config) (func(context.Context, string) (string, error), *atomic.Int32) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	var conns atomic.Int32

	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}

			conns.Add(1)

			go Serve(nc, bufio.NewReader(nc), h)
		}
	}()

	var protocols http.Protocols

	protocols.SetUnencryptedHTTP2(true)

	transport := &http.Transport{Protocols: &protocols, HTTP2: c, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)

	return func(ctx context.Context, body string) (string, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/echo", strings.NewReader(body))
		if err != nil {
			return "", err
		}

		resp, err := transport.RoundTrip(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()

		if p, ok := ctx.Value(pauseKey{}).(pause); ok {
			close(p.headers)
			<-p.resume
		}

		b, err := io.ReadAll(resp.Body)

		return string(b), err
	}, &conns
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

// Guards against responses that are truncated, mixed up between streams or
// stalled when the client's windows are small.
func TestResponsesLargerThanWindows(t *testing.T) {
	call, conns := serve(t, echo, &http.HTTP2Config{MaxReceiveBufferPerStream: 32 << 10, MaxReceiveBufferPerConnection: 64 << 10})

	_, err := call(t.Context(), "opens the connection")
	require.NoError(t, err)

	var wg sync.WaitGroup

	results := make([]bool, 32)

	for i := range results {
		wg.Go(func() {
			body := strings.Repeat(string(rune('a'+i)), 1+i*40_000)
			got, err := call(t.Context(), body)
			results[i] = err == nil && got == body
		})
	}

	wg.Wait()
	require.NotContains(t, results, false)
	require.EqualValues(t, 1, conns.Load())
}

// Guards against a request that isn't cancelled with its stream, and against a
// cancellation that closes the connection.
func TestCancellationEndsOneStream(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	call, conns := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if string(b) == "wait" {
			close(began)
			<-r.Context().Done()
			close(ended)
		}

		_, _ = w.Write(b)
	}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)

	go func() {
		_, err := call(ctx, "wait")
		failed <- err
	}()
	<-began
	cancel()
	<-ended
	require.ErrorIs(t, <-failed, context.Canceled)

	got, err := call(t.Context(), "next")
	require.NoError(t, err)
	require.Equal(t, "next", got)
	require.EqualValues(t, 1, conns.Load())
}

// Guards against an unread response that blocks the others, and against ended
// streams that still count towards maxStreams.
func TestStreamsAreIndependent(t *testing.T) {
	// The client reads on only when the server has its reset: it could read the
	// whole response between the cancellation and the reset.
	unread := pause{headers: make(chan struct{}), resume: make(chan struct{})}
	call, conns := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		if string(b) == "large" {
			b = make([]byte, 1<<20)

			context.AfterFunc(r.Context(), func() { close(unread.resume) })
		}

		_, _ = w.Write(b)
	}, &http.HTTP2Config{MaxReceiveBufferPerStream: 32 << 10, MaxReceiveBufferPerConnection: 64 << 10})
	ctx, cancel := context.WithCancel(context.WithValue(t.Context(), pauseKey{}, unread))
	large := make(chan error, 1)

	go func() {
		_, err := call(ctx, "large")
		large <- err
	}()
	<-unread.headers

	for range maxStreams + 1 {
		got, err := call(t.Context(), "small")
		require.NoError(t, err)
		require.Equal(t, "small", got)
	}

	cancel()
	require.ErrorIs(t, <-large, context.Canceled)
	require.EqualValues(t, 1, conns.Load())
}

// Guards against unanswered pings, a stream with a body above the limit that
// isn't reset, and requests and responses that outlive their connection.
func TestFrames(t *testing.T) {
	synctest.Test(t, testFrames)
}

func testFrames(t *testing.T) {
	t.Helper()

	server, client := net.Pipe()
	ended := make(chan struct{})
	done := make(chan struct{})

	go func() {
		defer close(done)

		Serve(server, bufio.NewReader(server), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				_, _ = w.Write(make([]byte, 2*defaultWindow))

				return
			}

			<-r.Context().Done()
			close(ended)
		}))
	}()

	f := http2.NewFramer(client, client)
	frames := make(chan http2.FrameType, 100)

	go func() {
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			frames <- frame.Header().Type
		}
	}()

	// A static HPACK block: POST, http, /.
	block := []byte{0x83, 0x86, 0x84}

	_, err := client.Write([]byte(http2.ClientPreface))
	require.NoError(t, err)
	require.NoError(t, f.WriteSettings())
	require.NoError(t, f.WritePing(false, [8]byte{1}))
	require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block, EndHeaders: true}))
	require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: block, EndHeaders: true, EndStream: true}))

	for range maxBodyBytes/maxFrameBytes + 1 {
		require.NoError(t, f.WriteData(1, false, bytes.Repeat([]byte{0}, maxFrameBytes)))
	}

	for _, want := range []http2.FrameType{
		http2.FrameSettings, http2.FrameWindowUpdate, http2.FrameSettings, http2.FramePing, http2.FrameRSTStream,
	} {
		require.Equal(t, want, <-frames)
	}

	block[0] = 0x82 // GET, whose response is larger than the window.
	require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 5, BlockFragment: block, EndHeaders: true, EndStream: true}))
	require.Equal(t, http2.FrameHeaders, <-frames)
	synctest.Wait()
	require.NoError(t, client.Close())
	<-done
	<-ended
}
