// Package quota keeps the limits that searchers name in their answers, the requests a second
// that a searcher takes from all instances together, and the caps of member organisations.
//
// Each instance owns a share of every limit, and the shares of all instances add up to one.
// An instance lends its share to an allocator for a short time, or uses it itself if no
// allocator can be reached. An allocator hands out permits for what its backers lend it; a
// request goes to a searcher with a limit only with a permit that hasn't expired. A share is
// lent to one allocator at a time and lent again only once the last loan has run out by the
// owner's own clock, so that the sum stays within the limit whatever is lost, late, frozen,
// restarted or cut off in between.
//
// The package has no sockets. Its host moves an Ask to the allocator and the Answer back:
// Table.Ask, Table.Grant at the allocator, Table.Apply.
package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// MaxRate is the highest limit that is told apart from higher ones, in requests a second.
	MaxRate = 1e6
	// MaxSearchers bounds the searchers whose statements are kept. The one whose statement
	// is oldest is dropped first, and of these one without a limit.
	MaxSearchers = 1024
	// memory is how long a statement counts without a later one. The next answer of a
	// searcher that still has a limit names it again.
	memory = 30 * time.Second
	// AskInterval is the time between two questions of an instance that sends requests to a
	// searcher with a limit.
	AskInterval = 120 * time.Millisecond
	// minAskGap is the least time between two questions.
	minAskGap = 30 * time.Millisecond
	// roundTrip is how soon a question is expected to be answered.
	roundTrip = 15 * time.Millisecond
)

// Shares are an instance's own shares, 0 to 1, of the limits of searchers of gathered routes
// and of others.
type Shares struct {
	Gathered float64
	Direct   float64
}

func (s Shares) of(gathered bool) float64 {
	if gathered {
		return s.Gathered
	}

	return s.Direct
}

func (s Shares) atMost(o Shares) Shares {
	return Shares{Gathered: min(s.Gathered, o.Gathered), Direct: min(s.Direct, o.Direct)}
}

// ownShares are the shares of an instance, and those that replace them at a time.
type ownShares struct {
	current, next Shares
	nextAt        time.Time
	// delay is how long a share that grows isn't used yet.
	delay time.Duration
}

func (o *ownShares) set(now time.Time, s Shares, known bool) {
	if s == o.next && !known {
		return
	}

	o.current = o.at(now).atMost(s)
	o.next, o.nextAt = s, now.Add(o.delay)

	if known {
		o.nextAt = now
	}
}

// at returns the shares in force.
func (o *ownShares) at(now time.Time) Shares {
	if now.Before(o.nextAt) {
		return o.current
	}

	return o.next
}

// Table holds the limits of all searchers, the caps of member organisations and this
// instance's permits. Without New it has
// no share, so that requests never get a permit. It is safe for concurrent use.
type Table struct {
	self string
	// epoch tells this process from earlier ones of the same instance.
	epoch   uint64
	started time.Time
	// active is set while a searcher has a limit, and known while a statement is kept, so
	// that requests and answers cost nothing otherwise.
	active, known atomic.Bool
	wake          chan struct{}

	mu      sync.Mutex // Guards the fields below and the states.
	states  map[string]*state
	shares  ownShares
	loan    loan
	backers map[string]backer
	askedAt time.Time
	// lastTicket numbers the requests that wait.
	lastTicket uint64
	members    members
}

// New returns the table of an instance whose process started at the time now. epoch
// distinguishes it from earlier processes. shareDelay is how long after a change of the list
// of instances all of them know it.
func New(now time.Time, self string, epoch uint64, shareDelay time.Duration) *Table {
	return &Table{
		self: self, epoch: epoch, started: now, wake: make(chan struct{}, 1), shares: ownShares{delay: shareDelay},
		members: members{answeredAt: now, delay: shareDelay},
	}
}

// SetShares replaces the instance's own shares. Those of all instances must not add up to
// more than one once all of them know the same instances, so that a share that grows is used
// only after the delay of New. known says that the other instances count on the new shares
// already, as after a restart.
func (t *Table) SetShares(now time.Time, s Shares, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.shares.set(now, s, known)
}

