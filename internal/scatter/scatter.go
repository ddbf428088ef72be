// Package scatter is the state machine of one query over its shards. Events
// go in (an answer, a failure, the passing of time) and steps come out (send,
// cancel, finish, next wake-up). It holds no sockets and starts no goroutines,
// so that a test can replay a query without starting anything.
//
// Every attempt that a step sends ends in exactly one call of Answered or
// Failed, or is cancelled by a later step; either way its place at the Router
// is released once.
package scatter

import (
	"time"

	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/routing"
)

// Router chooses searchers and learns from the outcome of attempts.
type Router interface {
	Choose(now time.Time, r routing.Request) (routing.Choice, bool)
	Release(now time.Time, searcher string, outcome routing.Outcome, latency time.Duration, load *routing.Load)
}

// Hedger sets the time of second attempts.
type Hedger interface {
	Delay() time.Duration
	Observe(latency time.Duration)
}

// Budget pays for retries and hedges.
type Budget interface {
	Fill(n int, permille uint32)
	Take() bool
}

// Attempt is one sub-query to be sent.
type Attempt struct {
	ID       uint32
	Shard    uint32
	Searcher *domain.Searcher
	Expected time.Duration
	// Reason is first, retry or hedge.
	Reason string
	// Tried is how many attempts the shard had before.
	Tried int
}

// Step is what the host has to do after an event.
type Step struct {
	Send   []Attempt
	Cancel []uint32
	// Done says that the query has ended; Coverage then states the outcome.
	Done bool
	// Wake is when Advance is due next; zero means that no time is set.
	Wake time.Time
}

// Params are the inputs of a query.
type Params struct {
	Service  *domain.Service
	Snapshot domain.Snapshot
	Deadline time.Time
	// Nearby is the failure domain of this instance.
	Nearby string
	// Eligible reports whether a searcher holds the snapshot of a shard.
	Eligible func(shard uint32, searcher string) bool
}

// Query is the state of one query. It isn't safe for concurrent use.
type Query struct {
	params   Params
	router   Router
	hedger   Hedger
	budget   Budget
	shards   []shardState
	attempts []attemptState
	open     int
	done     bool
	partial  time.Time
}

type shardState struct {
	included bool
	missing  domain.Code
	tried    []string
	active   int
	hedgeAt  time.Time
}

type attemptState struct {
	shard    uint32
	searcher string
	sent     time.Time
	first    bool
	ended    bool
}

// New returns a query that hasn't started.
func New(p Params, r Router, h Hedger, b Budget) *Query {
	return &Query{
		params: p, router: r, hedger: h, budget: b,
		shards: make([]shardState, len(p.Service.PartitionMap.Shards)),
	}
}

// Start sends the first attempt of every shard.
func (q *Query) Start(now time.Time) Step {
	var s Step

	q.open = len(q.shards)
	q.budget.Fill(len(q.shards), q.params.Service.Rules.ExtraLoadPermille)

	for i := range q.shards {
		if !q.send(now, uint32(i), "first", &s) {
			q.lose(&q.shards[i], domain.CodeNoLiveSearcher)
		}
	}

	return q.finish(now, s)
}

// Answered takes the checked answer of an attempt.
func (q *Query) Answered(now time.Time, id uint32, load *routing.Load) Step {
	var s Step

	a := q.end(id)
	if a == nil {
		return q.finish(now, s)
	}

	latency := now.Sub(a.sent)
	q.router.Release(now, a.searcher, routing.Answered, latency, load)

	if a.first {
		q.hedger.Observe(latency)
	}

	sh := &q.shards[a.shard]
	if !sh.included && sh.missing == "" {
		sh.included = true
		q.open--
		q.cancel(now, a.shard, &s)
	}

	return q.finish(now, s)
}

// Failed takes the failure of an attempt.
func (q *Query) Failed(now time.Time, id uint32, outcome routing.Outcome, code domain.Code) Step {
	var s Step

	a := q.end(id)
	if a == nil {
		return q.finish(now, s)
	}

	q.router.Release(now, a.searcher, outcome, now.Sub(a.sent), nil)

	sh := &q.shards[a.shard]
	if sh.included || sh.missing != "" || sh.active > 0 {
		return q.finish(now, s)
	}

	if !q.retry(now, a.shard, &s) {
		q.lose(sh, code)
	}

	return q.finish(now, s)
}

