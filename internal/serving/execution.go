package serving

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"primrosespring.example/internal/contain"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/scatter"
)

// execution is one request that is being served.
type execution struct {
	engine *Engine
	view   *directory.View
	entry  *directory.Entry
	target *directory.Target
	req    *Request
	// member is the member organisation of the caller; nil if it has none. allowed is then
	// asked before each attempt.
	member  *domain.Member
	allowed func() error
	// margin is the part of the caller's timeout reserved for returning the answer.
	margin time.Duration
	// maxWait bounds the expected wait of a query over many shards in a shard's
	// queue; zero for other requests.
	maxWait time.Duration
	// deadline is the end of the timeout less the margin, but leaves at least half of it.
	deadline time.Time
	// ctx is the parent of the attempts' contexts.
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the query has ended.
	done chan struct{}

	mu       sync.Mutex // Guards the fields below; taken before the routing table's lock.
	query    *scatter.Query
	timer    *time.Timer
	ended    bool
	cancels  []context.CancelFunc // By attempt id.
	attempts []scatter.Attempt    // By attempt id.
	replies  []*Reply             // By shard; nil if it hasn't answered.
	// notRun counts the attempts that are known not to have run.
	notRun int
	// failedReply is the last answer to pass on of a searcher that ran the request and failed.
	failedReply *Reply
	// lastErr is the last error of an attempt, cancellations excluded.
	lastErr *domain.Error
	// failure ended the query without an outcome; nil if nothing did.
	failure *domain.Error
	// suspicion is what is known of requests that end searchers.
	suspicion suspicion
}

func newExecution(e *Engine, v *directory.View, entry *directory.Entry, t *directory.Target, r *Request) *execution {
	timeout := entry.Route.Timeout
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}

	margin := e.margin(r)

	return &execution{
		engine: e, view: v, entry: entry, target: t, req: r, margin: margin,
		deadline: r.Received.Add(max(timeout-margin, timeout/2)),
		done:     make(chan struct{}),
		replies:  make([]*Reply, len(t.Pools)),
	}
}

// admit refuses a request if a planned stop might cut it off, or if too few shards have a
// searcher for an acceptable answer.
func (x *execution) admit() error {
	if err := x.refuseAtStop(); err != nil {
		return err
	}

	live, shards := 0, x.target.Service.PartitionMap.Shards

	for i := range shards {
		if len(shards[i].Searchers) > 0 {
			live++
		}
	}

	if live < len(shards) {
		x.engine.reportStaleList()
	}

	if x.accepts(live) {
		return x.refuseIfPaused(live)
	}

	err := domain.Errorf(domain.FateNotRun, domain.CodeNoLiveSearcher, "admit", "%d of %d shards have a searcher", live, len(shards))
	err.RetryAfter = minRetryAfter

	return err
}

// refuseIfPaused refuses a request if the pauses that searchers asked for leave too few
// shards, of those live, for an acceptable answer. The caller may return when the first
// pause ends, and at the latency objective at the latest: another instance may have none.
func (x *execution) refuseIfPaused(live int) error {
	now := time.Now()
	if !x.engine.routing.AnyPaused(now) {
		return nil
	}

	var first time.Time

	paused, shards := 0, x.target.Service.PartitionMap.Shards

	for i := range shards {
		until := x.engine.routing.PausedUntil(now, &shards[i])
		if until.IsZero() {
			continue
		}

		paused++

		if first.IsZero() || until.Before(first) {
			first = until
		}
	}

	if paused == 0 || x.accepts(live-paused) {
		return nil
	}

	err := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "admit", "%d of %d shards want no requests", paused, len(shards))
	err.RetryAfter = max(min(first.Sub(now), x.entry.Route.LatencyObjective), minRetryAfter)

	return err
}

// accepts reports whether the route accepts an answer that includes that many shards.
func (x *execution) accepts(included int) bool {
	r, n := x.entry.Route, len(x.target.Pools)
	if !r.Gathered() {
		return included == n
	}

	return included > 0 && float64(included) >= r.MinCoverage*float64(n)
}

// forHandover returns the request to hand over, with the margin of this instance.
func (x *execution) forHandover() *Request {
	r := *x.req
	r.Margin = x.margin

	return &r
}

// serve processes the request on this instance, and logs and counts the result.
func (x *execution) serve(ctx context.Context) (*Response, error) {
	resp, err := x.run(ctx)
	if err != nil {
		x.awaitTold(ctx)
	}

	x.logOutcome(resp, err)
	countResult(x.entry.Route.Name, time.Since(x.req.Received), resp, err)

	return resp, err
}

