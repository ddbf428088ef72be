package mux

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/memory"
	"primrosespring.example/primrosed/internal/frame"
)

// Guards against a message of another instance that ends the process: a panic while it
// is handled closes its stream, and the other streams of the session go on.
func TestPanicsConcernOneStream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	s := NewServer(zerolog.New(io.Discard), nil, func(_ context.Context, _ string, first *pb.PeerFrame, stream *yamux.Stream) {
		if first.GetCopyRequest().GetCollection() == "malformed" {
			panic("malformed message")
		}

		_ = frame.Write(stream, first, frame.MaxRelayBytes)
	})

	served := make(chan error, 1)

	go func() { served <- s.Serve(t.Context(), l) }()

	session, err := Dial(t.Context(), http1.DialTCP, l.Addr().String())
	require.NoError(t, err)

	for _, c := range []struct {
		collection string
		answered   bool
	}{{"first", true}, {"malformed", false}, {"second", true}} {
		stream, err := session.OpenStream()
		require.NoError(t, err)
		require.NoError(t, frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_CopyRequest{
			CopyRequest: &pb.CopyRequest{Collection: c.collection},
		}}, frame.MaxRelayBytes))

		_, err = frame.Read(stream, "server", frame.MaxRelayBytes, nil)
		require.Equal(t, c.answered, err == nil, "%s: %v", c.collection, err)
		require.NoError(t, stream.Close())
	}

	require.NoError(t, session.Close())
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-served, net.ErrClosed)
	s.Close()
}

// logLines receives lines of a log.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)

	return len(p), nil
}

// Guards against an instance that decides how much memory another one takes: streams without
// end, frames that are stated to be large and sent slowly, and streams that a server opens to
// its clients.
func TestPeersAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	frames := &memory.Budget{Max: 1 << 20}
	serving, leave := make(chan struct{}, 10*maxStreams), make(chan struct{})
	lines := make(logLines, 1000)
	s := NewServer(zerolog.New(lines), frames, func(context.Context, string, *pb.PeerFrame, *yamux.Stream) {
		serving <- struct{}{}
		<-leave
	})

	served := make(chan error, 1)

	go func() { served <- s.Serve(t.Context(), l) }()

	session, err := Dial(t.Context(), http1.DialTCP, l.Addr().String())
	require.NoError(t, err)

	large := binary.BigEndian.AppendUint32(nil, frame.MaxRelayBytes)

	var unread []*yamux.Stream

	for range 32 {
		stream, err := session.OpenStream()
		require.NoError(t, err)

		_, err = stream.Write(append(large, make([]byte, 100<<10)...))
		require.NoError(t, err)

		unread = append(unread, stream)
	}

	// The frames that find no memory end their streams; the others wait for their rest.
	for refused := range unread {
		if l := <-lines; strings.Contains(l, "no memory is left") {
			break
		}

		require.Less(t, refused, len(unread)-1)
	}

	require.LessOrEqual(t, frames.Used(), frames.Max)

	for _, stream := range unread {
		require.NoError(t, stream.Close())
	}

	// The server ends a stream some time after its other end.
	require.Eventually(t, func() bool { return frames.Used() == 0 }, time.Minute, time.Millisecond, "the memory of the frames is returned")

	open := func() error {
		stream, err := session.OpenStream()
		require.NoError(t, err)

		return frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_CopyRequest{CopyRequest: &pb.CopyRequest{}}}, frame.MaxRelayBytes)
	}

	for range maxStreams {
		require.NoError(t, open())
		<-serving
	}

	for range 2 * maxBacklog {
		_ = open() // Those beyond the backlog are reset.
	}

	require.Never(t, func() bool { return len(serving) > 0 }, 50*time.Millisecond, time.Millisecond)
	close(leave)

	require.False(t, session.IsClosed())
	s.mu.Lock()
	require.Len(t, s.open, 1)

	for opened := range s.open {
		require.False(t, opened.IsClosed())

		// The client may close the session before OpenStream has returned.
		if _, err := opened.OpenStream(); err != nil {
			require.ErrorIs(t, err, yamux.ErrSessionShutdown)
		}
	}
	s.mu.Unlock()

	require.Eventually(t, session.IsClosed, time.Minute, time.Millisecond, "the session is closed")
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-served, net.ErrClosed)
	s.Close()
	require.Zero(t, frames.Used())
}

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener

	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--

		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}

	return l.Listener.Accept()
}

// Guards against a listener for other instances that ends for good at its first failed accept,
// as without free descriptors.
func TestFailedAcceptsAreRepeated(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	s := NewServer(zerolog.Nop(), nil, func(_ context.Context, _ string, first *pb.PeerFrame, stream *yamux.Stream) {
		_ = frame.Write(stream, first, frame.MaxRelayBytes)
	})
	served := make(chan error, 1)

	go func() { served <- s.Serve(t.Context(), &failingListener{l, 3}) }()

	session, err := Dial(t.Context(), http1.DialTCP, l.Addr().String())
	require.NoError(t, err)

	stream, err := session.OpenStream()
	require.NoError(t, err)
	require.NoError(t, frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_CopyRequest{CopyRequest: &pb.CopyRequest{}}}, frame.MaxRelayBytes))

	_, err = frame.Read(stream, "server", frame.MaxRelayBytes, nil)
	require.NoError(t, err)
	require.NoError(t, session.Close())
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-served, net.ErrClosed)
	s.Close()
}
