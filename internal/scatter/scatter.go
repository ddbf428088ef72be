// Package scatter implements the state machine of one query that is sent to all shards
// of a service. Its inputs are events (an answer, a failure, a timer), its outputs are
// steps (attempts to send and to cancel, the end of the query, the next wake-up time).
// It does no I/O and starts no goroutines, so that tests can replay a query.
//
// The code that drives the query calls exactly one of Answered, Failed, FailedWithSearcher
// and FailedPermanently for every attempt that a step sends, unless a later step cancels
// the attempt. Either way its reservation at the Router is released once. No step cancels
// an attempt that hasn't been sent by it or by one before, and every step has to be
// carried out whole.
package scatter

import (
	"cmp"
	"time"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/routing"
)

// Router chooses searchers and records the outcomes of attempts.
type Router interface {
	Choose(now time.Time, r routing.Request) (routing.Choice, bool)
	// Discard undoes a choice whose attempt isn't sent, with the attempt's SendBy.
	Discard(now time.Time, sr *domain.Searcher, sendBy time.Time)
	Release(now time.Time, searcher string, outcome routing.Outcome, latency time.Duration, load *routing.Load)
}

// Hedger decides when hedges are due. Each method takes the latency that the Router
// expected of the attempt.
type Hedger interface {
	Delay(e hedging.Estimate, first bool) time.Duration
	Remaining(e hedging.Estimate, elapsed time.Duration) time.Duration
	Observe(e hedging.Estimate, latency time.Duration)
	ObserveCensored(e hedging.Estimate, elapsed time.Duration)
}

// Budget limits the retries and hedges of each shard.
type Budget interface {
	Fill(n int, permille uint32)
	Take(shard uint32, k budget.Kind) bool
	Return(shard uint32)
	// Move counts an attempt that was taken at one time at a later one.
	Move(shard uint32, from, to time.Time)
	// Level returns the unspent part of the budget, 0 to 1.
	Level(shard uint32) float64
	// Observe records the outcome of an attempt.
	Observe(shard uint32, answered bool)
	// Insufficient reports whether the budget can't pay for the attempts that one more
	// request needs so that at most missingShare of the shards get no answer.
	Insufficient(shard uint32, missingShare float64) bool
}

// Reason says why an attempt is sent.
type Reason string

// The reasons of attempts.
const (
	First Reason = "first"
	Retry Reason = "retry"
	Hedge Reason = "hedge"
)

// Attempt is one sub-query to be sent.
type Attempt struct {
	ID       uint32
	Shard    uint32
	Searcher *domain.Searcher
	Expected time.Duration
	Reason   Reason
	// PriorAttempts is how many attempts were sent for the shard before.
	PriorAttempts int
	// Probe says that the attempt tests whether an ejected searcher has recovered.
	Probe bool
	// WillQueue says that the request is expected to wait in a standing queue.
	WillQueue bool
	// SendBy is until when the attempt must be sent, if its searcher has a limit; the driver
	// reports one that is too late as failed and not run.
	SendBy time.Time
}

// Step is what the driver has to do after an event. The driver cancels before it sends.
type Step struct {
	Send   []Attempt
	Cancel []uint32
	// Done says that the query has ended; Coverage then returns the outcome.
	Done bool
	// Wake is when Advance is due next; zero sets no time.
	Wake time.Time
}

