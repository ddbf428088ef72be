// Package routing chooses the searcher that gets a sub-query. A Table keeps
// what the instance knows of each searcher: its own outstanding requests, the
// load that the searcher reported in its answers, latencies, failures, and
// indirect signs (status endpoints, the platform's list).
package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

// Outcome is how an attempt ended, as far as routing is concerned.
type Outcome uint8

const (
	// Answered means that the searcher answered in full.
	Answered Outcome = iota
	// Shed means that the searcher refused the request for its load.
	Shed
	// Unreachable means that no request could be sent, or the connection broke.
	Unreachable
	// Cancelled means that this instance gave the attempt up.
	Cancelled
	// Draining means that the searcher refused the request because it leaves.
	Draining
	// Refused means that the searcher refused the request for another reason.
	Refused
)

// Load is what a searcher reports of its load, in an answer or its status.
type Load struct {
	Running  uint32
	Queued   uint32
	Draining bool
	Cold     bool
	// Service is the time that the request was served, without the queue; zero
	// if the searcher doesn't say.
	Service time.Duration
}

// Request asks for a searcher of one shard.
type Request struct {
	Shard *domain.Shard
	// Avoid lists searchers that were tried already; they are chosen only when
	// no other is left. The last entry is avoided most.
	Avoid []string
	// Eligible reports whether a searcher can answer from the pinned snapshot.
	Eligible func(searcher string) bool
	// LocalDomain is the failure domain of this instance.
	LocalDomain string
	// RemotePenalty is added to the expected time of searchers elsewhere, as the price
	// of the bytes between failure domains.
	RemotePenalty time.Duration
	// Hedge marks a hedge, which hardly exceeds a searcher's limit.
	Hedge bool
	// NoProbe keeps the request from finding out whether a searcher that is believed
	// dead lives again, as long as another one can take it.
	NoProbe bool
	// ExcludeLast excludes the last entry of Avoid.
	ExcludeLast bool
	// MaxExpected is the longest useful expected time; zero sets no bound.
	MaxExpected time.Duration
	// Class names the kind of request; service times are learned for each.
	Class string
}

// Choice is the searcher chosen, with the expected time to its answer. When no
// searcher can be used, Refusal says why.
type Choice struct {
	Searcher *domain.Searcher
	Expected time.Duration
	// Service is the part of Expected that the searcher works on the request;
	// the rest is distance and queue.
	Service time.Duration
	// WillQueue says that the request is expected to wait in a standing queue.
	WillQueue bool
	// Probe says that the searcher is believed dead, and that this request
	// finds out whether it still is.
	Probe bool
	// Guessed says that nothing is known yet of the service times of the class.
	Guessed bool
	Refusal domain.Code
}

// Table is safe for concurrent use; its zero value is empty and ready to use.
type Table struct {
	// Random breaks ties; nil takes turns. It is called under the table's lock
	// and must be set before first use.
	Random func() uint64
	// MaxReportAge is the age at which a reported queue has lost all its weight;
	// zero stands for defaultMaxReportAge. It must be set before first use.
	MaxReportAge time.Duration

	mu        sync.Mutex // Guards what follows and the states.
	turn      uint64
	searchers map[string]*state
	// classTimes is the mean service time of each class over all searchers.
	classTimes map[string]*classTime
	services   map[string][]string
}

const (
	// scanLimit is the largest shard whose searchers are all compared; of a
	// larger one, two are drawn. Comparing few costs less than drawing them.
	scanLimit  = 8
	sampleSize = 2
	// maxWaitFactor is how many service times the queue of a searcher may be long
	// before no new query is let in for it. A longer queue adds to every
	// latency and nothing to the throughput.
	maxWaitFactor = 2.5
	// hedgeOverLimit is how far hedges may exceed a searcher's limit.
	// Without it, a straggler that takes up a limit of 1 blocks its own hedge.
	hedgeOverLimit = 1
	// maxSampled bounds the search for usable searchers before a full scan.
	maxSampled = 8
)

// Penalties order the candidates: a lower sum is better, and the expected time
// decides between equal sums.
const (
	penaltyLimit      = 1
	penaltyUnhealthy  = 2
	penaltyTried      = 4
	penaltyLastTried  = 8
	penaltyLastResort = 16
)

// candidate is a searcher that can be used.
type candidate struct {
	searcher *domain.Searcher
	state    *state
	cost     time.Duration
	service  time.Duration
	// totalCost is the cost with that of repeating attempts which fail: a searcher that
	// fails a part of its requests, though its health check is good, costs as many
	// times as long.
	totalCost time.Duration
	penalty   int
	willQueue bool
	probe     bool
}

func (c candidate) better(o candidate) bool {
	if o.searcher == nil || c.penalty != o.penalty {
		return o.searcher == nil || c.penalty < o.penalty
	}

	return c.totalCost < o.totalCost
}

