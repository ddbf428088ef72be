package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readBytes = 16 << 10
	// maxQueuedBytes bounds what a direction holds; it carries over 1 GB/s at
	// a delay of 10 ms.
	maxQueuedBytes = 16 << 20
)

// pipe is one direction of a session: a queue of pieces of data, each with the
// time before which it isn't delivered. They stay in order, as in TCP. Data that is on its way doesn't hold up the
// reading of more, so a delay doesn't limit the throughput.
type pipe struct {
	session  *session
	from, to net.Conn
	wake     chan struct{} // Holds one wake-up of the writer.
	room     chan struct{} // Holds one wake-up of the reader.

	mu     sync.Mutex // Guards all below.
	queue  []piece
	queued int
	free   time.Time // When the latest piece has been sent.
}

// piece is data, or the end of the direction if data is nil.
type piece struct {
	due   time.Time
	data  []byte
	reset bool // Whether the direction ended with an error.
}

// newPipe returns a direction that sends nothing before open.
func newPipe(s *session, from, to net.Conn, open time.Time) *pipe {
	return &pipe{
		session: s, from: from, to: to, free: open,
		wake: make(chan struct{}, 1), room: make(chan struct{}, 1),
	}
}

// read queues what comes until the direction ends.
func (p *pipe) read() {
	buffer := make([]byte, readBytes)

	for {
		n, err := p.from.Read(buffer)
		if n > 0 {
			p.push(append([]byte(nil), buffer[:n]...), false)
		}

		if err != nil {
			p.push(nil, !errors.Is(err, io.EOF))

			return
		}

		if !p.waitForRoom() {
			return
		}
	}
}

func (p *pipe) push(data []byte, isReset bool) {
	sending, travel := p.session.link.transit(len(data))

	p.mu.Lock()
	now := time.Now()

	if p.free.Before(now) {
		p.free = now
	}

	p.free = p.free.Add(sending)
	due := p.free.Add(travel)
	p.queue = append(p.queue, piece{due, data, isReset})
	p.queued += len(data)
	p.mu.Unlock()

	signal(p.wake)
}

// waitForRoom waits until the queue has room. It reports false if the session
// ended first.
func (p *pipe) waitForRoom() bool {
	for {
		p.mu.Lock()
		full := p.queued >= maxQueuedBytes
		p.mu.Unlock()

		if !full {
			return true
		}

		select {
		case <-p.room:
		case <-p.session.done:
			return false
		}
	}
}

// write delivers the queued pieces, each when it is due.
func (p *pipe) write() {
	for {
		next, ok := p.head()
		if !ok {
			select {
			case <-p.wake:
				continue
			case <-p.session.done:
				return
			}
		}

		if !p.session.link.schedule.sleep(next.due, p.session.done) || !p.session.link.passable(p.session.done) {
			return
		}

		p.pop()

		if !p.deliver(next) {
			return
		}
	}
}

// deliver passes one piece on and reports whether more can follow.
func (p *pipe) deliver(next piece) bool {
	silent := p.session.silent.Load()

	switch {
	case next.data == nil && silent:
		// The end that is left isn't told; the session ends with its own close.
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

func (p *pipe) head() (piece, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.queue) == 0 {
		return piece{}, false
	}

	return p.queue[0], true
}

func (p *pipe) pop() {
	p.mu.Lock()
	p.queued -= len(p.queue[0].data)
	p.queue[0].data = nil
	p.queue = p.queue[1:]
	p.mu.Unlock()

	signal(p.room)
}

// signal leaves one wake-up in c.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
