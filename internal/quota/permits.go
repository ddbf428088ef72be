package quota

import (
	"math"
	"slices"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// permitTime is how long after the question a permit of its answer may be used.
	permitTime = 250 * time.Millisecond
	// demandTime is the time over which an instance's demand is averaged.
	demandTime = 300 * time.Millisecond
	// minDemand is the demand, in requests a second, below which no permits are kept in
	// stock.
	minDemand = 0.5
	// A waiting request asks again after retryInterval, and counts as gone after ticketTime
	// without a question.
	retryInterval = 20 * time.Millisecond
	ticketTime    = 3 * retryInterval
	// expectedTime is how long an allocator's word on the rate to expect counts.
	expectedTime = 2 * time.Second
)

// batch is a number of permits of one answer.
type batch struct {
	giver     grantor
	challenge uint64
	permits   int
	until     time.Time
}

// permits are an instance's permits for one searcher, and its demand for them.
type permits struct {
	batches []batch // The earliest end first.
	// returned are the permits of the allocator giver, the last one that answered, that have
	// expired since the last question to it.
	giver    grantor
	returned []Returned
	// count counts the requests wanted since countedAt, and demand is their mean rate a
	// second.
	count     int
	countedAt time.Time
	demand    float64
	// expected is the rate of permits a second that the allocator expects to give this
	// instance, as of expectedAt.
	expected   float64
	expectedAt time.Time
	// queue holds the requests that wait for a permit, in their order.
	queue []ticket
}

// ticket is a request that waits for a permit. A priority of 0 is the highest.
type ticket struct {
	id       uint64
	priority uint32
	// seen is when the request asked last.
	seen time.Time
}

// stock returns the number of permits left, and drops those that have expired.
func (p *permits) stock(now time.Time) int {
	n := 0

	p.batches = slices.DeleteFunc(p.batches, func(b batch) bool {
		if now.Before(b.until) {
			n += b.permits

			return false
		}

		if b.giver == p.giver {
			p.returned = append(p.returned, Returned{b.challenge, b.permits})
		}

		return true
	})

	return n
}

// ahead returns how many waiting requests go before a claim, and drops those that are gone.
func (p *permits) ahead(now time.Time, c Claim) int {
	p.queue = slices.DeleteFunc(p.queue, func(t ticket) bool { return now.Sub(t.seen) > ticketTime })
	own := slices.IndexFunc(p.queue, func(t ticket) bool { return t.id == c.Ticket })
	n := 0

	for i, t := range p.queue {
		if t.priority < c.Priority || t.priority == c.Priority && (own < 0 || i < own) {
			n++
		}
	}

	return n
}

// expectedTurn returns when a request with n others before it may expect a permit of one of the
// searchers.
func expectedTurn(now time.Time, states []*state, n int) time.Time {
	rate := 0.0

	for _, st := range states {
		if now.Sub(st.expectedAt) > expectedTime {
			return now.Add(roundTrip)
		}

		rate += st.expected
	}

	if rate <= 0 {
		return now.Add(memory)
	}

	// The next permit comes after half of the time between two, on average.
	wait := min((float64(n)+0.5)/rate, memory.Seconds())

	return now.Add(max(time.Duration(wait*float64(time.Second)), roundTrip))
}

// want returns how many permits to ask for, so that they last until the answer after next.
func (p *permits) want(now time.Time) int {
	if elapsed := now.Sub(p.countedAt); elapsed > 0 {
		rate := float64(p.count) / elapsed.Seconds()
		p.demand += (rate - p.demand) * (1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds()))
		p.count, p.countedAt = 0, now
	}

	stock, waiting := p.stock(now), len(p.queue)
	if p.demand >= minDemand {
		waiting += int(math.Ceil(p.demand * permitTime.Seconds()))
	}

	return max(waiting-stock, 0)
}

// Claim is a request's claim for a permit.
type Claim struct {
	// Priority orders requests, 0 being the highest.
	Priority uint32
	// Ticket is that of Reserve; 0 if the request doesn't wait.
	Ticket uint64
	// Hedge says that the request is an attempt beside another one. It leaves the last permit
	// to others.
	Hedge bool
}