// run processes the request until it ends or ctx does.
func (x *execution) run(ctx context.Context) (*Response, error) {
	if ctx.Err() != nil {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeCancelled, "serve", "the caller closed its connection")
	}

	x.ctx, x.cancel = context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	defer x.cancel()

	x.start() //nolint:contextcheck // Attempts end with x.ctx.

	select {
	case <-x.done:
	case <-ctx.Done():
		x.cancelQuery() //nolint:contextcheck // Attempts end with x.ctx.

		return nil, domain.Errorf(x.fate(), domain.CodeCancelled, "serve", "the caller closed its connection")
	}

	return x.outcome()
}

// start begins the query with the parameters of the route.
func (x *execution) start() {
	x.mu.Lock()
	defer x.mu.Unlock()

	route := x.entry.Route
	p := scatter.Params{
		Service: x.target.Service, Deadline: x.deadline, LocalDomain: x.engine.settings.Instance.FailureDomain,
		RetryShed: true, EndEarly: true, PermitWait: x.permitWait(),
		Eligible: func(_ uint32, searcher string) bool { return x.engine.directory.Usable(searcher) },
	}

	if route.Gathered() && route.LatencyObjective > 0 {
		p.Objective = x.req.Received.Add(max(route.LatencyObjective-x.margin, route.LatencyObjective/2))
		x.maxWait = x.engine.usage.maxWait(time.Now(), route)
		p.MaxWait = x.maxWait
	}

	if v := x.suspicion.verdict; v == quarantine.Careful || v == quarantine.Trial {
		p.Canary = route.Gathered()
	}

	p.CanaryShard, p.MaxLostSearchers, p.HedgeFrom = rand.Uint32(), maxLostSearchers, x.hedgeFrom()
	if x.suspicion.verdict == quarantine.Trial {
		p.MaxLostSearchers = 1
	}

	x.query = scatter.New(p, classRouter{x.engine.routing, route.Name, x.priority()}, x.engine.delayer(route.Name), x.engine.shardBudgets(x.target, route.Gathered()))
	x.timer = time.AfterFunc(time.Until(x.deadline), x.advance)
	x.step(func() scatter.Step { return x.query.Start(time.Now()) })
}

// permitWait returns until when a request may wait for a permit: it must leave time for the
// answer within the latency objective, or within the timeout if there is none.
func (x *execution) permitWait() time.Time {
	if o := x.entry.Route.LatencyObjective; o > 0 {
		return x.req.Received.Add(o / 2)
	}

	return x.req.Received.Add(x.deadline.Sub(x.req.Received) / 2)
}

// step takes a step of the query and carries it out; the caller holds mu. A panic ends this query and no other: its
// state is its own, and what it shares is changed by calls that release their locks.
func (x *execution) step(next func() scatter.Step) {
	if x.failure != nil {
		return
	}

	err := contain.Call(x.engine.log, "process query", x.req.ID, func() error {
		x.perform(next())

		return nil
	})

	if errors.As(err, &x.failure) {
		x.abandon()
	}
}

// abandon ends a query whose state can't be trusted: its attempts are cancelled and their reservations released, as far
// as possible. The caller holds mu.
func (x *execution) abandon() {
	for _, cancel := range x.cancels {
		cancel()
	}

	_ = contain.Call(x.engine.log, "cancel query", x.req.ID, func() error {
		x.query.Cancel(time.Now())

		return nil
	})

	if !x.ended {
		x.finish()
	}
}

// perform sends and cancels attempts as the step demands; the caller holds mu.
func (x *execution) perform(s scatter.Step) {
	for _, id := range s.Cancel {
		x.cancels[id]()
	}

	for _, a := range s.Send {
		ctx, cancel := context.WithCancel(x.ctx)
		x.cancels = append(x.cancels, cancel)
		x.attempts = append(x.attempts, a)
		countAttempt(a.Reason)

		if a.Reason != scatter.First {
			x.logExtraAttempt(a)
		}

		go x.runAttempt(ctx, a)
	}

	switch {
	case x.ended:
	case s.Done:
		x.finish()
	default:
		x.timer.Reset(time.Until(s.Wake))
	}
}

// finish marks the query as ended, which unblocks run; the caller holds mu.
func (x *execution) finish() {
	x.ended = true
	x.timer.Stop()
	close(x.done)
}

// advance handles the timer.
func (x *execution) advance() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if !x.ended {
		x.step(func() scatter.Step { return x.query.Advance(time.Now()) })
	}
}

// cancelQuery cancels the query and its attempts.
func (x *execution) cancelQuery() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.ended {
		return
	}

	x.step(func() scatter.Step { return x.query.Cancel(time.Now()) })

	if !x.ended {
		x.finish()
	}
}

