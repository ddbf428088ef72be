// Package admission accepts, queues or refuses queries at the instance that receives
// them, so that an accepted query ends in time and a refused one learns so at once.
//
// A query is accepted while the searchers of the shard with the least free capacity can
// take it. Otherwise it waits for at most MaxWait in a queue that is weighted fair
// between member organisations. While queries of one member organisation wait or are
// refused, and shortly afterwards, the others are limited to their shares of the
// capacity.
package admission

import (
	"math"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// MaxWait bounds the time in the queue. A refusal is due within 5 ms, and a query
	// that would wait longer is better sent to another instance.
	MaxWait = 2500 * time.Microsecond
	// maxQueued bounds the queue of one service.
	maxQueued = 64
	// contentionWindow is how long the other member organisations are limited to their
	// shares after a query of one had to wait or was refused for lack of capacity.
	contentionWindow = 200 * time.Millisecond
)

// Capacity is what the searchers of the service can accept.
type Capacity struct {
	// Free is how many more queries the shard with the least free capacity can take.
	Free int
	// ExpectedLatency is the longest expected time to the answer of a shard.
	ExpectedLatency time.Duration
}

// Request describes a query that asks to be accepted.
type Request struct {
	Member string
	Weight uint32
	// TimeLeft is the time to the query's deadline.
	TimeLeft time.Duration
}

// Ticket tracks one query at a Gate.
type Ticket struct {
	// Ready is closed when the query is accepted.
	Ready chan struct{}

	member        *member
	virtualFinish float64
	accepted      bool
	started       bool
}

// Gate admits the queries of one service. The zero value is ready to use. It is safe
// for concurrent use.
type Gate struct {
	mu      sync.Mutex // Guards the fields below.
	members map[string]*member
	waiting []*Ticket
	// inProgress counts accepted queries; starting counts those of them that Capacity.Free
	// doesn't include yet.
	inProgress int
	starting   int
	// virtualTime is the virtual time of the weighted fair queue.
	virtualTime float64
}

type member struct {
	weight        float64
	inProgress    int
	virtualFinish float64
	// lastContention is when a query of this member organisation last had to wait or was
	// refused for lack of capacity.
	lastContention time.Time
}

// Offer accepts, queues or refuses a query. A refusal is a domain.Error with the fate
// not run. The caller waits for Ticket.Ready, and calls Withdraw if that isn't closed
// within MaxWait.
func (g *Gate) Offer(now time.Time, r Request, c Capacity) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	m := g.member(r)

	if c.ExpectedLatency > r.TimeLeft {
		return nil, refuse(c, "the expected latency of %s exceeds the %s left",
			c.ExpectedLatency.Round(time.Microsecond), r.TimeLeft.Round(time.Microsecond))
	}

	t := &Ticket{Ready: make(chan struct{}), member: m}
	if len(g.waiting) == 0 && g.hasCapacity(now, m, c) {
		g.accept(t)

		return t, nil
	}

	m.lastContention = now

	if len(g.waiting) >= maxQueued {
		return nil, refuse(c, "%d queries are waiting already", len(g.waiting))
	}

	m.virtualFinish = max(m.virtualFinish, g.virtualTime) + 1/m.weight
	t.virtualFinish = m.virtualFinish
	g.waiting = append(g.waiting, t)
	g.acceptWaiting(now, c)

	return t, nil
}

// Started records that the sub-queries of an accepted query have been sent, so that
// Capacity includes them.
func (g *Gate) Started(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !t.started {
		t.started = true
		g.starting--
	}
}

// Done ends an accepted query.
func (g *Gate) Done(t *Ticket) {
	g.Started(t)

	g.mu.Lock()
	defer g.mu.Unlock()

	g.inProgress--
	t.member.inProgress--
}

// Withdraw takes a query out of the queue and returns its refusal, or nil if
// the query has been accepted in the meantime.
func (g *Gate) Withdraw(t *Ticket, c Capacity) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	if t.accepted {
		return nil
	}

	for i, w := range g.waiting {
		if w == t {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)

			break
		}
	}

	return refuse(c, "no capacity became free within %s", MaxWait)
}

// AcceptWaiting accepts the waiting queries that the capacity allows.
func (g *Gate) AcceptWaiting(now time.Time, c Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.acceptWaiting(now, c)
}

// Waiting returns the length of the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.waiting)
}

func (g *Gate) acceptWaiting(now time.Time, c Capacity) {
	for {
		next := -1

		for i, t := range g.waiting {
			if g.hasCapacity(now, t.member, c) && (next < 0 || t.virtualFinish < g.waiting[next].virtualFinish) {
				next = i
			}
		}

		if next < 0 {
			return
		}

		t := g.waiting[next]
		g.waiting = append(g.waiting[:next], g.waiting[next+1:]...)
		g.virtualTime = max(g.virtualTime, t.virtualFinish-1/t.member.weight)
		g.accept(t)
	}
}

// hasCapacity reports whether a query of m can be accepted. A service without queries
// in progress always accepts one, so that its concurrency limits can recover.
func (g *Gate) hasCapacity(now time.Time, m *member, c Capacity) bool {
	if g.inProgress == 0 {
		return true
	}

	free := c.Free - g.starting

	return free > 0 && m.inProgress < g.maxInProgress(now, m, g.inProgress+free)
}

// maxInProgress returns how many of total queries in progress m may have: all of
// them, unless queries of other member organisations lacked capacity within
// contentionWindow.
func (g *Gate) maxInProgress(now time.Time, m *member, total int) int {
	weights := m.weight

	for _, o := range g.members {
		if o != m && now.Sub(o.lastContention) < contentionWindow {
			weights += o.weight
		}
	}

	return max(int(math.Ceil(float64(total)*m.weight/weights)), 1)
}

func (g *Gate) accept(t *Ticket) {
	t.accepted = true
	t.member.inProgress++
	g.inProgress++
	g.starting++
	close(t.Ready)
}

func (g *Gate) member(r Request) *member {
	m, ok := g.members[r.Member]
	if !ok {
		if g.members == nil {
			g.members = make(map[string]*member)
		}

		m = &member{}
		g.members[r.Member] = m
	}

	m.weight = float64(max(r.Weight, 1))

	return m
}

func refuse(c Capacity, format string, args ...any) error {
	e := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "admit", format, args...)
	e.RetryAfter = max(c.ExpectedLatency, MaxWait)

	return e
}