// Params are the inputs of a query.
type Params struct {
	Service  *domain.Service
	Snapshot domain.Snapshot
	Deadline time.Time
	// LocalDomain is the failure domain of this instance.
	LocalDomain string
	// Eligible reports whether a searcher holds the snapshot of a shard.
	Eligible func(shard uint32, searcher string) bool
	// Objective is the latency objective as a point in time. A later answer is worth
	// little, so the query then ends as soon as the rules accept its coverage. Zero
	// sets none.
	Objective time.Time
	// EndEarly ends the query as soon as it can no longer reach an acceptable coverage,
	// so that the caller learns at once.
	EndEarly bool
	// RetryShed allows one more attempt for each one that a searcher refused to run, at
	// searchers that the shard has already used, and for each one that never reached its
	// searcher, as long as others haven't been tried.
	RetryShed bool
	// PermitWait is until when a shard may wait for a permit if its only searchers have
	// limits on their requests; zero if it may not.
	PermitWait time.Time
	// MaxWait is the expected time before service, on the network and in the queue,
	// above which a shard with a standing queue counts as saturated. With EndEarly,
	// nothing is sent if the shards that are neither saturated nor short of budget
	// don't suffice for an answer: the query would lengthen every queue and be late, or
	// use up the budget of other queries. Zero sets no bound.
	MaxWait time.Duration
	// Canary sends a query over many shards to one shard first, beginning with CanaryShard,
	// and to the others once a shard has answered: the request may end the searchers that
	// run it.
	Canary      bool
	CanaryShard uint32
	// MaxLostSearchers is how many searchers may end under a query before any shard has
	// answered.
	MaxLostSearchers int
	// HedgeFrom is until when no hedge is sent unless a shard has answered: a request that
	// ends the searchers that run it would end another one in each shard.
	HedgeFrom time.Time
}

const (
	// overrunFactor limits the expected latency of a first attempt or a retry to this
	// multiple of the time left: a request often ends well before its expected time.
	overrunFactor = 2
	// plannedMissingShare is the share of the shards which may be missing that is
	// planned for shards that run out of extra attempts; the rest is for slow ones.
	plannedMissingShare = 0.5
)

// Query is the state of one query. It isn't safe for concurrent use.
type Query struct {
	params   Params
	router   Router
	hedger   Hedger
	budget   Budget
	shards   []shardState
	attempts []attemptState
	included int
	// unsettled counts the shards that are neither included nor missing.
	unsettled    int
	done         bool
	snapshotGone bool
	// partialAt is when the query ends with the coverage that it has by then.
	partialAt time.Time
	// eligible applies Params.Eligible and the rules to eligibleShard, the shard being
	// sent, so that one closure serves every choice.
	eligible      func(searcher string) bool
	eligibleShard uint32
	// lostSearchers counts the attempts under which a searcher ended before any shard had
	// answered.
	lostSearchers int
	// turn is what the last choice that was refused as rate limited was told.
	turn quota.Turn
}

type shardState struct {
	included bool
	// missing is why the shard is missing; empty if it isn't.
	missing domain.Code
	// failure is the code of the last failed attempt.
	failure domain.Code
	// searchers and attemptIDs hold the searchers and ids of the sent attempts, in order.
	searchers   [domain.MaxAttempts]string
	attemptIDs  [domain.MaxAttempts]uint32
	sent        int
	outstanding int
	// paid counts the attempts that the budget has paid for, at the times paidAt.
	paid   int
	paidAt [domain.MaxAttempts]time.Time
	// written counts the attempts that have been written to their searchers.
	written int
	// shed counts the attempts that a searcher refused without running them, or that never
	// reached it, if Params.RetryShed is set.
	shed int
	// nextAt is when the next extra attempt is due; zero means never.
	nextAt time.Time
	// held says that the shard isn't tried again until another one has answered.
	held bool
	// hedgeBlocked says that a hedge was due and couldn't be sent.
	hedgeBlocked bool
	// ticket is set while the shard waits for a permit, for which it asks again at nextAt.
	ticket uint64
}

func (s *shardState) settled() bool { return s.included || s.missing != "" }

type attemptState struct {
	shard    uint32
	searcher string
	sent     time.Time
	estimate hedging.Estimate
	first    bool
	ended    bool
	// unsent says that nothing of the attempt reached the searcher, written that it was about to be
	// written to it.
	unsent, written bool
}

// New returns a query that hasn't started.
func New(p Params, r Router, h Hedger, b Budget) *Query {
	n := len(p.Service.PartitionMap.Shards)
	q := &Query{
		params: p, router: r, hedger: h, budget: b,
		shards: make([]shardState, n), attempts: make([]attemptState, 0, n+n/8+1),
	}
	q.eligible = func(searcher string) bool {
		return q.params.Eligible(q.eligibleShard, searcher) && q.mayUse(&q.shards[q.eligibleShard], searcher)
	}

	return q
}