// runAttempt sends one attempt and handles its result.
func (x *execution) runAttempt(ctx context.Context, a scatter.Attempt) {
	var (
		reply *Reply
		load  *routing.Load
	)

	err := contain.Call(x.engine.log, "send attempt", a.Searcher.ID, func() (err error) {
		reply, load, err = x.engine.client.Do(ctx, Call{
			Searcher: a.Searcher, Request: x.req, Deadline: x.deadline, SendBy: a.SendBy, Allowed: x.allowed,
			Written: func() { x.attemptWritten(a.ID) },
		})

		return err
	})

	ended := x.searcherEnded(a, err) //nolint:contextcheck // The check has its own time limit.

	x.mu.Lock()
	defer x.mu.Unlock()

	x.cancels[a.ID]()
	x.step(func() scatter.Step { return x.handleResult(a, reply, load, err, ended) }) //nolint:contextcheck // Further attempts end with x.ctx.
}

// attemptWritten tells the query that an attempt is about to be written.
func (x *execution) attemptWritten(id uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.query.Written(time.Now(), id)
}

// handleResult passes the result of an attempt to the query and to routing; the caller
// holds mu. ended says that the searcher has ended.
func (x *execution) handleResult(a scatter.Attempt, reply *Reply, load *routing.Load, err error, ended bool) scatter.Step {
	now := time.Now()

	if err == nil {
		x.answered(now)

		// A gathered answer states the signature of each of its parts, so it can't
		// include an answer without one.
		if reply.Success() && (reply.Signature != "" || !x.entry.Route.Gathered()) {
			if x.replies[a.Shard] == nil && !x.ended {
				x.replies[a.Shard] = reply
			}

			return x.query.Answered(now, a.ID, reply.Load)
		}

		if reply.FalseRefusal {
			x.attemptFailed(a, domain.Errorf(domain.FateRan, domain.CodeSearcherFailed, "check answer",
				"status %d of a searcher that doesn't state that it didn't run the request", reply.Status).WithPeer(a.Searcher.ID))
		} else {
			x.failedReply = reply
		}

		return x.handleFailure(now, a, routing.Refused, domain.CodeSearcherFailed, domain.FateRan)
	}

	var e *domain.Error
	if !errors.As(err, &e) {
		e = domain.Errorf(domain.FateUnknown, domain.CodeInternal, "send attempt", "%v", err)
	}

	if e.Fate == domain.FateNotRun {
		x.notRun++
	}

	if e.Code != domain.CodeCancelled {
		x.attemptFailed(a, e)
	}

	if e.Code == domain.CodeNotFound && x.engine.directory.Deny(a.Searcher.ID, a.Searcher.Incarnation, a.Searcher.Address) {
		x.engine.reportStaleList()
		x.engine.log.Warn().Str("event", "searcher_denied").Str("searcher", a.Searcher.ID).
			Str("address", a.Searcher.Address).Str("reason", "another searcher answers at its address").Send()
	}

	if load != nil {
		x.engine.routing.Report(now, a.Searcher.ID, load)
	}

	if e.Fate == domain.FateNotRun && e.Code == domain.CodeSearcherUnavailable {
		x.query.MarkUnsent(a.ID)
	}

	if keyRefused(e.Code) {
		x.query.MarkUnsent(a.ID)

		return x.query.FailedPermanently(now, a.ID, routing.Cancelled, e.Code)
	}

	if ended {
		return x.strike(now, a, e.Fate, e.Code)
	}

	return x.handleFailure(now, a, routingOutcome(e), e.Code, e.Fate)
}

// attemptFailed logs and counts the error of an attempt; the caller holds mu.
func (x *execution) attemptFailed(a scatter.Attempt, e *domain.Error) {
	x.lastErr = e
	x.logAttemptFailed(a, e)
	countAttemptFailure(e.Code)
}

// handleFailure passes the failure of an attempt to the query. A request that must not
// be repeated gets no further attempt unless this one is known not to have run.
func (x *execution) handleFailure(now time.Time, a scatter.Attempt, o routing.Outcome, code domain.Code, fate domain.Fate) scatter.Step {
	if fate != domain.FateNotRun && !x.entry.Route.Repeatable {
		return x.query.FailedPermanently(now, a.ID, o, code)
	}

	return x.query.Failed(now, a.ID, o, code)
}