// Advance acts on the passing of time.
func (q *Query) Advance(now time.Time) Step {
	var s Step

	if !now.Before(q.params.Deadline) || (!q.partial.IsZero() && !now.Before(q.partial)) {
		for i := range q.shards {
			if sh := &q.shards[i]; !sh.included && sh.missing == "" {
				q.lose(sh, domain.CodeDeadline)
			}
		}

		return q.finish(now, s)
	}

	for i := range q.shards {
		sh := &q.shards[i]
		if sh.included || sh.missing != "" || sh.hedgeAt.IsZero() || now.Before(sh.hedgeAt) {
			continue
		}

		sh.hedgeAt = time.Time{}
		q.extra(now, uint32(i), "hedge", &s)
	}

	return q.finish(now, s)
}

// Coverage states which shards are included so far.
func (q *Query) Coverage() coverage.Coverage {
	c := coverage.Coverage{Shards: uint32(len(q.shards))}

	for i, sh := range q.shards {
		n := uint32(i)

		switch {
		case sh.included:
			c.Included = append(c.Included, n)
		case sh.missing != "":
			c.Missing = append(c.Missing, coverage.Missing{Shard: n, Reason: sh.missing})
		default:
			c.Missing = append(c.Missing, coverage.Missing{Shard: n, Reason: domain.CodeDeadline})
		}
	}

	return c
}

// Attempts returns how many attempts were sent.
func (q *Query) Attempts() int { return len(q.attempts) }

func (q *Query) send(now time.Time, shard uint32, reason string, s *Step) bool {
	sh := &q.shards[shard]

	c, ok := q.router.Choose(now, routing.Request{
		Shard: &q.params.Service.PartitionMap.Shards[shard], Avoid: sh.tried, Nearby: q.params.Nearby,
		Eligible: func(searcher string) bool { return q.params.Eligible(shard, searcher) },
	})
	if !ok {
		return false
	}

	id := uint32(len(q.attempts))
	q.attempts = append(q.attempts, attemptState{
		shard: shard, searcher: c.Searcher.ID, sent: now, first: len(sh.tried) == 0,
	})
	s.Send = append(s.Send, Attempt{
		ID: id, Shard: shard, Searcher: c.Searcher, Expected: c.Expected, Reason: reason, Tried: len(sh.tried),
	})
	sh.tried = append(sh.tried, c.Searcher.ID)
	sh.active++

	if q.params.Service.Rules.Hedging && sh.active == 1 {
		sh.hedgeAt = now.Add(q.hedger.Delay())
	}

	return true
}

func (q *Query) retry(now time.Time, shard uint32, s *Step) bool {
	return q.extra(now, shard, "retry", s)
}

func (q *Query) extra(now time.Time, shard uint32, reason string, s *Step) bool {
	sh := &q.shards[shard]
	if len(sh.tried) >= int(q.params.Service.Rules.MaxAttempts) {
		return false
	}

	return q.budget.Take() && q.send(now, shard, reason, s)
}

func (q *Query) end(id uint32) *attemptState {
	a := &q.attempts[id]
	if a.ended {
		return nil
	}

	a.ended = true
	q.shards[a.shard].active--

	return a
}

func (q *Query) cancel(now time.Time, shard uint32, s *Step) {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.ended || a.shard != shard {
			continue
		}

		a.ended = true
		q.shards[shard].active--
		q.router.Release(now, a.searcher, routing.Cancelled, now.Sub(a.sent), nil)
		s.Cancel = append(s.Cancel, uint32(i))
	}
}

func (q *Query) lose(sh *shardState, code domain.Code) {
	sh.missing = code
	q.open--
}

func (q *Query) finish(now time.Time, s Step) Step {
	if q.done {
		return s
	}

	if q.open == 0 {
		q.done = true
		s.Done = true

		for i := range q.shards {
			q.cancel(now, uint32(i), &s)
		}

		return s
	}

	s.Wake = q.wake(now)

	return s
}

func (q *Query) wake(now time.Time) time.Time {
	w := q.params.Deadline

	if wait := q.params.Service.Rules.PartialWait(); wait > 0 && q.partial.IsZero() &&
		coverage.Accepts(q.params.Service.Rules, q.Coverage()) {
		q.partial = now.Add(wait)
	}

	if !q.partial.IsZero() && q.partial.Before(w) {
		w = q.partial
	}

	for i := range q.shards {
		sh := &q.shards[i]
		if !sh.included && sh.missing == "" && !sh.hedgeAt.IsZero() && sh.hedgeAt.Before(w) {
			w = sh.hedgeAt
		}
	}

	return w
}

// Abandon ends the query without an outcome and cancels every attempt.
func (q *Query) Abandon(now time.Time) Step {
	var s Step

	q.done = true

	for i := range q.shards {
		q.cancel(now, uint32(i), &s)
	}

	return s
}