// Start sends the first attempt of every shard, or that of one with Params.Canary.
func (q *Query) Start(now time.Time) Step {
	s := Step{Send: make([]Attempt, 0, len(q.shards))}

	if q.params.Canary {
		q.unsettled = len(q.shards)
		q.budget.Fill(len(q.shards), q.params.Service.Rules.ExtraLoadPermille)

		return q.finish(now, s)
	}

	// unlikely counts the shards that are saturated, short of budget, or wait for a permit.
	unlikely := 0
	missingShare := plannedMissingShare * (1 - q.minCoverage())
	q.unsettled = len(q.shards)
	q.budget.Fill(len(q.shards), q.params.Service.Rules.ExtraLoadPermille)

	for i := range q.shards {
		a := q.sendFirst(now, uint32(i), &s)

		switch {
		case a == nil && q.shards[i].ticket != 0 && len(q.shards) > 1:
			unlikely++
		case a == nil:
		case q.params.MaxWait > 0 && a.WillQueue && q.attempts[a.ID].estimate.Overhead > q.params.MaxWait:
			unlikely++
		case q.params.EndEarly && len(q.shards) > 1 && q.budget.Insufficient(uint32(i), missingShare):
			unlikely++
		}
	}

	if q.params.EndEarly && !q.acceptable(q.unsettled-unlikely) {
		q.refuseAll(now, &s)
	}

	return q.finish(now, s)
}

// sendFirst sends the first attempt of a shard. If there is no searcher for it, the shard is
// missing, or waits for a permit.
func (q *Query) sendFirst(now time.Time, shard uint32, s *Step) *Attempt {
	a, refusal := q.send(now, shard, First, overrunFactor*q.timeLeft(now), s)
	if sh := &q.shards[shard]; a == nil && !q.awaitPermit(sh, refusal) {
		q.markMissing(sh, refusal)
	}

	return a
}

// awaitPermit reports whether a shard without a permit waits for one.
func (q *Query) awaitPermit(sh *shardState, refusal domain.Code) bool {
	if refusal != domain.CodeRateLimited || q.turn.Ticket == 0 {
		return false
	}

	sh.nextAt, sh.ticket = q.turn.At, q.turn.Ticket

	return true
}

// PermitAt returns when a request like the last choice that was refused for want of a permit
// may expect one; zero if there was none.
func (q *Query) PermitAt() time.Time { return q.turn.At }

// discardSends drops the attempts of a step that ends the query: the driver hasn't
// begun them, so they are neither sent nor cancelled.
func (q *Query) discardSends(now time.Time, s *Step) {
	for _, a := range s.Send {
		if q.endAttempt(a.ID) == nil {
			continue
		}

		q.router.Discard(now, a.Searcher, a.SendBy)

		q.attempts[a.ID].unsent = true
		q.refund(a.Shard)
	}

	s.Send = nil
}

// refuseAll marks the unsettled shards as overloaded and drops the attempts of a step
// that hasn't been carried out.
func (q *Query) refuseAll(now time.Time, s *Step) {
	q.discardSends(now, s)
	q.attempts = q.attempts[:0]

	for i := range q.shards {
		if sh := &q.shards[i]; !sh.settled() {
			q.markMissing(sh, domain.CodeOverloaded)
		}
	}
}

// Answered handles the verified answer of an attempt.
func (q *Query) Answered(now time.Time, id uint32, load *routing.Load) Step {
	var s Step

	a := q.endAttempt(id)
	if a == nil {
		return q.finish(now, s)
	}

	latency := now.Sub(a.sent)
	q.router.Release(now, a.searcher, routing.Answered, latency, load)
	q.budget.Observe(a.shard, true)

	if a.first {
		q.hedger.Observe(a.estimate, latency)
	}

	if sh := &q.shards[a.shard]; !sh.settled() && !q.done {
		sh.included = true
		q.included++
		q.unsettled--
		q.cancelShard(now, a.shard, &s)

		if q.included == 1 && !q.pastObjective(now) {
			q.resume(now, &s)
		}
	}

	if q.pastObjective(now) {
		q.expire()
	}

	return q.finish(now, s)
}

