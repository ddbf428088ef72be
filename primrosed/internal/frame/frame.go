// Package frame reads and writes the protobuf frames that instances exchange on
// yamux streams, each with its length in front.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

const (
	headerBytes = 4
	// MaxControlBytes holds a whole configuration and its frame, in bytes.
	MaxControlBytes = 2 << 20
	// MaxRelayBytes holds the answer of a whole query, in bytes.
	MaxRelayBytes = 32 << 20
)

// Error says that what a peer sent isn't a frame. The session can't be
// read any further and is closed.
type Error struct {
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

// Write writes f with its length in front, in one call.
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

// Read reads one frame of a peer. An Error means that the bytes are wrong; other
// errors come from the connection.
func Read(r io.Reader, peer string, limit int) (*pb.PeerFrame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}

	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(limit) {
		return nil, &Error{Peer: peer, Reason: fmt.Sprintf("frame has %d bytes; at most %d are allowed", size, limit)}
	}

	b, err := readExactly(r, int(size))
	if err != nil {
		return nil, err
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

// readExactly reads size bytes. Memory grows with what arrives, so that a
// header alone doesn't reserve it.
func readExactly(r io.Reader, size int) ([]byte, error) {
	const step = 256 << 10

	b := make([]byte, 0, min(size, step))

	for len(b) < size {
		n := min(step, size-len(b))
		b = append(b, make([]byte, n)...)

		if _, err := io.ReadFull(r, b[len(b)-n:]); err != nil {
			return nil, errors.Annotate(err, "read body")
		}
	}

	return b, nil
}
