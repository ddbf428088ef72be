// Package frame reads and writes the length-prefixed protobuf frames that
// instances exchange on yamux streams.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/memory"
)

const (
	headerBytes = 4
	// MaxControlBytes bounds a control frame, which may hold a whole
	// configuration.
	MaxControlBytes = 2 << 20
	// MaxRelayBytes bounds a relay frame, which may hold the answer of a whole
	// query.
	MaxRelayBytes = 32 << 20
)

// Error reports a frame that is malformed, unexpected or too large. If it was
// received, its stream is of no further use and must be closed.
type Error struct {
	// Peer is the sender of the frame; empty for a frame of this instance.
	Peer   string
	Reason string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "read frame: peer " + e.Peer + ": " + e.Reason
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}

	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Write writes f with its length prefix in one call of w.Write. An *Error means
// that nothing was written: f is invalid or has more than limit bytes.
func Write(w io.Writer, f *pb.PeerFrame, limit int) error {
	size := proto.Size(f)
	if size > limit {
		return &Error{Reason: fmt.Sprintf("frame to send has %d bytes; at most %d are allowed", size, limit)}
	}

	b := make([]byte, headerBytes, headerBytes+size)
	binary.BigEndian.PutUint32(b, uint32(size))

	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	if err != nil {
		return &Error{Reason: "marshal", Cause: err}
	}

	_, err = w.Write(b)

	return err
}

// Read reads one frame of a peer. The bytes take memory from frames until they are decoded. An
// *Error means that the peer sent an invalid frame or one of more than limit bytes, or that no
// memory is left for it; other errors come from the connection.
func Read(r io.Reader, peer string, limit int, frames *memory.Budget) (*pb.PeerFrame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}

	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(limit) {
		return nil, &Error{Peer: peer, Reason: fmt.Sprintf("frame has %d bytes; at most %d are allowed", size, limit)}
	}

	b, reserved, err := frames.ReadAll(r, int64(size))
	defer frames.Release(reserved)

	switch {
	case errors.Is(err, memory.ErrExhausted):
		return nil, &Error{Peer: peer, Reason: fmt.Sprintf("frame has %d bytes", size), Cause: err}
	case err != nil:
		return nil, errors.Annotate(err, "read body")
	case len(b) < int(size):
		return nil, errors.Annotate(io.ErrUnexpectedEOF, "read body")
	}

	f := &pb.PeerFrame{}
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, &Error{Peer: peer, Reason: "unmarshal", Cause: err}
	}

	if f.GetBody() == nil {
		return nil, &Error{Peer: peer, Reason: "frame has no known body"}
	}

	return f, nil
}