// Active reports whether a searcher has a limit.
func (t *Table) Active() bool { return t.active.Load() }

// Wake receives when a question shouldn't wait for its interval.
func (t *Table) Wake() <-chan struct{} { return t.wake }

// Observe takes the statement in an answer to a request that was sent at the time sent.
func (t *Table) Observe(now time.Time, sr *domain.Searcher, s Statement, sent time.Time) Change {
	if !s.Limited && !t.known.Load() {
		return Unchanged
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	c := t.learn(now, key{sr.ID, sr.Incarnation, sr.Gathered}, s, span{sent, now}, "")
	if c != Unchanged {
		t.notify(now)
	}

	return c
}

// key names an incarnation of a searcher.
type key struct {
	searcher    string
	incarnation int64
	gathered    bool
}

// learn takes a statement about a searcher's incarnation that the instance source told, or an
// answer; the caller holds mu.
func (t *Table) learn(now time.Time, k key, s Statement, at span, source string) Change {
	st, ok := t.states[k.searcher]

	switch {
	case ok && st.incarnation > k.incarnation, now.Sub(at.until) > memory:
		return Unchanged
	case !s.Limited && (!ok || st.incarnation < k.incarnation):
		return t.forgetEarlier(now, k, ok)
	case !ok, st.incarnation < k.incarnation:
		st = &state{incarnation: k.incarnation, permits: permits{countedAt: now}}
		t.put(k.searcher, st)
	}

	st.gathered = st.gathered || k.gathered
	c := st.learn(s, at)

	if c != Unchanged {
		st.source = source
		t.prune(now)
	}

	return c
}

// forgetEarlier drops what an earlier incarnation said, if known.
func (t *Table) forgetEarlier(now time.Time, k key, known bool) Change {
	if !known {
		return Unchanged
	}

	limited := t.states[k.searcher].statement.Limited

	delete(t.states, k.searcher)
	t.prune(now)

	if limited {
		return Ended
	}

	return Unchanged
}

// put stores a state and drops another one if there are too many.
func (t *Table) put(searcher string, s *state) {
	if t.states == nil {
		t.states = make(map[string]*state)
	}

	t.states[searcher] = s

	if len(t.states) <= MaxSearchers {
		return
	}

	ids := slices.DeleteFunc(slices.Collect(maps.Keys(t.states)), func(id string) bool { return id == searcher })
	delete(t.states, slices.MinFunc(ids, func(a, b string) int {
		x, y := t.states[a], t.states[b]
		if x.statement.Limited != y.statement.Limited {
			return cmp.Compare(boolRank(x.statement.Limited), boolRank(y.statement.Limited))
		}

		return x.stated.until.Compare(y.stated.until)
	}))
}

func boolRank(b bool) int {
	if b {
		return 1
	}

	return 0
}

// prune drops statements that are too old and updates active.
func (t *Table) prune(now time.Time) {
	active := false

	for id, st := range t.states {
		if now.Sub(st.stated.until) > memory {
			delete(t.states, id)

			continue
		}

		active = active || st.statement.Limited
	}

	t.active.Store(active)
	t.known.Store(len(t.states) > 0)
}

// Retain drops the state of searchers for which keep returns false.
func (t *Table) Retain(keep func(searcher string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	maps.DeleteFunc(t.states, func(id string, _ *state) bool { return !keep(id) })
}

// limited returns the state of a searcher that has a limit, or nil; the caller holds mu.
func (t *Table) limited(now time.Time, sr *domain.Searcher) *state {
	st := t.states[sr.ID]
	if st == nil || !st.statement.Limited || st.incarnation != sr.Incarnation || now.Sub(st.stated.until) > memory {
		return nil
	}

	return st
}

// notify asks for a question before its interval, unless one was sent just now.
func (t *Table) notify(now time.Time) {
	if now.Sub(t.askedAt) >= minAskGap {
		t.Prompt()
	}
}

// Prompt asks the host for a question before its interval.
func (t *Table) Prompt() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
