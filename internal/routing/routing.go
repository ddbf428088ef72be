// Package routing chooses the searcher for a sub-query. A Table keeps the state
// of each searcher: this instance's outstanding requests, the load that the
// searcher reported in its answers, latencies, failures, and health signals
// (status endpoints, the platform's list).
package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quota"
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Answered means that the searcher answered in full.
	Answered Outcome = iota
	// Shed means that the searcher refused the request because of its load.
	Shed
	// Unreachable means that no request could be sent, or the connection broke.
	Unreachable
	// Cancelled means that this instance cancelled the attempt.
	Cancelled
	// Draining means that the searcher refused the request because it is draining.
	Draining
	// Refused means that the searcher refused the request for another reason.
	Refused
)

// Load is the load that a searcher reports in an answer or its status.
type Load struct {
	// Running and Queued count the requests of all instances at the searcher.
	Running  uint32
	Queued   uint32
	Draining bool
	// Cold says that the searcher needs a slow start.
	Cold bool
	// Service is the time that the request took without the queue; zero if it
	// wasn't reported.
	Service time.Duration
	// Pace is how many times as long as usual work takes on the searcher's machine at the
	// moment; zero if it wasn't reported.
	Pace float64
}

// Request asks for a searcher of one shard.
type Request struct {
	Shard *domain.Shard
	// Avoid lists the searchers already tried, in order; they are chosen only
	// when no other is left, and the last one last.
	Avoid []string
	// Eligible reports whether a searcher can answer from the pinned snapshot;
	// nil allows all.
	Eligible func(searcher string) bool
	// LocalDomain is the failure domain of this instance.
	LocalDomain string
	// RemotePenalty is added to the expected time of searchers in other failure
	// domains, as the cost of traffic between failure domains. It counts only once
	// a service time of Class has been observed.
	RemotePenalty time.Duration
	// Hedge marks a hedge, which may exceed a searcher's limit by hedgeOverLimit
	// only and is never a probe.
	Hedge bool
	// NoProbe keeps the request from probing an ejected searcher as long as
	// another searcher can take it.
	NoProbe bool
	// ExcludeLast excludes the last entry of Avoid, which must not be empty then.
	ExcludeLast bool
	// MaxExpected is the longest acceptable expected time; zero sets no bound.
	MaxExpected time.Duration
	// Class names the kind of request; service times are averaged per class.
	Class string
	// WaitUntil is until when the request can wait for a permit if its only searchers have
	// limits; zero if it can't. Ticket is Choice.Turn's if it has waited.
	WaitUntil time.Time
	Ticket    uint64
	// Priority orders requests that wait for permits, 0 being the highest.
	Priority uint32
	// heedQuota leaves out searchers that there is no permit for.
	heedQuota bool
}

// claim returns the request's claim for a permit.
func (r *Request) claim() quota.Claim {
	return quota.Claim{Priority: r.Priority, Ticket: r.Ticket, Hedge: r.Hedge}
}

// Choice is the chosen searcher with the expected time to its answer. If no
// searcher can be used, Refusal says why.
type Choice struct {
	Searcher *domain.Searcher
	Expected time.Duration
	// Service is the part of Expected that the searcher spends on the request;
	// the rest is network time and queue.
	Service time.Duration
	// WillQueue says that more requests than the searcher's slots are expected
	// ahead of this one.
	WillQueue bool
	// Probe says that the searcher is ejected and that this request tests whether
	// it answers again.
	Probe bool
	// Guessed says that no service time of the class has been observed yet.
	Guessed bool
	// Typical is the mean service time of the class over all searchers; zero if Guessed.
	Typical time.Duration
	// SendBy is until when the request must be sent, if the searcher has a limit.
	SendBy time.Time
	// Turn tells a request that is refused as rate limited what to do.
	Turn    quota.Turn
	Refusal domain.Code
}

// Quota gives permits for searchers that have named a limit.
type Quota interface {
	// Active reports whether any searcher has a limit.
	Active() bool
	// Available reports whether there is a permit for a request to the searcher, if it needs
	// one. Take uses it and returns until when the request must be sent; a zero time if the
	// searcher has no limit.
	Available(now time.Time, sr *domain.Searcher, c quota.Claim) bool
	Take(now time.Time, sr *domain.Searcher, c quota.Claim) time.Time
	// Return gives back a permit that wasn't used.
	Return(now time.Time, sr *domain.Searcher, sendBy time.Time)
	// Want records that a request would have gone to the searcher with a permit.
	Want(now time.Time, sr *domain.Searcher)
	// Limit returns the searcher's limit, if it has one.
	Limit(now time.Time, sr *domain.Searcher) (quota.Limit, bool)
	// Reserve has a request that can go nowhere else wait for a permit of one of the
	// searchers, if it may expect one until latest.
	Reserve(now time.Time, searchers []domain.Searcher, latest time.Time, c quota.Claim) quota.Turn
}