func (c candidate) choice() Choice {
	return Choice{Searcher: c.searcher, Expected: c.cost, Service: c.service, WillQueue: c.willQueue, Probe: c.probe}
}

// Choose picks the searcher with the least expected time, and reserves a place
// on it until Release. It reports false if no searcher can be used.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	best, refusal := t.pick(now, &r)
	if best.searcher == nil && r.NoProbe {
		r.NoProbe = false
		best, refusal = t.pick(now, &r)
	}

	if best.searcher == nil {
		return Choice{Refusal: refusal}, false
	}

	best.state.dispatch(now, best.searcher.Slots, best.probe)

	c := best.choice()
	c.Guessed = r.Class != "" && t.classTimes[r.Class] == nil

	return c, true
}

func (t *Table) pick(now time.Time, r *Request) (candidate, domain.Code) {
	n := len(r.Shard.Searchers)
	if n <= scanLimit || len(r.Avoid) > 0 {
		return t.scan(now, r)
	}

	var best candidate

	for i, found := 0, 0; i < maxSampled && found < sampleSize; i++ {
		sr := &r.Shard.Searchers[t.random()%uint64(n)]

		c, _ := t.evaluate(now, r, sr, t.state(sr.ID))
		if c.searcher == nil || c.penalty >= penaltyLastResort {
			continue
		}

		found++

		if c.probe || c.better(best) {
			best = c
		}
	}

	if best.searcher == nil {
		return t.scan(now, r)
	}

	return best, ""
}

// scan starts at a random searcher, so that equal ones take turns.
func (t *Table) scan(now time.Time, r *Request) (candidate, domain.Code) {
	var best candidate

	refusal := domain.CodeNoLiveSearcher
	n := len(r.Shard.Searchers)
	if n == 0 {
		return best, refusal
	}

	start := int(t.random() % uint64(n))

	for i := range n {
		sr := &r.Shard.Searchers[(start+i)%n]
		c, code := t.evaluate(now, r, sr, t.state(sr.ID))

		switch {
		case c.searcher == nil:
			refusal = moreTransient(refusal, code)
		case c.probe:
			return c, ""
		case c.better(best):
			best = c
		}
	}

	return best, refusal
}

// evaluate returns the searcher as a candidate, or why it can't be one. It
// changes nothing.
func (t *Table) evaluate(now time.Time, r *Request, sr *domain.Searcher, st *state) (candidate, domain.Code) {
	switch {
	case r.ExcludeLast && r.Avoid[len(r.Avoid)-1] == sr.ID:
		return candidate{}, domain.CodeOverloaded
	case sr.Draining || st.isDraining():
		return candidate{}, domain.CodeSearcherDraining
	case r.Eligible != nil && !r.Eligible(sr.ID):
		return candidate{}, domain.CodeSnapshotGone
	}

	c := candidate{searcher: sr, state: st}
	c.cost, c.service = t.expected(now, r, sr, st)

	if st.failures > 0 {
		switch {
		case st.probeDue(now) && !r.Hedge && !r.NoProbe:
			c.probe = true

			return c, ""
		case st.failures >= maxFailures:
			return candidate{}, domain.CodeNoLiveSearcher
		}

		c.penalty += penaltyLastResort
	}

	if r.MaxExpected > 0 && c.cost > r.MaxExpected {
		return candidate{}, domain.CodeDeadline
	}

	c.totalCost = time.Duration(float64(c.cost) / (1 - min(st.failureRate.At(now, failureDecay), maxFailureRate)))
	c.willQueue = st.queueLength(now) > float64(sr.Slots)

	if over := st.outstanding - st.limit.Allowed(sr.Slots); over >= 0 {
		if r.Hedge && over >= hedgeOverLimit {
			return candidate{}, domain.CodeOverloaded
		}

		c.penalty += penaltyLimit
	}

	if (st.unhealthy && !st.ignoreHealth) || now.Before(st.shedUntil) {
		c.penalty += penaltyUnhealthy
	}

	if i := slices.Index(r.Avoid, sr.ID); i >= 0 {
		c.penalty += penaltyTried

		if r.Avoid[len(r.Avoid)-1] == sr.ID {
			c.penalty += penaltyLastTried
		}
	}

	return c, ""
}

// expected returns the expected time to the answer of a request sent now, and
// the part of it that the searcher works.
func (t *Table) expected(now time.Time, r *Request, sr *domain.Searcher, st *state) (cost, service time.Duration) {
	usual := t.classTimes[r.Class]
	if r.Class == "" || usual == nil {
		return st.expected(now, sr, r.LocalDomain), st.service
	}

	// An instance that shares its searchers with many others hears from each
	// too rarely to try out those that it doesn't know; what is usual stands for
	// them.
	service = usual.service
	if own := st.classes[r.Class]; own != nil {
		service = own.service

		if now.Sub(st.respondedAt) > staleAfter && service > usual.service {
			service = (service + usual.service) / 2
		}
	}

	if now.Before(st.slowUntil) {
		service = max(service, st.slowService)
	}

	return st.crossDomainCost(sr, r) + service + st.wait(now, float64(max(sr.Slots, 1))), service
}