// Failed handles the failure of an attempt.
func (q *Query) Failed(now time.Time, id uint32, outcome routing.Outcome, code domain.Code) Step {
	var s Step

	a := q.endAttempt(id)
	if a == nil {
		return q.finish(now, s)
	}

	q.router.Release(now, a.searcher, outcome, now.Sub(a.sent), nil)

	if outcome != routing.Cancelled && !a.unsent {
		q.budget.Observe(a.shard, false)
	}

	sh := &q.shards[a.shard]
	sh.failure = code

	if q.params.RetryShed && (outcome == routing.Shed || a.unsent && !q.allTried(sh)) {
		sh.shed++
	}

	switch {
	case sh.settled() || q.done || sh.outstanding > 0:
	case q.holding():
		sh.held = true
	default:
		q.retry(now, a.shard, a.estimate.Total(), &s)
	}

	return q.finish(now, s)
}

// FailedWithSearcher handles the failure of an attempt whose searcher has ended before any shard
// has answered, which would show that the request doesn't end the searchers that run it. The
// other attempts are cancelled and a canary is sent, or the query ends if MaxLostSearchers have
// ended.
func (q *Query) FailedWithSearcher(now time.Time, id uint32, outcome routing.Outcome, code domain.Code) Step {
	if q.included > 0 {
		return q.Failed(now, id, outcome, code)
	}

	var s Step

	a := q.endAttempt(id)
	if a == nil {
		return q.finish(now, s)
	}

	q.router.Release(now, a.searcher, outcome, now.Sub(a.sent), nil)
	q.budget.Observe(a.shard, false)

	q.shards[a.shard].failure = code
	q.lostSearchers++

	if !q.done {
		q.hold(now, &s)
	}

	return q.finish(now, s)
}

// Outstanding reports whether an attempt has been sent and hasn't ended.
func (q *Query) Outstanding(id uint32) bool {
	return int(id) < len(q.attempts) && !q.attempts[id].ended
}

// FailedPermanently handles the failure of an attempt after which the shard must not be
// tried again.
func (q *Query) FailedPermanently(now time.Time, id uint32, outcome routing.Outcome, code domain.Code) Step {
	var s Step

	a := q.endAttempt(id)
	if a == nil {
		return q.finish(now, s)
	}

	q.router.Release(now, a.searcher, outcome, now.Sub(a.sent), nil)

	if sh := &q.shards[a.shard]; !sh.settled() {
		sh.failure = code
		q.markMissing(sh, code)
	}

	return q.finish(now, s)
}

// Advance handles the timers that are due: the end of the query, hedges and retries.
func (q *Query) Advance(now time.Time) Step {
	var s Step

	if !now.Before(q.params.Deadline) || (!q.partialAt.IsZero() && !now.Before(q.partialAt)) || q.pastObjective(now) {
		q.expire()

		return q.finish(now, s)
	}

	for i := range q.shards {
		sh := &q.shards[i]
		if sh.settled() || sh.nextAt.IsZero() || now.Before(sh.nextAt) {
			continue
		}

		switch {
		case q.holding():
		case sh.outstanding > 0 && q.included == 0 && now.Before(q.params.HedgeFrom):
			sh.nextAt = q.params.HedgeFrom
		case sh.sent == 0:
			sh.nextAt = time.Time{}
			q.sendFirst(now, uint32(i), &s)
		case sh.outstanding > 0:
			q.hedge(now, uint32(i), &s)
		default:
			q.retry(now, uint32(i), 0, &s)
		}
	}

	return q.finish(now, s)
}

// expire marks the shards as missing that haven't answered in time.
func (q *Query) expire() {
	if q.done {
		return
	}

	for i := range q.shards {
		if sh := &q.shards[i]; !sh.settled() {
			q.markMissing(sh, q.timeoutCode(sh))
		}
	}
}

