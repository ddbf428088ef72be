// Package http1 is an HTTP/1.1 client with connection pools and without
// pipelining. Unlike net/http's Transport, it never resends a request by itself,
// it reports whether any byte of a request was sent, and it closes a connection
// on which unexpected data arrived before it serves another request. For servers
// it has IdleTimer.
package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"primrosespring.example/internal/memory"
)

const (
	// readBufferBytes holds a response header and a small body.
	readBufferBytes = 2 << 10
	// maxHeadBytes bounds the status line and headers of a response, together with
	// those of its interim responses; maxInterim bounds the number of the latter.
	maxHeadBytes = 32 << 10
	maxInterim   = 10
	// minStatus and maxStatus are the range of status codes (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// defaultMaxBodyBytes bounds the body of a response where Limit.MaxBodyBytes
	// doesn't; the store pages its lists at about 1 MB.
	defaultMaxBodyBytes = 8 << 20
	// maxCopiedBody is the largest body of a request that is copied, to be sent in one
	// packet with its head.
	maxCopiedBody = 16 << 10
	// The kernel closes a connection whose peer acknowledges nothing for
	// ackTimeout, and sends keep-alive probes every keepAliveInterval while it is
	// idle. The timeout is below the 3 s within which a change or a searcher's
	// drain must take effect, even if a connection is silent.
	ackTimeout        = 2500 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxPeerIdle bounds the idle timeout that a peer states.
	maxPeerIdle = 24 * time.Hour
	// tcpUserTimeout is the TCP_USER_TIMEOUT socket option of Linux; package
	// syscall doesn't name it.
	tcpUserTimeout = 18
)

// Errors of a connection. SendError.Sent says whether anything was sent.
var (
	// ErrDirty means that the peer closed an idle connection or sent bytes that
	// belong to no request.
	ErrDirty = errors.New("connection closed or unexpected data received")
	// ErrTooLarge means that the body of a response exceeds the limit of its pool, or
	// the bodies that are being read exceed that of the process.
	ErrTooLarge = errors.New("response body too large")
	// ErrHeadTooLarge means that the headers of a response exceed the limit, or that
	// too many interim responses preceded it.
	ErrHeadTooLarge = errors.New("response headers too large")
	// ErrStatus means that the status of a response isn't one of HTTP.
	ErrStatus = errors.New("status out of range")
)

// Request is one request as it goes on the wire.
type Request struct {
	Method string
	// Target is the request target, unchanged from the caller.
	Target string
	Host   string
	// Header is sent as it is; Content-Length and Host are added.
	Header http.Header
	Body   []byte
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// FirstOnConn is set if no other exchange preceded this one on its connection, so
	// that the response can't be the late copy of an earlier one.
	FirstOnConn bool
}

// SendError is the failure of an exchange.
type SendError struct {
	// Sent is set if any byte of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Conn is one connection. It serves one request at a time.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	// head limits what reader reads from conn.
	head *headLimiter
	// maxBodyBytes bounds the body of a response, and bodies what all bodies that are
	// being read may take.
	maxBodyBytes int64
	bodies       *memory.Budget
	// used is set once a request was sent.
	used bool
	// carried are the requests that it has carried and that may be sent again.
	carried requestSet
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// peerIdleTimeout is the idle timeout that the peer stated last; zero if it
	// stated none.
	peerIdleTimeout time.Duration
}

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection that detects a silent peer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error

			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})

			return errors.Join(err, optErr)
		},
	}

	return d.DialContext(ctx, "tcp", address)
}

// newConn returns a connection whose responses have bodies of maxBodyBytes at most, or
// defaultMaxBodyBytes if that is zero; b bounds them too and may be nil.
func newConn(nc net.Conn, maxBodyBytes int64, b *memory.Budget) *Conn {
	head := &headLimiter{reader: nc}

	return &Conn{
		conn: nc, reader: bufio.NewReaderSize(head, readBufferBytes), head: head,
		maxBodyBytes: cmp.Or(maxBodyBytes, defaultMaxBodyBytes), bodies: b, idleSince: time.Now(),
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// reusable reports whether nothing has arrived since the last exchange and the
// peer hasn't closed the connection.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}

	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}

	noData := false

	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte

		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && noData
}