// moreTransient returns the code that says more about why a shard has no usable
// searcher: one that may pass soon over one that lasts.
func moreTransient(a, b domain.Code) domain.Code {
	rank := func(c domain.Code) int {
		switch c {
		case domain.CodeOverloaded:
			return 4
		case domain.CodeDeadline:
			return 3
		case domain.CodeSnapshotGone:
			return 2
		case domain.CodeSearcherDraining:
			return 1
		default:
			return 0
		}
	}

	if rank(b) > rank(a) {
		return b
	}

	return a
}

// Release ends the reservation that Choose made. latency is the time from send
// to end; load is nil unless the searcher answered.
func (t *Table) Release(now time.Time, searcher string, outcome Outcome, latency time.Duration, load *Load) {
	t.ReleaseClass(now, searcher, "", outcome, latency, load)
}

// ReleaseClass is Release for a request of the class.
func (t *Table) ReleaseClass(now time.Time, searcher, class string, outcome Outcome, latency time.Duration, load *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	st := t.state(searcher)
	st.release(now, class, outcome, latency, load)

	if class == "" || outcome != Answered {
		return
	}

	if t.classTimes == nil {
		t.classTimes = make(map[string]*classTime)
	}

	if t.classTimes[class] == nil {
		t.classTimes[class] = &classTime{}
	}

	t.classTimes[class].add(st.classes[class].last, overallWeight)
}

// Report takes the load that a searcher reported with a refusal.
func (t *Table) Report(now time.Time, searcher string, load *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.state(searcher).report(now, load)
}

// ServiceLoad is how loaded the searchers of a service are, as far as this
// instance knows.
type ServiceLoad struct {
	// Free is how many more sub-queries the worst live shard's limits allow.
	Free int
	// Wait is the expected time to the answer of the worst live shard.
	Wait time.Duration
	// Saturation is the share of the slots that the searchers lately reported
	// as taken, 0 to 1.
	Saturation float64
	// Degraded says that a searcher is believed dead.
	Degraded bool
	// LostShards is how many shards have no usable searcher.
	LostShards int
}

// ServiceLoad sums up the searchers of a service that eligible allows.
func (t *Table) ServiceLoad(now time.Time, s *domain.Service, nearby string, eligible func(shard uint32, searcher string) bool,
) ServiceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()

	var (
		p     ServiceLoad
		total shardLoad
	)

	for i := range s.PartitionMap.Shards {
		sp := t.shardLoad(now, &s.PartitionMap.Shards[i], nearby, eligible)
		p.Degraded = p.Degraded || sp.degraded

		if sp.usable == 0 {
			p.LostShards++

			continue
		}

		if total.usable == 0 || sp.free < p.Free {
			p.Free = sp.free
		}

		p.Wait = max(p.Wait, sp.wait)
		total.usable += sp.usable
		total.busy += sp.busy
		total.slots += sp.slots
	}

	if total.slots > 0 {
		p.Saturation = total.busy / total.slots
	}

	return p
}

// shardLoad sums up the searchers of one shard.
type shardLoad struct {
	// free is the room that the limits of the usable searchers leave; one whose
	// queue stands too long has none.
	free   int
	usable int
	// wait is the least expected time to an answer.
	wait        time.Duration
	busy, slots float64
	degraded    bool
}

func (t *Table) shardLoad(now time.Time, sh *domain.Shard, nearby string, eligible func(shard uint32, searcher string) bool,
) shardLoad {
	var p shardLoad

	for j := range sh.Searchers {
		sr := &sh.Searchers[j]
		st := t.state(sr.ID)
		p.degraded = p.degraded || st.failures > 0

		if sr.Draining || st.isDraining() || st.failures >= maxFailures || !eligible(sh.Number, sr.ID) {
			continue
		}

		if float64(st.wait(now, float64(sr.Slots))) <= maxWaitFactor*float64(st.service) {
			p.free += max(st.limit.Allowed(sr.Slots)-st.outstanding, 0)
		}

		if w := st.expected(now, sr, nearby); p.usable == 0 || w < p.wait {
			p.wait = w
		}

		p.busy += min(st.busy, float64(sr.Slots))
		p.slots += float64(sr.Slots)
		p.usable++
	}

	return p
}

func (t *Table) state(searcher string) *state {
	st, ok := t.searchers[searcher]
	if !ok {
		if t.searchers == nil {
			t.searchers = make(map[string]*state)
		}

		st = newState(cmp.Or(t.MaxReportAge, defaultMaxReportAge))
		t.searchers[searcher] = st
	}

	return st
}

func (t *Table) random() uint64 {
	if t.Random != nil {
		return t.Random()
	}

	t.turn++

	return t.turn
}