// routingOutcome translates the error of an attempt for the routing table.
func routingOutcome(e *domain.Error) routing.Outcome {
	switch e.Code {
	case domain.CodeOverloaded:
		return routing.Shed
	case domain.CodeSearcherDraining:
		return routing.Draining
	case domain.CodeNotFound, domain.CodeSearcherFailed:
		return routing.Refused
	case domain.CodeDeadline, domain.CodeCancelled:
		return routing.Cancelled
	default:
		return routing.Unreachable
	}
}

// outcome returns the answer or error of a query that has ended.
func (x *execution) outcome() (*Response, error) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.failure != nil {
		return nil, x.failure
	}

	included := x.query.Included()

	switch {
	case !x.accepts(included):
		return x.refusal(included)
	case x.entry.Route.Gathered():
		return x.merge(), nil
	default:
		return &x.replies[0].Response, nil
	}
}

// refusal returns the error of a request without an acceptable answer. The answer of
// a searcher that ran the request and failed is passed on unchanged, unless the
// request was gathered or the answer would tell the caller that it didn't run.
func (x *execution) refusal(included int) (*Response, error) {
	if !x.entry.Route.Gathered() && x.failedReply != nil {
		return &x.failedReply.Response, nil
	}

	fate, code := x.fateLocked(), domain.CodeCoverage
	if fate == domain.FateNotRun {
		code = domain.CodeOverloaded

		if x.lastErr != nil && keyRefused(x.lastErr.Code) {
			return nil, x.lastErr
		}

		if !x.query.PermitAt().IsZero() && len(x.attempts) == 0 {
			code = domain.CodeRateLimited
		}
	}

	if !time.Now().Before(x.deadline) {
		code = domain.CodeDeadline
	}

	err := domain.Errorf(fate, code, "serve", "%d of %d shards answered", included, len(x.target.Pools))
	err.RetryAfter = x.retryAfter()

	if x.lastErr != nil {
		return nil, err.WithCause(x.lastErr).WithPeer(x.lastErr.Peer)
	}

	return nil, err
}

// retryAfter returns how long a refused caller should wait before it retries. If
// nothing was sent because shards were saturated, that is maxWait, in which their
// queues drain, plus up to as much again at random so that callers don't all retry at
// once.
func (x *execution) retryAfter() time.Duration {
	if at := x.query.PermitAt(); !at.IsZero() {
		return x.permitRetryAfter(time.Until(at))
	}

	if len(x.attempts) > 0 || x.maxWait <= 0 {
		return minRetryAfter
	}

	return max(x.maxWait+rand.N(x.maxWait), minRetryAfter)
}

// permitRetryAfter returns how long a caller should wait that was refused for want of a
// permit, which this instance expects after that time: up to as much again at random, so
// that callers don't return together. Other instances may have permits sooner, so that it is
// no more than the latency objective, or minRetryAfter.
func (x *execution) permitRetryAfter(wait time.Duration) time.Duration {
	wait = max(min(wait, x.entry.Route.LatencyObjective), minRetryAfter)

	return wait + rand.N(wait)
}

// merge returns the merged answer of the shards.
func (x *execution) merge() *Response {
	out := &Response{Status: 200, Gathered: true, Signatures: make([]string, 0, len(x.replies))}
	parts := make([][]byte, 0, len(x.replies))

	for _, r := range x.replies {
		if r == nil {
			out.Missing++

			continue
		}

		out.Signatures = append(out.Signatures, r.Signature)
		parts = append(parts, r.Body)
	}

	out.Body = topRecords(parts, x.entry.Route.TopRecords)

	return out
}

// fate returns whether the request may have run; an attempt that hasn't ended counts
// as one that may have.
func (x *execution) fate() domain.Fate {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.fateLocked()
}

// fateLocked is fate for callers that hold mu.
func (x *execution) fateLocked() domain.Fate {
	if x.notRun < len(x.attempts) {
		return domain.FateUnknown
	}

	return domain.FateNotRun
}

// classRouter is a scatter.Router that keeps the statistics of one route apart from
// those of others.
type classRouter struct {
	table    *routing.Table
	class    string
	priority uint32
}

// Choose implements scatter.Router.
func (r classRouter) Choose(now time.Time, req routing.Request) (routing.Choice, bool) {
	req.Class, req.RemotePenalty, req.Priority = r.class, remotePenalty, r.priority

	return r.table.Choose(now, req)
}

// Discard implements scatter.Router.
func (r classRouter) Discard(now time.Time, sr *domain.Searcher, sendBy time.Time) {
	r.table.Discard(now, sr, sendBy)
}

// Release implements scatter.Router.
func (r classRouter) Release(now time.Time, searcher string, o routing.Outcome, latency time.Duration, load *routing.Load) {
	r.table.ReleaseClass(now, searcher, r.class, o, latency, load)
}
