// Package logline writes zerolog events as one line of key=value pairs each.
package logline

import (
	"bytes"
	"io"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// bufferBytes bounds the lines that wait to be written; what exceeds it is
	// dropped and counted. It holds some seconds of lines under load.
	bufferBytes = 256 << 10
	// chunkBytes bounds one write. Writes end at a line end, so that a reader that
	// reads a pipe in pieces sees whole lines.
	chunkBytes    = 8 << 10
	flushInterval = 200 * time.Millisecond
)

var linesLost = metrics.NewCounter("primrose_log_lines_lost_total")

// IgnoreClosedOutput keeps the process from ending by SIGPIPE when it writes to standard output
// and the reader has gone: the write fails instead.
func IgnoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// Writer converts zerolog's JSON events to key=value lines and buffers them. A
// slow or failed output never blocks Write: lines that exceed the buffer are
// dropped, and the next flush logs their number. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex // Guards pending and dropped.
	pending []byte
	dropped int

	flushMu sync.Mutex // Guards out and spare; taken before mu.
	out     io.Writer
	spare   []byte

	stop chan struct{}
	done chan struct{}
}

// New returns a Writer to out that flushes every flushInterval until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}

	go w.flushLoop()

	return w
}

// Logger returns a logger that writes to w.
func (w *Writer) Logger() zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Logger()
}

// Write takes one JSON event.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if len(w.pending)+len(p) > bufferBytes {
		w.dropped++

		return len(p), nil
	}

	w.pending = appendPairs(w.pending, bytes.TrimSpace(p))
	w.pending = append(w.pending, '\n')

	return len(p), nil
}

// Close stops the periodic flush and flushes what is buffered.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done

	return w.flush()
}

// flush writes the pending lines without blocking Write. If a write fails, the
// lines that it didn't write are lost, and count as dropped.
func (w *Writer) flush() error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()

	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()

	if dropped > 0 {
		lines = append(lines, "level=warn event=log_lines_dropped lines="+strconv.Itoa(dropped)+"\n"...)
	}

	w.spare = lines

	if len(lines) == 0 {
		return nil
	}

	for len(lines) > 0 {
		n := len(lines)
		if n > chunkBytes {
			n = bytes.LastIndexByte(lines[:chunkBytes], '\n') + 1
			if n == 0 {
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}

		if _, err := w.out.Write(lines[:n]); err != nil {
			lost := bytes.Count(lines, []byte{'\n'})
			if dropped > 0 {
				lost-- // The line that says so.
			}

			linesLost.Add(lost)

			w.mu.Lock()
			w.dropped += dropped + lost
			w.mu.Unlock()

			return err
		}

		lines = lines[n:]
	}

	return nil
}

func (w *Writer) flushLoop() {
	defer close(w.done)

	t := time.NewTicker(flushInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			_ = w.flush() // The error can't be logged.
		case <-w.stop:
			return
		}
	}
}

// appendPairs appends the fields of the flat JSON object p as key=value
// pairs. A nested value is written as its JSON text.
func appendPairs(dst, p []byte) []byte {
	p = bytes.TrimPrefix(p, []byte{'{'})
	p = bytes.TrimSuffix(p, []byte{'}'})

	for first := true; len(p) > 0; first = false {
		p = bytes.TrimPrefix(p, []byte{','})

		key, rest := cutValue(p)
		rest = bytes.TrimPrefix(rest, []byte{':'})

		value, next := cutValue(rest)
		if !first {
			dst = append(dst, ' ')
		}

		dst = append(dst, bytes.Trim(key, `"`)...)
		dst = append(dst, '=')
		dst = appendValue(dst, value)

		if len(next) >= len(p) {
			return dst
		}

		p = next
	}

	return dst
}

// appendValue appends a JSON value; a string without characters that need
// quotes is written without them.
func appendValue(dst, v []byte) []byte {
	if len(v) < 2 || v[0] != '"' {
		if bytes.ContainsAny(v, " \"") {
			return strconv.AppendQuote(dst, string(v))
		}

		return append(dst, v...)
	}

	if inner := v[1 : len(v)-1]; len(inner) > 0 && !bytes.ContainsAny(inner, " =\\\"") {
		return append(dst, inner...)
	}

	return append(dst, v...)
}

// cutValue splits p after its first JSON value.
func cutValue(p []byte) (value, rest []byte) {
	depth := 0

	for i := 0; i < len(p); i++ {
		switch p[i] {
		case '"':
			for i++; i < len(p) && p[i] != '"'; i++ {
				if p[i] == '\\' {
					i++
				}
			}
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',', ':':
			if depth == 0 {
				return p[:i], p[i:]
			}
		}
	}

	return p, nil
}