// Available reports whether a request may be sent to the searcher now.
func (t *Table) Available(now time.Time, sr *domain.Searcher, c Claim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.limited(now, sr)
	if st == nil {
		return true
	}

	n := st.stock(now) - st.ahead(now, c)
	if c.Hedge {
		n--
	}

	return n > 0
}

// Take uses a permit for a request that Available allowed, and returns until when it must
// be sent. A zero time means that the searcher has no limit.
func (t *Table) Take(now time.Time, sr *domain.Searcher, c Claim) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.limited(now, sr)
	if st == nil {
		return time.Time{}
	}

	st.count++
	t.leave(c.Ticket)

	if st.stock(now) == 0 {
		return now
	}

	b := &st.batches[0]
	b.permits--
	until := b.until

	if b.permits == 0 {
		st.batches = st.batches[1:]
	}

	return until
}

// Return gives back a permit of Take whose request wasn't sent.
func (t *Table) Return(now time.Time, sr *domain.Searcher, sendBy time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.limited(now, sr)
	if st == nil || !now.Before(sendBy) {
		return
	}

	for i := range st.batches {
		if b := &st.batches[i]; b.until.Equal(sendBy) {
			b.permits++

			return
		}
	}

	// The batch was used up, so that its origin isn't known; the permit can be used here only.
	st.batches = slices.Insert(st.batches, 0, batch{permits: 1, until: sendBy})
}

// Want records that a request would have gone to the searcher but for its limit.
func (t *Table) Want(now time.Time, sr *domain.Searcher) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.limited(now, sr)
	if st == nil {
		return
	}

	st.count++

	if st.count == 1 && now.Sub(t.askedAt) > AskInterval {
		t.notify(now)
	}
}

// Turn tells a request that has no permit, and no other searcher, what to do.
type Turn struct {
	// Ticket is set if the request waits, and asks again at the time At. Otherwise At is when
	// it could expect a permit.
	Ticket uint64
	At     time.Time
}

// Reserve has a request wait for a permit of one of the searchers if it may expect one until
// latest; c is its claim. If none of the searchers has a limit, the turn is zero.
func (t *Table) Reserve(now time.Time, searchers []domain.Searcher, latest time.Time, c Claim) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()

	var states []*state

	ahead := 0

	for i := range searchers {
		if st := t.limited(now, &searchers[i]); st != nil {
			states = append(states, st)
			ahead = max(ahead, st.ahead(now, c))
		}
	}

	if len(states) == 0 {
		return Turn{}
	}

	if at := expectedTurn(now, states, ahead); at.After(latest) {
		t.leave(c.Ticket)

		return Turn{At: at}
	}

	if c.Ticket == 0 {
		t.lastTicket++
		c.Ticket = t.lastTicket
	}

	for _, st := range states {
		st.wait(now, c)
	}

	t.notify(now)

	return Turn{Ticket: c.Ticket, At: now.Add(retryInterval)}
}

// wait puts a request into the queue, or keeps its place.
func (p *permits) wait(now time.Time, c Claim) {
	if i := slices.IndexFunc(p.queue, func(t ticket) bool { return t.id == c.Ticket }); i >= 0 {
		p.queue[i].seen = now

		return
	}

	p.queue = append(p.queue, ticket{c.Ticket, c.Priority, now})
}

// leave removes a request from the queues.
func (t *Table) leave(id uint64) {
	if id == 0 {
		return
	}

	for _, st := range t.states {
		st.leave(id)
	}
}

// MaySend reports whether a request may still be sent that Take let go until sendBy.
func (t *Table) MaySend(now time.Time, sr *domain.Searcher, sendBy time.Time) bool {
	if !t.Active() {
		return true
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	return t.limited(now, sr) == nil || now.Before(sendBy)
}

// Busy reports whether the instance sends requests, or wants to, to a searcher with a limit or of
// a member organisation near its cap.
func (t *Table) Busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.members.busy() {
		return true
	}

	for _, st := range t.states {
		if st.statement.Limited && (st.count > 0 || st.demand >= minDemand || len(st.queue) > 0) {
			return true
		}
	}

	return false
}
