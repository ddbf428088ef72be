package serving

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/scatter"
)

// execution is one request at work.
type execution struct {
	engine *Engine
	view   *directory.View
	entry  *directory.Entry
	target *directory.Target
	req    *Request
	// margin is kept of the caller's time.
	margin time.Duration
	// maxWait is how long a query over many shards may be expected to wait in their
	// queues; zero for other requests.
	maxWait  time.Duration
	deadline time.Time
	// ctx ends the attempts.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex // Guards what follows. It is taken before the routing table's lock.
	query    *scatter.Query
	timer    *time.Timer
	ended    bool
	cancels  []context.CancelFunc
	attempts []scatter.Attempt
	replies  []*Reply
	// notRun counts the attempts that are known not to have run; failed is the
	// last answer of a searcher that ran the request and failed.
	notRun int
	failed *Reply
	// failure is the last error of an attempt.
	failure *domain.Error
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

// admit refuses a request that can't be served.
func (x *execution) admit() error {
	live, shards := 0, x.target.Service.PartitionMap.Shards

	for i := range shards {
		if len(shards[i].Searchers) > 0 {
			live++
		}
	}

	if live < len(shards) {
		x.engine.suspectStale()
	}

	if x.accepts(live) {
		return nil
	}

	err := domain.Errorf(domain.FateNotRun, domain.CodeNoLiveSearcher, "admit", "%d of %d shards have a searcher", live, len(shards))
	err.RetryAfter = retryFloor

	return err
}

// accepts reports whether the rules accept an answer from that many shards.
func (x *execution) accepts(included int) bool {
	r, n := x.entry.Route, len(x.target.Pools)
	if !r.Gathered() {
		return included == n
	}

	return included > 0 && float64(included) >= r.MinCoverage*float64(n)
}

// forHandover returns the request as it is handed over.
func (x *execution) forHandover() *Request {
	r := *x.req
	r.Margin = x.margin

	return &r
}

// serve carries the request out here.
func (x *execution) serve(ctx context.Context) (*Response, error) {
	resp, err := x.run(ctx)
	x.logEnd(resp, err)
	ended(x.entry.Route.Name, time.Since(x.req.Received), resp, err)

	return resp, err
}

// run sends the attempts and waits for the outcome.
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
		x.abandon() //nolint:contextcheck // Attempts end with x.ctx.

		return nil, domain.Errorf(x.fate(), domain.CodeCancelled, "serve", "the caller closed its connection")
	}

	return x.outcome()
}

// start begins the query; its parameters follow from the route's rules.
func (x *execution) start() {
	x.mu.Lock()
	defer x.mu.Unlock()

	route := x.entry.Route
	p := scatter.Params{
		Service: x.target.Service, Deadline: x.deadline, LocalDomain: x.engine.settings.Instance.FailureDomain,
		RetryShed: true, EndEarly: true,
		Eligible: func(_ uint32, searcher string) bool { return x.engine.directory.Usable(searcher) },
	}

	if route.Gathered() && route.LatencyObjective > 0 {
		p.Objective = x.req.Received.Add(max(route.LatencyObjective-x.margin, route.LatencyObjective/2))
		x.maxWait = x.engine.usage.maxWait(time.Now(), route)
		p.MaxWait = x.maxWait
	}

	x.query = scatter.New(p, classRouter{x.engine.routing, route.Name}, x.engine.delayer(route.Name), x.engine.shardBudgets(x.target, route.Gathered()))
	x.timer = time.AfterFunc(time.Until(x.deadline), x.advance)
	x.perform(x.query.Start(time.Now()))
}

// perform carries out a step; the lock is held.
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
			x.logRoute(a)
		}

		go x.attempt(ctx, a)
	}

	switch {
	case x.ended:
	case s.Done:
		x.end()
	default:
		x.timer.Reset(time.Until(s.Wake))
	}
}

// end lets run go on; the lock is held.
func (x *execution) end() {
	x.ended = true
	x.timer.Stop()
	close(x.done)
}

// advance acts on the passing of time.
func (x *execution) advance() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if !x.ended {
		x.perform(x.query.Advance(time.Now()))
	}
}

// abandon ends the query and its attempts without an answer.
func (x *execution) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if !x.ended {
		x.perform(x.query.Abandon(time.Now()))
		x.end()
	}
}

// attempt sends one attempt and takes its end.
func (x *execution) attempt(ctx context.Context, a scatter.Attempt) {
	reply, load, err := x.engine.searchers.Do(ctx, Call{Searcher: a.Searcher, Request: x.req, Deadline: x.deadline})

	x.mu.Lock()
	defer x.mu.Unlock()

	x.cancels[a.ID]()
	x.perform(x.handle(a, reply, load, err)) //nolint:contextcheck // Further attempts end with x.ctx.
}