// pastObjective reports whether the objective has passed and the coverage is
// acceptable, so that waiting for more shards would cost more than they add.
func (q *Query) pastObjective(now time.Time) bool {
	return !q.params.Objective.IsZero() && !now.Before(q.params.Objective) && q.coverageAccepted()
}

// Coverage returns which shards are included so far, and why the others are missing.
func (q *Query) Coverage() coverage.Coverage {
	c := coverage.Coverage{Shards: uint32(len(q.shards)), Included: make([]uint32, 0, q.included)}

	for i := range q.shards {
		sh := &q.shards[i]

		switch {
		case sh.included:
			c.Included = append(c.Included, uint32(i))
		case sh.missing != "":
			c.Missing = append(c.Missing, coverage.Missing{Shard: uint32(i), Reason: sh.missing})
		default:
			c.Missing = append(c.Missing, coverage.Missing{Shard: uint32(i), Reason: q.timeoutCode(sh)})
		}
	}

	return c
}

// Attempts returns how many attempts were sent.
func (q *Query) Attempts() int { return len(q.attempts) }

// Included returns how many shards have answered.
func (q *Query) Included() int { return q.included }

// SnapshotGone reports whether a shard is missing because no usable searcher holds the
// pinned snapshot any more.
func (q *Query) SnapshotGone() bool { return q.snapshotGone }

// Cancel ends the query without an outcome and cancels every attempt.
func (q *Query) Cancel(now time.Time) Step {
	var s Step

	q.done = true

	for i := range q.shards {
		q.cancelShard(now, uint32(i), &s)
	}

	return s
}

// send adds an attempt to the step, or returns why no searcher could be chosen.
func (q *Query) send(now time.Time, shard uint32, reason Reason, maxLatency time.Duration, s *Step) (*Attempt, domain.Code) {
	sh := &q.shards[shard]
	q.eligibleShard = shard

	r := routing.Request{
		Shard: &q.params.Service.PartitionMap.Shards[shard], Avoid: sh.searchers[:sh.sent], LocalDomain: q.params.LocalDomain,
		Eligible: q.eligible, Hedge: reason == Hedge, NoProbe: reason == Retry, MaxExpected: maxLatency, ExcludeLast: reason == Hedge,
		WaitUntil: q.params.PermitWait, Ticket: sh.ticket,
	}
	sh.ticket = 0

	c, ok := q.router.Choose(now, r)
	if !ok && r.ExcludeLast && q.mayHedgeSameSearcher(now, sh, c.Refusal) {
		r.ExcludeLast = false
		c, ok = q.router.Choose(now, r)
	}

	if !ok {
		if c.Refusal == domain.CodeRateLimited {
			q.turn = c.Turn
		}

		return nil, c.Refusal
	}

	id := uint32(len(q.attempts))
	q.attempts = append(q.attempts, attemptState{
		shard: shard, searcher: c.Searcher.ID, sent: now, first: reason == First,
		estimate: hedging.Estimate{Overhead: c.Expected - c.Service, Service: c.Service},
	})
	s.Send = append(s.Send, Attempt{
		ID: id, Shard: shard, Searcher: c.Searcher, Expected: c.Expected, Reason: reason, PriorAttempts: sh.sent, Probe: c.Probe,
		WillQueue: c.WillQueue, SendBy: c.SendBy,
	})

	sh.searchers[sh.sent], sh.attemptIDs[sh.sent] = c.Searcher.ID, id
	sh.sent++
	sh.outstanding++
	sh.nextAt = time.Time{}

	if q.params.Service.Rules.Hedging && q.mayAttempt(sh) {
		sh.nextAt = now.Add(q.hedgeDelay(now, shard, q.attempts[id].estimate, reason, &c))
	}

	return &s.Send[len(s.Send)-1], ""
}