// Table holds the state of the searchers. It is safe for concurrent use; its zero
// value is empty and ready to use.
type Table struct {
	// Random breaks ties and samples large shards; nil selects round robin. It is
	// called under the table's lock and must be set before first use.
	Random func() uint64
	// MaxReportAge is the age at which a reported load has lost all its weight;
	// zero stands for defaultMaxReportAge. It must be set before first use.
	MaxReportAge time.Duration
	// Quota gives permits; nil stands for searchers without limits. It is called under the
	// table's lock and must be set before first use.
	Quota Quota

	mu        sync.Mutex // Guards the fields below and the states.
	turn      uint64
	searchers map[string]*state
	// classTimes is the mean service time of each class over all searchers.
	classTimes map[string]*classTime
	services   map[string][]string
	// lastPauseEnd is the latest end of all pauses.
	lastPauseEnd time.Time
}

const (
	// scanLimit is the largest number of searchers that are all compared; in a
	// larger shard, sampleSize are drawn at random. Comparing a few costs less
	// than drawing.
	scanLimit  = 8
	sampleSize = 2
	// maxWaitFactor is the longest queueing time, in service times, of a searcher
	// for which new queries are still admitted. A longer queue adds to every
	// latency and nothing to the throughput.
	maxWaitFactor = 2.5
	// hedgeOverLimit is by how many requests hedges may exceed a searcher's limit.
	// Without it, a straggler that occupies a limit of 1 blocks its own hedge.
	hedgeOverLimit = 1
	// maxSampled is how many random draws may look for usable searchers before a
	// full scan.
	maxSampled = 8
)

// Penalties rank the candidates: a lower sum is better, and totalCost decides
// between equal sums. Each penalty outweighs the sum of those before it.
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
	// cost is the expected time to the answer, and service the service time in it.
	cost    time.Duration
	service time.Duration
	// totalCost is cost with the expected number of repeats: a searcher that fails
	// a share of its requests despite a good health check costs several attempts.
	totalCost time.Duration
	penalty   int
	willQueue bool
	probe     bool
	// limited says that the searcher may have a limit.
	limited bool
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

// Choose picks the searcher with the least expected time and counts a request
// as outstanding there until Release. It reports false if no searcher can be used.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	best, refusal := t.pickAllowed(now, &r)
	if best.searcher == nil && r.NoProbe {
		r.NoProbe = false
		best, refusal = t.pickAllowed(now, &r)
	}

	if best.searcher == nil {
		c := Choice{Refusal: refusal}
		if refusal == domain.CodeRateLimited && !r.Hedge {
			c.Turn = t.Quota.Reserve(now, r.Shard.Searchers, r.WaitUntil, r.claim())
		}

		return c, false
	}

	best.state.dispatch(now, best.searcher.Slots, best.probe)

	c := best.choice()
	if best.limited {
		c.SendBy = t.Quota.Take(now, best.searcher, r.claim())
	}

	if mean := t.classTimes[r.Class]; mean != nil {
		c.Typical = mean.service
	} else {
		c.Guessed = r.Class != ""
	}

	return c, true
}

