// Package faultproxy implements a TCP proxy whose links add delay, loss,
// bandwidth limits and partitions, and silence or reset connections. One process
// serves many links; a control API changes them while they are in use.
package faultproxy

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// defaultRetransmitMS is the minimum retransmission timeout of Linux.
	defaultRetransmitMS = 200
)

// Options describe one link. Times are in milliseconds.
type Options struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Target string `json:"target"`
	// FromDomain and ToDomain are the failure domains that the link connects.
	FromDomain string `json:"from_domain"`
	ToDomain   string `json:"to_domain"`
	// DelayMS is the one-way delay, the same in both directions.
	DelayMS float64 `json:"delay_ms"`
	// JitterMS is the upper bound of an additional delay, drawn uniformly.
	JitterMS float64 `json:"jitter_ms"`
	// LossShare is the share of the chunks that arrive RetransmitMS later, as
	// if a segment had been lost.
	LossShare float64 `json:"loss_share"`
	// RetransmitMS of 0 means 200.
	RetransmitMS float64 `json:"retransmit_ms"`
	// BytesPerS limits each direction of each connection; 0 means no limit.
	BytesPerS float64 `json:"bytes_per_s"`
	// Partitioned holds all data and all new connections until it is cleared.
	Partitioned bool `json:"partitioned"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse"`
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.Name == "":
		return errors.New("name is empty")
	case o.Target == "":
		return errors.New("target is empty")
	case o.DelayMS < 0 || o.JitterMS < 0 || o.RetransmitMS < 0 || o.BytesPerS < 0:
		return errors.New("delay_ms, jitter_ms, retransmit_ms or bytes_per_s is negative")
	case o.LossShare < 0 || o.LossShare > 1:
		return errors.New("loss_share is outside 0 to 1")
	default:
		return nil
	}
}

// Link forwards the connections of one listening address to a target. It is
// safe for concurrent use.
type Link struct {
	schedule *schedule
	listener net.Listener

	mu       sync.Mutex // Guards the fields below.
	options  Options
	rand     *rand.Rand
	healed   chan struct{} // Closed when the partition ends; nil without one.
	sessions map[*session]struct{}
	accepted int
	bytes    int64
	closed   chan struct{}
}

func newLink(s *schedule, o Options, seed uint64) *Link {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.Name))

	l := &Link{
		schedule: s, rand: rand.New(rand.NewPCG(seed, h.Sum64())),
		sessions: make(map[*session]struct{}), closed: make(chan struct{}),
	}
	l.setOptions(o)

	return l
}

// setOptions replaces the options and starts or ends a partition.
func (l *Link) setOptions(o Options) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.options = o

	switch {
	case o.Partitioned && l.healed == nil:
		l.healed = make(chan struct{})
	case !o.Partitioned && l.healed != nil:
		close(l.healed)
		l.healed = nil
	}
}

func (l *Link) currentOptions() Options {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.options
}

// listen opens the address and serves it in the background.
func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.options.Listen)
	if err != nil {
		return err
	}

	l.listener = listener
	l.options.Listen = listener.Addr().String()

	go l.accept()

	return nil
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}

		go l.serve(c)
	}
}

// serve dials the target for a caller and relays until the session ends.
func (l *Link) serve(caller net.Conn) {
	accepted := time.Now()

	if !l.waitHealed(nil) || l.currentOptions().Refuse {
		_ = reset(caller)

		return
	}

	target, err := net.DialTimeout("tcp", l.currentOptions().Target, dialTimeout)
	if err != nil {
		// The caller is reset after the round trip that a refusal over the link
		// takes.
		l.schedule.sleep(accepted.Add(2*l.delay()), l.closed)
		_ = reset(caller)

		return
	}

	l.relay(caller, target, accepted)
}

// relay passes data between both ends until the session ends.
func (l *Link) relay(caller, target net.Conn, accepted time.Time) {
	s := &session{link: l, caller: caller, target: target, done: make(chan struct{})}
	// The caller's handshake with the proxy isn't delayed, so the caller's first
	// data is held for the round trip that a handshake over the link takes.
	s.toTarget = newPipe(s, caller, target, accepted.Add(2*l.delay()))
	s.toCaller = newPipe(s, target, caller, accepted)

	l.mu.Lock()
	l.sessions[s] = struct{}{}
	l.accepted++
	l.mu.Unlock()

	s.run()

	l.mu.Lock()
	delete(l.sessions, s)
	l.mu.Unlock()
}

// waitHealed waits while the link is partitioned. It reports false if the link
// or done was closed first.
func (l *Link) waitHealed(done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()

		if healed == nil {
			return true
		}

		select {
		case <-healed:
		case <-done:
			return false
		case <-l.closed:
			return false
		}
	}
}

func (l *Link) delay() time.Duration { return milliseconds(l.currentOptions().DelayMS) }

// transferTimes counts n bytes and returns their transmission time and their
// propagation delay with jitter and loss.
func (l *Link) transferTimes(n int) (transmission, propagation time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	o := &l.options
	l.bytes += int64(n)
	ms := o.DelayMS

	if o.JitterMS > 0 {
		ms += o.JitterMS * l.rand.Float64()
	}

	if o.LossShare > 0 && l.rand.Float64() < o.LossShare {
		if o.RetransmitMS == 0 {
			ms += defaultRetransmitMS
		}

		ms += o.RetransmitMS
	}

	if o.BytesPerS > 0 {
		transmission = time.Duration(float64(n) / o.BytesPerS * float64(time.Second))
	}

	return transmission, milliseconds(ms)
}

// forEachSession calls f for every open session and returns their number.
func (l *Link) forEachSession(f func(*session)) int {
	l.mu.Lock()
	open := make([]*session, 0, len(l.sessions))

	for s := range l.sessions {
		open = append(open, s)
	}
	l.mu.Unlock()

	for _, s := range open {
		f(s)
	}

	return len(open)
}

func (l *Link) close() {
	close(l.closed)

	if l.listener != nil {
		_ = l.listener.Close()
	}

	l.forEachSession((*session).reset)
}

// Status is one link in the response to GET /fake/links.
type Status struct {
	Options
	Connections int   `json:"connections"`
	Accepted    int   `json:"accepted"`
	Bytes       int64 `json:"bytes"`
}

func (l *Link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Status{l.options, len(l.sessions), l.accepted, l.bytes}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
