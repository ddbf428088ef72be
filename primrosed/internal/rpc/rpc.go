// Package rpc checks what an instance is sent over Connect and gRPC before a
// handler sees it: the size of a request, compressed or not, and that its JSON
// holds known fields only. What fails a check is refused as invalid, so that a
// client doesn't send it again; the library's own limit would refuse it as
// resource_exhausted (status 429), which asks for a retry.
package rpc

import (
	"compress/gzip"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/refusal"
)

// envelopeBytes is what gRPC puts before a message: a flag and its length.
const envelopeBytes = 5

// Options returns the options of a handler whose messages, unpacked, have at
// most limit bytes.
func Options(limit int64) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(strictJSON{"json"}),
		connect.WithCodec(strictJSON{"json; charset=utf-8"}),
		connect.WithCompression("gzip",
			func() connect.Decompressor { return &decompressor{limit: limit} },
			func() connect.Compressor { return gzip.NewWriter(io.Discard) }),
	)
}

// LimitBody refuses requests of next with more than limit bytes; an envelope
// isn't counted.
func LimitBody(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = struct {
			io.Reader
			io.Closer
		}{&limitedReader{reader: r.Body, remaining: limit + envelopeBytes, limit: limit}, r.Body}
		next.ServeHTTP(w, r)
	})
}

// limitedReader reads remaining bytes and fails if there are more; limit is named in the
// error.
type limitedReader struct {
	reader           io.Reader
	remaining, limit int64
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	// One byte more tells whether the message ends at the limit.
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}

	n, err := b.reader.Read(p)
	b.remaining -= int64(n)

	if b.remaining < 0 {
		e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "read request", "the request has more than %d bytes", b.limit)

		return n, refusal.ToConnect(e)
	}

	return n, err
}

// decompressor unpacks gzip up to a limit. The zero value with a limit is ready
// for Reset.
type decompressor struct {
	gzip    gzip.Reader
	limit   int64
	limited limitedReader
}

// Read implements io.Reader.
func (d *decompressor) Read(p []byte) (int, error) { return d.limited.Read(p) }

// Close implements connect.Decompressor.
func (d *decompressor) Close() error { return d.gzip.Close() }

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(r io.Reader) error {
	d.limited = limitedReader{reader: &d.gzip, remaining: d.limit, limit: d.limit}

	return d.gzip.Reset(r)
}

// strictJSON is the JSON codec that refuses unknown fields. A field that is
// dropped in silence, a misspelt deadline for example, would change the meaning
// of a request.
type strictJSON struct{ name string }

// Name implements connect.Codec.
func (c strictJSON) Name() string { return c.name }

// Marshal implements connect.Codec.
func (c strictJSON) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("encode %T: not a protobuf message", message)
	}

	return protojson.Marshal(m)
}

// Unmarshal implements connect.Codec.
func (c strictJSON) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("decode %T: not a protobuf message", message)
	}

	return protojson.Unmarshal(data, m)
}
