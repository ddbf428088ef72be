// Package admission accepts, queues or refuses queries at the entry, so that an
// accepted query ends in time and a refused one learns so at once.
//
// A query is accepted while the limits of the worst shard's searchers leave
// room. Otherwise it waits for at most MaxWait in a queue that is fair between
// member organisations by weight. A member organisation that others had to
// yield to a moment ago is held to its share.
package admission

import (
	"math"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// MaxWait bounds the time in the queue. A refusal is due within 5 ms, and a
	// query that would wait longer is better off at another instance.
	MaxWait = 2500 * time.Microsecond
	// maxQueued bounds the queue of one service.
	maxQueued = 64
	// contentionWindow is how long a refusal holds the other member organisations to
	// their shares.
	contentionWindow = 200 * time.Millisecond
)

// Capacity is what the searchers of the service can take.
type Capacity struct {
	// Free is how many more queries the worst shard has room for.
	Free int
	// ExpectedLatency is the expected time to the answer of the worst shard.
	ExpectedLatency time.Duration
}

// Request is a query that asks to be accepted.
type Request struct {
	Member string
	Weight uint32
	// TimeLeft is the time to the query's deadline.
	TimeLeft time.Duration
}

// Ticket is the place of one query at a Gate.
type Ticket struct {
	// Ready is closed when the query is accepted.
	Ready chan struct{}

	member        *member
	virtualFinish float64
	accepted      bool
	started       bool
}

// Gate decides for one service. The zero value is ready to use. It is safe for
// concurrent use.
type Gate struct {
	mu      sync.Mutex // Guards what follows.
	members map[string]*member
	waiting []*Ticket
	// running counts accepted queries; starting counts those of them that
	// don't show in Capacity.Free yet.
	running  int
	starting int
	// virtualTime is the virtual time of the fair queue.
	virtualTime float64
}

type member struct {
	weight        float64
	running       int
	virtualFinish float64
	// lastDenied is when a query of this member organisation last had to wait
	// or was refused.
	lastDenied time.Time
}

// Offer accepts, queues or refuses a query. A refusal is a domain.Error with
// the fate not run. A query that isn't accepted yet waits for Ticket.Ready, at
// most MaxWait, and then calls Withdraw.
func (g *Gate) Offer(now time.Time, r Request, c Capacity) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	m := g.member(r)

	if c.ExpectedLatency > r.TimeLeft {
		return nil, refuse(c, "the expected time of %s is longer than the %s left",
			c.ExpectedLatency.Round(time.Microsecond), r.TimeLeft.Round(time.Microsecond))
	}

	t := &Ticket{Ready: make(chan struct{}), member: m}
	if len(g.waiting) == 0 && g.hasCapacity(now, m, c) {
		g.accept(t)

		return t, nil
	}

	m.lastDenied = now

	if len(g.waiting) >= maxQueued {
		return nil, refuse(c, "%d queries are waiting already", len(g.waiting))
	}

	m.virtualFinish = max(m.virtualFinish, g.virtualTime) + 1/m.weight
	t.virtualFinish = m.virtualFinish
	g.waiting = append(g.waiting, t)
	g.acceptWaiting(now, c)

	return t, nil
}

// Started says that the sub-queries of an accepted query have been sent.
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

	g.running--
	t.member.running--
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

// AcceptWaiting accepts waiting queries that there is room for now.
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

// hasCapacity reports whether a query of m can be accepted. A service without any
// query at work accepts one in any case, so that its limits can recover.
func (g *Gate) hasCapacity(now time.Time, m *member, c Capacity) bool {
	if g.running == 0 {
		return true
	}

	free := c.Free - g.starting

	return free > 0 && m.running < g.maxRunning(now, m, g.running+free)
}

// maxRunning returns how many of total places m may take: all of them, unless other
// member organisations were refused a moment ago.
func (g *Gate) maxRunning(now time.Time, m *member, total int) int {
	weights := m.weight

	for _, o := range g.members {
		if o != m && now.Sub(o.lastDenied) < contentionWindow {
			weights += o.weight
		}
	}

	return max(int(math.Ceil(float64(total)*m.weight/weights)), 1)
}

func (g *Gate) accept(t *Ticket) {
	t.accepted = true
	t.member.running++
	g.running++
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
