// Package unary implements an HTTP/2 server without TLS for small unary requests.
// It uses less CPU than net/http: one goroutine reads a connection, one runs each
// request, and a response is written whole after its handler has returned.
package unary

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// maxBodyBytes bounds a request's body. It is also the receive window of a
	// stream, so that streams need no window updates.
	maxBodyBytes = 4 << 20
	maxStreams   = 1000
	// connectionWindow is added to the receive window of a connection, in bytes.
	connectionWindow = 1 << 30
	// defaultWindow and maxFrameBytes are the protocol's initial values, in
	// effect before SETTINGS.
	defaultWindow = 65_535
	maxFrameBytes = 16 << 10
)

// Prefix is the start of the HTTP/2 connection preface, which no HTTP/1 request
// begins with.
const Prefix = "PRI"

// Serve serves one connection, read through r, until it ends, and then cancels
// its requests.
func Serve(c net.Conn, r *bufio.Reader, h http.Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	s := &conn{
		ctx: ctx, handler: h, net: c, out: bufio.NewWriter(c), streams: make(map[uint32]*stream),
		sendWindow: defaultWindow, streamWindow: defaultWindow,
	}
	s.framer = http2.NewFramer(s.out, r)
	s.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil) // The protocol's initial table size.
	s.framer.SetReuseFrames()
	s.encoder = hpack.NewEncoder(&s.block)
	s.changed.L = &s.mu

	_ = s.serve(r)
	s.close()
}

// conn is one connection.
type conn struct {
	ctx     context.Context //nolint:containedctx // The lifetime of the connection.
	handler http.Handler
	net     net.Conn
	framer  *http2.Framer // Reading is done by serve only, writing under mu.
	writers atomic.Int32  // Goroutines in write, except waiting ones; the last one flushes.

	mu           sync.Mutex // Guards the fields below.
	out          *bufio.Writer
	block        bytes.Buffer
	encoder      *hpack.Encoder
	streams      map[uint32]*stream
	sendWindow   int64
	streamWindow int64     // The initial send window of a stream.
	received     int       // Bytes since the last window update.
	changed      sync.Cond // A window grew or a stream was removed.
}

type stream struct {
	id      uint32
	request *http.Request
	body    bytes.Buffer
	ended   bool // Whether the whole request has been received; used by serve only.
	cancel  context.CancelFunc
	window  int64 // The send window, guarded by conn.mu.
}

func (s *conn) serve(r *bufio.Reader) error {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(r, preface); err != nil {
		return err
	}

	if string(preface) != http2.ClientPreface {
		return errors.New("invalid HTTP/2 connection preface")
	}

	err := s.write(func() error {
		if err := s.framer.WriteSettings(
			http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: maxStreams},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: maxBodyBytes},
		); err != nil {
			return err
		}

		return s.framer.WriteWindowUpdate(0, connectionWindow)
	})

	for err == nil {
		var f http2.Frame

		f, err = s.framer.ReadFrame()
		if se := (http2.StreamError{}); errors.As(err, &se) {
			err = s.resetStream(se.StreamID, se.Code)

			continue
		}

		if err == nil {
			err = s.handle(f)
		}
	}

	return err
}

func (s *conn) handle(f http2.Frame) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return s.handleHeaders(f)
	case *http2.DataFrame:
		return s.handleData(f)
	case *http2.RSTStreamFrame:
		s.removeStream(f.StreamID)
	case *http2.SettingsFrame:
		return s.handleSettings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			return s.write(func() error { return s.framer.WritePing(true, f.Data) })
		}
	case *http2.WindowUpdateFrame:
		s.growWindow(f.StreamID, int64(f.Increment))
	}

	return nil
}

func (s *conn) handleHeaders(f *http2.MetaHeadersFrame) error {
	u, err := url.ParseRequestURI(f.PseudoValue("path"))
	if err != nil {
		return s.resetStream(f.StreamID, http2.ErrCodeProtocol)
	}

	h := make(http.Header, len(f.Fields))
	for _, v := range f.RegularFields() {
		h.Add(v.Name, v.Value)
	}

	ctx, cancel := context.WithCancel(s.ctx)
	st := &stream{id: f.StreamID, cancel: cancel}
	st.request = (&http.Request{
		Method: f.PseudoValue("method"), URL: u, Host: f.PseudoValue("authority"), Header: h, ContentLength: -1,
		Proto: "HTTP/2.0", ProtoMajor: 2, RequestURI: f.PseudoValue("path"), RemoteAddr: s.net.RemoteAddr().String(),
	}).WithContext(ctx)

	s.mu.Lock()
	// Request trailers, which are HEADERS on an open stream, are refused: no
	// client sends any.
	refused := s.streams[st.id] != nil || len(s.streams) >= maxStreams

	if !refused {
		st.window = s.streamWindow
		s.streams[st.id] = st
	}
	s.mu.Unlock()

	if refused {
		cancel()

		return s.resetStream(st.id, http2.ErrCodeRefusedStream)
	}

	if f.StreamEnded() {
		st.ended = true

		go s.runRequest(st)
	}

	return nil
}

func (s *conn) handleData(f *http2.DataFrame) error {
	s.mu.Lock()
	st := s.streams[f.StreamID]
	s.received += int(f.Length)
	update := s.received

	if update < connectionWindow/2 {
		update = 0
	}

	s.received -= update
	s.mu.Unlock()

	if update > 0 {
		if err := s.write(func() error { return s.framer.WriteWindowUpdate(0, uint32(update)) }); err != nil {
			return err
		}
	}

	if st == nil || st.ended {
		return nil // The stream was reset.
	}

	st.body.Write(f.Data())

	if st.body.Len() > maxBodyBytes {
		return s.resetStream(st.id, http2.ErrCodeFlowControl)
	}

	if f.StreamEnded() {
		st.ended = true

		go s.runRequest(st)
	}

	return nil
}