// pickAllowed picks the best searcher that there is a permit for, if it needs one. If
// another one would have been better with a permit, it records that.
func (t *Table) pickAllowed(now time.Time, r *Request) (candidate, domain.Code) {
	r.heedQuota = false
	best, refusal := t.pick(now, r)

	if best.searcher == nil || t.Quota == nil || !t.Quota.Active() {
		return best, refusal
	}

	best.limited = true
	if t.Quota.Available(now, best.searcher, r.claim()) {
		return best, ""
	}

	if !r.Hedge {
		t.Quota.Want(now, best.searcher)
	}

	r.heedQuota = true
	best, refusal = t.pick(now, r)
	best.limited = best.searcher != nil

	return best, refusal
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

// scan compares all searchers. It starts at a random one, so that equal
// candidates share the load.
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
// modifies no state.
func (t *Table) evaluate(now time.Time, r *Request, sr *domain.Searcher, st *state) (candidate, domain.Code) {
	switch {
	case r.ExcludeLast && r.Avoid[len(r.Avoid)-1] == sr.ID:
		// The least transient code, so that the refusal tells about the other searchers.
		return candidate{}, domain.CodeNoLiveSearcher
	case sr.Draining || st.isDraining():
		return candidate{}, domain.CodeSearcherDraining
	case st.paused(now, sr):
		return candidate{}, domain.CodeOverloaded
	case r.Eligible != nil && !r.Eligible(sr.ID):
		return candidate{}, domain.CodeSnapshotGone
	case r.heedQuota && !t.Quota.Available(now, sr, r.claim()):
		return candidate{}, domain.CodeRateLimited
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
// the service time in it.
func (t *Table) expected(now time.Time, r *Request, sr *domain.Searcher, st *state) (cost, service time.Duration) {
	mean := t.classTimes[r.Class]
	if r.Class == "" || mean == nil {
		return st.expected(now, sr, r.LocalDomain), st.service
	}

	// An instance that shares its searchers with many others gets too few answers
	// from each to try out those without samples; the mean over all searchers
	// stands in for them.
	service = mean.service
	if own := st.classes[r.Class]; own != nil {
		service = own.service

		if now.Sub(st.respondedAt) > staleAfter && service > mean.service {
			service = (service + mean.service) / 2
		}
	}

	service = st.paced(now, service)

	if now.Before(st.slowUntil) {
		service = max(service, st.slowService)
	}

	return st.crossDomainCost(sr, r) + service + st.wait(now, float64(max(sr.Slots, 1))), service
}

// moreTransient returns whichever of two reasons why a shard has no usable
// searcher is likely to pass sooner.
func moreTransient(a, b domain.Code) domain.Code {
	rank := func(c domain.Code) int {
		switch c {
		case domain.CodeRateLimited:
			return 5
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

// Release records the outcome of a request that Choose counted as outstanding.
// latency is the time from send to end; load is nil unless the searcher answered.
func (t *Table) Release(now time.Time, searcher string, outcome Outcome, latency time.Duration, load *Load) {
	t.ReleaseClass(now, searcher, "", outcome, latency, load)
}

// ReleaseClass is Release for a request of a class.
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

	t.classTimes[class].add(st.classes[class].last, overallSamples)
}

// Discard undoes a choice of Choose whose request wasn't sent.
func (t *Table) Discard(now time.Time, sr *domain.Searcher, sendBy time.Time) {
	t.Release(now, sr.ID, Cancelled, 0, nil)

	if t.Quota != nil && !sendBy.IsZero() {
		t.Quota.Return(now, sr, sendBy)
	}
}

// Report records the load that a searcher reported with a refusal.
func (t *Table) Report(now time.Time, searcher string, load *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.state(searcher).report(now, load)
}

// ServiceLoad is the load of a service's searchers as seen by this instance.
type ServiceLoad struct {
	// Free is how many more sub-queries the limits of the most loaded usable shard
	// allow.
	Free int
	// Wait is the expected time to the answer of the slowest usable shard.
	Wait time.Duration
	// Saturation is the mean share of the slots that the searchers reported as
	// taken, 0 to 1.
	Saturation float64
	// Degraded says that at least one searcher is ejected.
	Degraded bool
	// LostShards is how many shards have no usable searcher.
	LostShards int
}

// ServiceLoad aggregates the load of those searchers of a service that eligible
// allows.
func (t *Table) ServiceLoad(now time.Time, s *domain.Service, localDomain string, eligible func(shard uint32, searcher string) bool,
) ServiceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()

	var (
		load  ServiceLoad
		total shardLoad
	)

	for i := range s.PartitionMap.Shards {
		shard := t.shardLoad(now, &s.PartitionMap.Shards[i], localDomain, eligible)
		load.Degraded = load.Degraded || shard.degraded

		if shard.usable == 0 {
			load.LostShards++

			continue
		}

		if total.usable == 0 || shard.free < load.Free {
			load.Free = shard.free
		}

		load.Wait = max(load.Wait, shard.wait)
		total.usable += shard.usable
		total.busy += shard.busy
		total.slots += shard.slots
	}

	if total.slots > 0 {
		load.Saturation = total.busy / total.slots
	}

	return load
}

// shardLoad aggregates the load of the searchers of one shard.
type shardLoad struct {
	// free is how many more requests the limits of the usable searchers allow; a
	// searcher whose queueing time exceeds maxWaitFactor allows none.
	free   int
	usable int
	// wait is the least expected time to an answer.
	wait        time.Duration
	busy, slots float64
	degraded    bool
}

func (t *Table) shardLoad(now time.Time, sh *domain.Shard, localDomain string, eligible func(shard uint32, searcher string) bool,
) shardLoad {
	var load shardLoad

	for j := range sh.Searchers {
		sr := &sh.Searchers[j]
		st := t.state(sr.ID)
		load.degraded = load.degraded || st.failures > 0

		if sr.Draining || st.isDraining() || st.paused(now, sr) || st.failures >= maxFailures || !eligible(sh.Number, sr.ID) {
			continue
		}

		if float64(st.wait(now, float64(sr.Slots))) <= maxWaitFactor*float64(st.service) {
			load.free += max(st.limit.Allowed(sr.Slots)-st.outstanding, 0)
		}

		if w := st.expected(now, sr, localDomain); load.usable == 0 || w < load.wait {
			load.wait = w
		}

		load.busy += min(st.busy, float64(sr.Slots))
		load.slots += float64(sr.Slots)
		load.usable++
	}

	return load
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