// Exchange sends a request and reads the whole response. It ends when ctx does,
// after which the connection can't be used again. keep reports whether the
// connection may serve another request. Errors are *SendError.
func (c *Conn) Exchange(ctx context.Context, r *Request) (resp *Response, keep bool, err error) {
	// A deadline in the past makes pending reads and writes fail at once.
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })

	resp, keep, err = c.exchange(r)

	if !stop() {
		keep = false
	}

	if err != nil && ctx.Err() != nil {
		err = &SendError{Sent: true, Err: ctx.Err()}
	}

	c.idleSince = time.Now()

	return resp, keep && err == nil, err
}

func (c *Conn) exchange(r *Request) (*Response, bool, error) {
	if n, err := r.write(c.conn); err != nil {
		return nil, false, &SendError{Sent: n > 0, Err: err}
	}

	first := !c.used
	c.used = true

	hr, err := c.readHead(r.Method) //nolint:bodyclose // See readBody.
	if err != nil {
		return nil, false, &SendError{Sent: true, Err: err}
	}

	body, err := c.readBody(hr)
	if err != nil {
		return nil, false, &SendError{Sent: true, Err: err}
	}

	keep := !hr.Close && c.reader.Buffered() == 0
	c.peerIdleTimeout = keepAliveTimeout(hr.Header)

	return &Response{Status: hr.StatusCode, Header: hr.Header, Body: body, FirstOnConn: first}, keep, nil
}

// readHead reads the head of the final response and skips interim ones.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	defer c.head.unlimit()

	for range maxInterim + 1 {
		hr, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			if c.head.exceeded {
				err = ErrHeadTooLarge
			}

			return nil, err
		}

		switch {
		case hr.StatusCode < minStatus || hr.StatusCode > maxStatus:
			return nil, ErrStatus
		case hr.StatusCode >= http.StatusOK:
			return hr, nil
		}
	}

	return nil, ErrHeadTooLarge
}

// readBody reads the whole body. It doesn't close hr.Body, which holds no resources: Close
// would read the rest of a body without end.
func (c *Conn) readBody(hr *http.Response) ([]byte, error) {
	if hr.ContentLength > c.maxBodyBytes {
		return nil, ErrTooLarge
	}

	// One more byte than allowed tells a body at the limit from a larger one, and the end of
	// one with a stated length has to be read too.
	largest := c.maxBodyBytes + 1
	if hr.ContentLength >= 0 {
		largest = hr.ContentLength + 1
	}

	body, reserved, err := c.bodies.ReadAll(hr.Body, largest)
	c.bodies.Release(reserved)

	switch {
	case errors.Is(err, memory.ErrExhausted), int64(len(body)) > c.maxBodyBytes:
		return nil, ErrTooLarge
	case err != nil:
		return nil, err
	}

	return body, nil
}

// write sends the request and returns how many bytes it has sent.
func (r *Request) write(w io.Writer) (int64, error) {
	if len(r.Body) > maxCopiedBody {
		return (&net.Buffers{r.encodeHead(0), r.Body}).WriteTo(w)
	}

	n, err := w.Write(append(r.encodeHead(len(r.Body)), r.Body...))

	return int64(n), err
}

// encodeHead returns the request line and the headers, with room for so many bytes more.
func (r *Request) encodeHead(room int) []byte {
	b := make([]byte, 0, 256+room)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)

	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}

	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}

	return append(b, "\r\n"...)
}

// keepAliveTimeout returns the timeout that a Keep-Alive header states, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
			if !ok {
				continue
			}

			if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 {
				return time.Duration(min(s, maxPeerIdle.Seconds()) * float64(time.Second))
			}
		}
	}

	return 0
}