// handle takes the end of an attempt; the lock is held.
func (x *execution) handle(a scatter.Attempt, reply *Reply, load *routing.Load, err error) scatter.Step {
	now := time.Now()

	if err == nil {
		if reply.Success() && (reply.Signature != "" || !x.entry.Route.Gathered()) {
			if x.replies[a.Shard] == nil && !x.ended {
				x.replies[a.Shard] = reply
			}

			return x.query.Answered(now, a.ID, reply.Load)
		}

		x.failed = reply

		return x.fail(now, a, routing.Refused, domain.CodeSearcherFailed, domain.FateRan)
	}

	var e *domain.Error
	if !errors.As(err, &e) {
		e = domain.Errorf(domain.FateUnknown, domain.CodeInternal, "send attempt", "%v", err)
	}

	if e.Fate == domain.FateNotRun {
		x.notRun++
	}

	if e.Code != domain.CodeCancelled {
		x.failure = e
		x.logAttemptFailed(a, e)
		countFailed(e.Code)
	}

	if e.Code == domain.CodeNotFound && x.engine.directory.Deny(a.Searcher.ID) {
		x.engine.suspectStale()
		x.engine.log.Warn().Str("event", "searcher_denied").Str("searcher", a.Searcher.ID).
			Str("address", a.Searcher.Address).Str("reason", "another searcher answers at its address").Send()
	}

	if load != nil {
		x.engine.routing.Report(now, a.Searcher.ID, load)
	}

	if e.Fate == domain.FateNotRun && e.Code == domain.CodeSearcherUnavailable {
		x.query.MarkUnsent(a.ID)
	}

	return x.fail(now, a, outcomeOf(e), e.Code, e.Fate)
}

// fail takes the failure of an attempt. A request that must not be repeated has
// no further attempt unless this one is known not to have run.
func (x *execution) fail(now time.Time, a scatter.Attempt, o routing.Outcome, code domain.Code, fate domain.Fate) scatter.Step {
	if fate != domain.FateNotRun && !x.entry.Route.Repeatable {
		return x.query.FailedPermanently(now, a.ID, o, code)
	}

	return x.query.Failed(now, a.ID, o, code)
}

// outcomeOf tells routing how an attempt failed.
func outcomeOf(e *domain.Error) routing.Outcome {
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

// outcome makes the answer after the query has ended.
func (x *execution) outcome() (*Response, error) {
	x.mu.Lock()
	defer x.mu.Unlock()

	included := x.query.Included()

	switch {
	case !x.accepts(included):
		return x.refusal(included)
	case x.entry.Route.Gathered():
		return x.gathered(), nil
	default:
		return &x.replies[0].Response, nil
	}
}

// refusal makes the final answer of a request that wasn't answered. A searcher's
// own failure is passed on as it is.
func (x *execution) refusal(included int) (*Response, error) {
	if !x.entry.Route.Gathered() && x.failed != nil {
		return &x.failed.Response, nil
	}

	fate, code := x.fateLocked(), domain.CodeCoverage
	if fate == domain.FateNotRun {
		code = domain.CodeOverloaded
	}

	if !time.Now().Before(x.deadline) {
		code = domain.CodeDeadline
	}

	err := domain.Errorf(fate, code, "serve", "%d of %d shards answered", included, len(x.target.Pools))
	err.RetryAfter = x.retryAfter()

	if x.failure != nil {
		return nil, err.WithCause(x.failure).WithPeer(x.failure.Peer)
	}

	return nil, err
}

// retryAfter returns when a refused caller should come back: when the queues that
// made shards saturated are gone, spread over as long again so that callers don't
// all return at once.
func (x *execution) retryAfter() time.Duration {
	if len(x.attempts) > 0 || x.maxWait <= 0 {
		return retryFloor
	}

	return max(x.maxWait+rand.N(x.maxWait), retryFloor)
}

// gathered merges the answers of the shards.
func (x *execution) gathered() *Response {
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

	out.Body = greatest(parts, x.entry.Route.TopRecords)

	return out
}

// fate says whether the request may have run. An attempt that hasn't ended may
// have.
func (x *execution) fate() domain.Fate {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.fateLocked()
}

func (x *execution) fateLocked() domain.Fate {
	if x.notRun < len(x.attempts) {
		return domain.FateUnknown
	}

	return domain.FateNotRun
}

// classRouter chooses and learns for one class of requests.
type classRouter struct {
	table *routing.Table
	class string
}

// Choose implements scatter.Router.
func (r classRouter) Choose(now time.Time, req routing.Request) (routing.Choice, bool) {
	req.Class, req.RemotePenalty = r.class, remotePenalty

	return r.table.Choose(now, req)
}

// Release implements scatter.Router.
func (r classRouter) Release(now time.Time, searcher string, o routing.Outcome, latency time.Duration, load *routing.Load) {
	r.table.ReleaseClass(now, searcher, r.class, o, latency, load)
}