func (s *conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}

	return s.write(func() error {
		if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
			for _, st := range s.streams {
				st.window += int64(v) - s.streamWindow
			}

			s.streamWindow = int64(v)
			s.changed.Broadcast()
		}

		if v, ok := f.Value(http2.SettingHeaderTableSize); ok {
			s.encoder.SetMaxDynamicTableSize(min(v, 4096))
		}

		return s.framer.WriteSettingsAck()
	})
}

func (s *conn) growWindow(id uint32, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if id == 0 {
		s.sendWindow += n
	} else if st := s.streams[id]; st != nil {
		st.window += n
	}

	s.changed.Broadcast()
}

func (s *conn) resetStream(id uint32, code http2.ErrCode) error {
	s.removeStream(id)

	return s.write(func() error { return s.framer.WriteRSTStream(id, code) })
}

// removeStream cancels and removes a stream, if it exists.
func (s *conn) removeStream(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if st := s.streams[id]; st != nil {
		st.cancel()
		delete(s.streams, id)
		s.changed.Broadcast()
	}
}

func (s *conn) close() {
	_ = s.net.Close()

	s.mu.Lock()
	defer s.mu.Unlock()

	clear(s.streams)
	s.changed.Broadcast()
}

// runRequest runs a request and writes its response.
func (s *conn) runRequest(st *stream) {
	st.request.Body = io.NopCloser(&st.body)
	st.request.ContentLength = int64(st.body.Len())

	w := &response{header: make(http.Header, 4)}
	s.handler.ServeHTTP(w, st.request)

	if err := s.write(func() error { return s.writeResponse(st, w) }); err != nil {
		_ = s.net.Close()
	}

	s.removeStream(st.id)
}

// writeResponse writes the headers, the data and the trailers. The caller holds s.mu.
func (s *conn) writeResponse(st *stream, w *response) error {
	if s.streamClosed(st) {
		return nil
	}

	body := w.body.Bytes()
	headers, trailers := w.splitTrailers()

	if err := s.writeHeaders(st.id, max(w.status, http.StatusOK), headers, len(body) == 0 && len(trailers) == 0); err != nil {
		return err
	}

	for len(body) > 0 {
		n, err := s.reserveWindow(st, len(body))
		if err != nil || n == 0 {
			return err
		}

		if err := s.framer.WriteData(st.id, n == len(body) && len(trailers) == 0, body[:n]); err != nil {
			return err
		}

		body = body[n:]
	}

	if len(trailers) == 0 {
		return nil
	}

	return s.writeHeaders(st.id, 0, trailers, true)
}

// reserveWindow waits until the flow-control windows allow data and takes up to n
// bytes from them. It returns 0 if the stream was removed. The caller holds s.mu.
func (s *conn) reserveWindow(st *stream, n int) (int, error) {
	for !s.streamClosed(st) {
		if free := min(int64(n), s.sendWindow, st.window, maxFrameBytes); free > 0 {
			s.sendWindow -= free
			st.window -= free

			return int(free), nil
		}

		if err := s.out.Flush(); err != nil {
			return 0, err
		}

		// A waiting writer won't flush, so it isn't counted.
		s.writers.Add(-1)
		s.changed.Wait()
		s.writers.Add(1)
	}

	return 0, nil
}

// streamClosed reports whether the stream was removed. The caller holds s.mu.
func (s *conn) streamClosed(st *stream) bool { return s.streams[st.id] != st }

// writeHeaders writes one header block; a status of 0 is left out. The caller
// holds s.mu.
func (s *conn) writeHeaders(id uint32, status int, h http.Header, end bool) error {
	s.block.Reset()

	if status > 0 {
		_ = s.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
	}

	for k, list := range h {
		for _, v := range list {
			_ = s.encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(k), Value: v})
		}
	}

	first := true

	for {
		n := min(s.block.Len(), maxFrameBytes)
		last := n == s.block.Len()

		var err error
		if first {
			err = s.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID: id, BlockFragment: s.block.Next(n), EndStream: end, EndHeaders: last,
			})
		} else {
			err = s.framer.WriteContinuation(id, last, s.block.Next(n))
		}

		if err != nil || last {
			return err
		}

		first = false
	}
}

// write calls f with s.mu held. Of concurrent writers, only the last one flushes.
func (s *conn) write(f func() error) error {
	s.writers.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()

	err := f()
	if s.writers.Add(-1) == 0 && err == nil {
		err = s.out.Flush()
	}

	return err
}

// response is an http.ResponseWriter that buffers the whole response.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)

	return w.body.Write(b)
}

// Flush implements http.Flusher, which Connect requires for streams. It does
// nothing, since the response is written whole.
func (w *response) Flush() {}

// splitTrailers returns the headers and the trailers.
func (w *response) splitTrailers() (headers, trailers http.Header) {
	for k, v := range w.header {
		if name, ok := strings.CutPrefix(k, http.TrailerPrefix); ok {
			if trailers == nil {
				trailers = make(http.Header)
			}

			trailers[name] = v
			delete(w.header, k)
		}
	}

	for _, k := range w.header["Trailer"] {
		if v, ok := w.header[k]; ok {
			if trailers == nil {
				trailers = make(http.Header)
			}

			trailers[k] = v
			delete(w.header, k)
		}
	}

	return w.header, trailers
}
