// Package rpc checks Connect and gRPC requests before a handler sees them:
// their size, before and after decompression, and that their JSON has known
// fields only. A request that fails a check is refused as invalid, so that
// clients don't retry it. The library's own limit would refuse it as
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
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/refusal"
)

// envelopeBytes is the size of the flag and length that gRPC puts before a
// message.
const envelopeBytes = 5

// Options returns the options of a handler whose messages have at most limit
// bytes after decompression.
func Options(limit int64) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(strictJSON{"json"}),
		connect.WithCodec(strictJSON{"json; charset=utf-8"}),
		connect.WithCompression("gzip",
			func() connect.Decompressor { return &decompressor{limit: limit} },
			func() connect.Compressor { return gzip.NewWriter(io.Discard) }),
	)
}

// LimitBody refuses requests to next whose body has more than limit bytes, not
// counting an envelope, or finds no memory left in bodies, which bounds those of all requests
// that are being served; nil sets no bound.
func LimitBody(limit int64, bodies *memory.Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldReader{reader: r.Body, bodies: bodies}
		defer held.release()

		r.Body = struct {
			io.Reader
			io.Closer
		}{&limitedReader{reader: held, remaining: limit + envelopeBytes, limit: limit}, r.Body}
		next.ServeHTTP(w, r)
	})
}

// heldReader takes memory for what it reads until release.
type heldReader struct {
	reader io.Reader
	bodies *memory.Budget
	held   int64
}

// Read implements io.Reader.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.reader.Read(p)
	if !h.bodies.Reserve(int64(n)) {
		return 0, refusal.ToConnect(domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "read request", "no memory is left for its body"))
	}

	h.held += int64(n)

	return n, err
}

func (h *heldReader) release() { h.bodies.Release(h.held) }

// limitedReader reads remaining bytes and fails if there are more. The error
// names limit.
type limitedReader struct {
	reader           io.Reader
	remaining, limit int64
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	// Reads one byte more, which tells whether the message ends at the limit.
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

// decompressor decompresses gzip up to limit bytes. Only limit must be set
// before Reset.
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

// strictJSON is a JSON codec that refuses unknown fields. A field that is
// silently ignored, such as a misspelt deadline, would change the meaning of a
// request.
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