// timeoutCode returns the code of a shard that hasn't answered in time.
func (q *Query) timeoutCode(sh *shardState) domain.Code {
	if sh.failure != "" && sh.outstanding == 0 {
		return sh.failure
	}

	return domain.CodeDeadline
}

func (q *Query) timeLeft(now time.Time) time.Duration { return q.params.Deadline.Sub(now) }

// endAttempt marks an attempt as ended. It returns nil if there is no such attempt or
// it has ended before.
func (q *Query) endAttempt(id uint32) *attemptState {
	if int(id) >= len(q.attempts) || q.attempts[id].ended {
		return nil
	}

	a := &q.attempts[id]
	a.ended = true
	q.shards[a.shard].outstanding--

	return a
}

func (q *Query) cancelShard(now time.Time, shard uint32, s *Step) {
	sh := &q.shards[shard]
	if sh.outstanding == 0 {
		return
	}

	for _, id := range sh.attemptIDs[:sh.sent] {
		q.cancelAttempt(now, id, s)
	}
}

func (q *Query) cancelAttempt(now time.Time, id uint32, s *Step) {
	a := q.endAttempt(id)
	if a == nil {
		return
	}

	elapsed := now.Sub(a.sent)
	q.router.Release(now, a.searcher, routing.Cancelled, elapsed, nil)
	s.Cancel = append(s.Cancel, id)

	// A first attempt that is slower than its hedge is a censored sample of the latency
	// tail.
	if a.first && q.shards[a.shard].sent > 1 && elapsed > a.estimate.Total() {
		q.hedger.ObserveCensored(a.estimate, elapsed)
	}
}

// markMissing settles a shard without an answer. A shard that was held has had no failure of its own: searchers have
// ended under the query.
func (q *Query) markMissing(sh *shardState, code domain.Code) {
	sh.missing = cmp.Or(code, domain.CodeSearcherUnavailable)
	q.snapshotGone = q.snapshotGone || code == domain.CodeSnapshotGone
	q.unsettled--
}

// finish ends the query if every shard is settled or the query can't succeed. Otherwise
// it sets the step's wake-up time.
func (q *Query) finish(now time.Time, s Step) Step {
	if q.done {
		return s
	}

	q.proceed(now, &s)

	if q.unsettled == 0 || q.cannotSucceed() {
		q.done = true
		s.Done = true

		q.discardSends(now, &s)

		for i := range q.shards {
			q.cancelShard(now, uint32(i), &s)
		}

		return s
	}

	s.Wake = q.nextWake(now)

	return s
}

// nextWake returns when Advance is due. It starts the partial wait once the coverage is
// accepted.
func (q *Query) nextWake(now time.Time) time.Time {
	w := q.params.Deadline

	if wait := q.params.Service.Rules.PartialWait(); wait > 0 && q.partialAt.IsZero() && q.coverageAccepted() {
		q.partialAt = now.Add(wait)
	}

	if !q.partialAt.IsZero() && q.partialAt.Before(w) {
		w = q.partialAt
	}

	if o := q.params.Objective; !o.IsZero() && q.coverageAccepted() && o.Before(w) {
		w = o
	}

	for i := range q.shards {
		if sh := &q.shards[i]; !sh.settled() && !sh.nextAt.IsZero() && sh.nextAt.Before(w) && !q.holding() {
			w = sh.nextAt
		}
	}

	return w
}

// cannotSucceed reports whether the query ends early because no coverage that is still
// possible is acceptable.
func (q *Query) cannotSucceed() bool {
	return q.params.EndEarly && !q.acceptable(q.included+q.unsettled)
}

// minCoverage returns the least share of shards that the rules accept.
func (q *Query) minCoverage() float64 {
	return float64(q.params.Service.Rules.MinCoveragePermille) / domain.Permille
}

// acceptable reports whether the rules accept that many shards.
func (q *Query) acceptable(shards int) bool {
	return coverage.AcceptsCount(q.params.Service.Rules, shards, len(q.shards))
}

// coverageAccepted reports whether the rules accept the shards included so far.
func (q *Query) coverageAccepted() bool {
	return q.acceptable(q.included)
}
