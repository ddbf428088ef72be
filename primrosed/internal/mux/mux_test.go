package mux

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/primrosed/internal/frame"
)

// Guards against a message of another instance that ends the process: a panic while it
// is handled closes its stream, and the other streams of the session go on.
func TestPanicsConcernOneStream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	s := NewServer(zerolog.New(io.Discard), func(_ context.Context, _ string, first *pb.PeerFrame, stream *yamux.Stream) {
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

		_, err = frame.Read(stream, "server", frame.MaxRelayBytes)
		require.Equal(t, c.answered, err == nil, "%s: %v", c.collection, err)
		require.NoError(t, stream.Close())
	}

	require.NoError(t, session.Close())
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-served, net.ErrClosed)
	s.Close()
}
