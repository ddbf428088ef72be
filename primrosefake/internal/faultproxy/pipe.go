package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxChunkBytes = 16 << 10
	// maxQueuedBytes bounds the data queued in one direction; it allows over
	// 1 GB/s at a delay of 10 ms.
	maxQueuedBytes = 16 << 20
)

// pipe is one direction of a session: a queue of chunks, each with its earliest
// delivery time. They are delivered in order, as in TCP. Reading continues while
// chunks are delayed, so a delay doesn't limit the throughput.
type pipe struct {
	session    *session
	from, to   net.Conn
	dataReady  chan struct{} // Holds one wake-up of the writer.
	spaceReady chan struct{} // Holds one wake-up of the reader.

	mu          sync.Mutex // Guards the fields below.
	queue       []chunk
	queuedBytes int
	nextSend    time.Time // When the next chunk can start to be sent.
}

// chunk is data, or the end of the stream if data is nil.
type chunk struct {
	due   time.Time
	data  []byte
	reset bool // Whether the stream ended with an error.
}

// newPipe returns a pipe that sends nothing before start.
func newPipe(s *session, from, to net.Conn, start time.Time) *pipe {
	return &pipe{
		session: s, from: from, to: to, nextSend: start,
		dataReady: make(chan struct{}, 1), spaceReady: make(chan struct{}, 1),
	}
}

// read queues incoming data until the stream ends.
func (p *pipe) read() {
	buffer := make([]byte, maxChunkBytes)

	for {
		n, err := p.from.Read(buffer)
		if n > 0 {
			p.push(append([]byte(nil), buffer[:n]...), false)
		}

		if err != nil {
			p.push(nil, !errors.Is(err, io.EOF))

			return
		}

		if !p.waitForSpace() {
			return
		}
	}
}

func (p *pipe) push(data []byte, isReset bool) {
	transmission, propagation := p.session.link.transferTimes(len(data))

	p.mu.Lock()
	now := time.Now()

	if p.nextSend.Before(now) {
		p.nextSend = now
	}

	p.nextSend = p.nextSend.Add(transmission)
	due := p.nextSend.Add(propagation)
	p.queue = append(p.queue, chunk{due, data, isReset})
	p.queuedBytes += len(data)
	p.mu.Unlock()

	signal(p.dataReady)
}

// waitForSpace waits until the queue has space. It reports false if the session
// ended first.
func (p *pipe) waitForSpace() bool {
	for {
		p.mu.Lock()
		full := p.queuedBytes >= maxQueuedBytes
		p.mu.Unlock()

		if !full {
			return true
		}

		select {
		case <-p.spaceReady:
		case <-p.session.done:
			return false
		}
	}
}

// write delivers the queued chunks, each when it is due.
func (p *pipe) write() {
	for {
		next, ok := p.head()
		if !ok {
			select {
			case <-p.dataReady:
				continue
			case <-p.session.done:
				return
			}
		}

		if !p.session.link.schedule.sleep(next.due, p.session.done) || !p.session.link.waitHealed(p.session.done) {
			return
		}

		p.pop()

		if !p.deliver(next) {
			return
		}
	}
}

// deliver forwards a chunk and reports whether more can follow.
func (p *pipe) deliver(next chunk) bool {
	silent := p.session.silent.Load()

	switch {
	case next.data == nil && silent:
		// The close isn't forwarded; the session ends when the other side
		// closes too.
		return false
	case next.data == nil && next.reset:
		p.session.reset()

		return false
	case next.data == nil:
		_ = closeWrite(p.to)

		return false
	case silent:
		return true
	}

	if _, err := p.to.Write(next.data); err != nil {
		p.session.reset()

		return false
	}

	return true
}

func (p *pipe) head() (chunk, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.queue) == 0 {
		return chunk{}, false
	}

	return p.queue[0], true
}

func (p *pipe) pop() {
	p.mu.Lock()
	p.queuedBytes -= len(p.queue[0].data)
	p.queue[0].data = nil
	p.queue = p.queue[1:]
	p.mu.Unlock()

	signal(p.spaceReady)
}

// signal sends a wake-up to c unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
