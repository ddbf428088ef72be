package searcher

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
)

const (
	protoContentType = "application/proto"
	maxRequestBytes  = 4 << 20
)

// handler serves SearcherService. To save CPU it decodes Run calls in Connect's
// binary encoding itself, with pooled buffers, since all searchers of the
// benchmark share a machine with the system under test. Connect's handler serves
// all other calls.
type handler struct {
	server   *Server
	fallback http.Handler
	errors   *connect.ErrorWriter
	buffers  sync.Pool
}

func newHandler(s *Server) *handler {
	// Compressing a small response costs more than the rest of its request.
	_, fallback := primrosespringv1connect.NewSearcherServiceHandler(s, connect.WithCompression("gzip", nil, nil))

	return &handler{
		server: s, fallback: fallback, errors: connect.NewErrorWriter(),
		buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != primrosespringv1connect.SearcherServiceRunProcedure || r.Method != http.MethodPost ||
		r.Header.Get("Content-Type") != protoContentType || r.Header.Get("Content-Encoding") != "" {
		h.fallback.ServeHTTP(w, r)

		return
	}

	h.run(w, r)
}

func (h *handler) run(w http.ResponseWriter, r *http.Request) {
	buffer, _ := h.buffers.Get().(*bytes.Buffer)
	defer h.buffers.Put(buffer)

	req := &pb.RunRequest{}
	if err := readMessage(buffer, r.Body, req); err != nil {
		_ = h.errors.Write(w, r, connect.NewError(connect.CodeInvalidArgument, err))

		return
	}

	// The header has whole milliseconds, so the message's timeout_us has priority.
	if ms, err := strconv.ParseUint(r.Header.Get("Connect-Timeout-Ms"), 10, 64); err == nil && req.GetTimeoutUs() == 0 {
		req.TimeoutUs = max(ms*1000, 1)
	}

	resp, err := h.server.Run(r.Context(), req)
	if err != nil {
		_ = h.errors.Write(w, r, err)

		return
	}

	buffer.Reset()

	b, err := proto.MarshalOptions{}.MarshalAppend(buffer.AvailableBuffer(), resp)
	if err != nil {
		_ = h.errors.Write(w, r, err)

		return
	}

	header := w.Header()
	header["Content-Type"] = []string{protoContentType}
	header["Content-Length"] = []string{strconv.Itoa(len(b))}
	_, _ = w.Write(b)
}

func readMessage(buffer *bytes.Buffer, r io.Reader, m proto.Message) error {
	buffer.Reset()

	if _, err := buffer.ReadFrom(io.LimitReader(r, maxRequestBytes)); err != nil {
		return err
	}

	return proto.Unmarshal(buffer.Bytes(), m)
}
