// Retries and hedges: when they are due, whether the rules allow them, and where
// they go.

package scatter

import (
	"math"
	"slices"
	"time"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/routing"
)

const (
	// sameSearcherFactor is how many hedging delays an attempt must have taken before
	// its searcher may also get the hedge.
	sameSearcherFactor = 1.4
	// ampleBudget is the unspent share of a shard's budget above which hedges are sent
	// early. Below it they wait, so that the rest goes to stuck attempts rather than to
	// the slower ones at healthy searchers.
	ampleBudget = 0.5
	// hedgeLatencyFactor times the expected latency is the time reserved for a hedge
	// before the objective: 99% of service times with the usual spread are shorter.
	hedgeLatencyFactor = 2.5
	// hedgeConnectTime is reserved for a hedge in addition: it often goes to another
	// failure domain, on a new connection.
	hedgeConnectTime = 25 * time.Millisecond
	// defaultHedgeShare is the share of the time left to the objective after which a
	// hedge is due while the latencies of a class of requests are unknown.
	defaultHedgeShare = 0.4
	// hedgeRetryDivisor divides the hedging delay to give the time after which a hedge
	// that couldn't be sent is tried again.
	hedgeRetryDivisor = 2
)

// hedgeDelay returns how long after an attempt its hedge is due. The less of the
// shard's budget is left, the closer the hedge gets to the last moment at which it can
// still answer within the objective. With many slow searchers, hedges of the slower
// attempts at healthy ones would otherwise use up the budget before those of stuck
// attempts are due.
func (q *Query) hedgeDelay(now time.Time, shard uint32, e hedging.Estimate, reason Reason, c *routing.Choice) time.Duration {
	if q.params.Objective.IsZero() || reason != First {
		return q.hedger.Delay(e, reason == First && !c.Probe)
	}

	left := q.params.Objective.Sub(now)

	if c.Probe {
		// A probe is hedged early, since its searcher may still be failing. Its own
		// service times say little about when it would answer.
		if c.Typical > 0 {
			e.Service = min(e.Service, c.Typical)
		}

		return min(q.hedger.Delay(e, false), lastUsefulDelay(left, e, c))
	}

	early := q.hedger.Delay(e, true)

	if c.Guessed {
		return max(early, time.Duration(defaultHedgeShare*float64(left)))
	}

	latest := left - time.Duration(hedgeLatencyFactor*float64(e.Total())) - hedgeConnectTime
	scarcity := max(1-q.budget.Level(shard)/ampleBudget, 0)
	delay := early + time.Duration(scarcity*float64(max(latest-early, 0)))

	return min(delay, lastUsefulDelay(left, e, c))
}

// lastUsefulDelay returns the last delay after which a hedge at a searcher of typical
// speed is likely to answer within the objective, or a longer one if it isn't to be
// bounded. The quantile of an attempt that is expected to be slow can lie past the
// objective, though another searcher could answer in time. While requests queue, a
// hedge that comes sooner than the quantile only makes the queues longer.
func lastUsefulDelay(left time.Duration, e hedging.Estimate, c *routing.Choice) time.Duration {
	if c.Typical == 0 || c.WillQueue {
		return math.MaxInt64
	}

	last := left - time.Duration(hedgeLatencyFactor*float64(c.Typical)) - hedgeConnectTime

	return max(last, max(e.Overhead, 0)+c.Typical)
}

// hedge sends another attempt while earlier ones are outstanding, if it is likely to
// answer sooner. If it can't be sent now, it is tried again later, because the budget
// refills and queues get shorter.
func (q *Query) hedge(now time.Time, shard uint32, s *Step) {
	sh := &q.shards[shard]
	sh.nextAt = time.Time{}

	if !q.params.Service.Rules.Hedging || !q.mayAttempt(sh) {
		return
	}

	last := &q.attempts[sh.attemptIDs[sh.sent-1]]
	maxLatency := min(q.timeLeft(now), q.hedger.Remaining(last.estimate, now.Sub(last.sent)))

	kind := budget.Hedge
	if sh.hedgeBlocked || sh.sent > 1 {
		kind = budget.LateHedge
	}

	if maxLatency > 0 && q.pay(now, shard, kind) {
		if a, _ := q.send(now, shard, Hedge, maxLatency, s); a != nil {
			q.cancelAtSearcher(now, shard, a.Searcher.ID, s)

			return
		}

		q.refund(shard)
	}

	sh.hedgeBlocked = true
	sh.nextAt = now.Add(q.hedger.Delay(last.estimate, false) / hedgeRetryDivisor)
}

// mayHedgeSameSearcher reports whether a hedge may go to the searcher of the last
// attempt, since the others were refused for the given reason. An attempt that is late
// is more often queued there than in service, and the hedge would start again at the end
// of the queue. With a latency objective, the hedge waits for another searcher that is
// only too slow for now: the attempt may be stuck, and few are allowed.
func (q *Query) mayHedgeSameSearcher(now time.Time, sh *shardState, refusal domain.Code) bool {
	if !q.params.Objective.IsZero() && refusal == domain.CodeDeadline {
		return false
	}

	last := &q.attempts[sh.attemptIDs[sh.sent-1]]

	return float64(now.Sub(last.sent)) >= sameSearcherFactor*float64(q.hedger.Delay(last.estimate, true))
}

// cancelAtSearcher cancels the earlier attempts at the searcher that got the newest
// one. They would keep the slots that it waits for.
func (q *Query) cancelAtSearcher(now time.Time, shard uint32, searcher string, s *Step) {
	sh := &q.shards[shard]

	for _, id := range sh.attemptIDs[:sh.sent-1] {
		if q.attempts[id].searcher == searcher {
			q.cancelAttempt(now, id, s)
		}
	}
}

// retry replaces attempts that have all failed, and marks the shard as missing when no
// further attempt is possible. expected is the latency expected of the attempt that has
// just failed; zero if the retry was postponed and is due now.
func (q *Query) retry(now time.Time, shard uint32, expected time.Duration, s *Step) {
	sh := &q.shards[shard]
	sh.nextAt = time.Time{}

	if !q.mayAttempt(sh) {
		q.markMissing(sh, sh.failure)

		return
	}

	if expected > 0 && sh.failure == domain.CodeOverloaded && q.allTried(sh) {
		// Every searcher has just shed the request; a queue needs about one
		// latency to get shorter.
		sh.nextAt = now.Add(expected)

		return
	}

	if !q.pay(now, shard, budget.Retry) {
		if o := q.params.Objective; !o.IsZero() && !now.Before(o) {
			// Past the objective, the caller learns at once that the searchers are
			// overloaded, rather than at the deadline.
			q.markMissing(sh, domain.CodeOverloaded)

			return
		}

		sh.nextAt = now.Add(q.hedger.Delay(q.attempts[sh.attemptIDs[sh.sent-1]].estimate, false))

		return
	}

	if a, refusal := q.send(now, shard, Retry, overrunFactor*q.timeLeft(now), s); a == nil {
		q.refund(shard)

		if !q.awaitPermit(sh, refusal) {
			q.markMissing(sh, q.missingCode(sh, refusal))
		}
	}
}

// allTried reports whether every searcher of the shard has been tried.
func (q *Query) allTried(sh *shardState) bool {
	return q.distinctSearchers(sh, true) >= len(q.params.Service.PartitionMap.Shards[q.attempts[sh.attemptIDs[0]].shard].Searchers)
}

// missingCode returns the code of a shard without a usable searcher. The failure of one
// of its own attempts says more than the state that routing keeps.
func (q *Query) missingCode(sh *shardState, refusal domain.Code) domain.Code {
	if sh.failure != "" && sh.failure != domain.CodeSearcherUnavailable {
		return sh.failure
	}

	return refusal
}

// mayAttempt reports whether the rules allow another attempt. With Params.RetryShed, a
// shed attempt doesn't count, since it didn't run.
func (q *Query) mayAttempt(sh *shardState) bool {
	return sh.sent < min(int(q.params.Service.Rules.MaxAttempts)+sh.shed, len(sh.attemptIDs))
}

// mayUse reports whether an attempt at the searcher stays within the number of
// searchers that the rules allow for a shard. Shed attempts count here, those that never
// reached their searcher don't.
func (q *Query) mayUse(sh *shardState, searcher string) bool {
	return slices.Contains(sh.searchers[:sh.sent], searcher) || q.distinctSearchers(sh, false) < int(q.params.Service.Rules.MaxAttempts)
}

// distinctSearchers returns how many different searchers attempts were sent to; unreached says
// that those count too that no attempt has reached.
func (q *Query) distinctSearchers(sh *shardState, unreached bool) int {
	var counted [domain.MaxAttempts]string

	n := 0

	for i, id := range sh.searchers[:sh.sent] {
		if (unreached || !q.attempts[sh.attemptIDs[i]].unsent) && !slices.Contains(counted[:n], id) {
			counted[n] = id
			n++
		}
	}

	return n
}

// MarkUnsent records that nothing of an attempt reached its searcher, so that it isn't one of
// those that the shard's budget pays for. It must be called before Failed. Many searchers that
// stop at the same time and refuse connections would otherwise use up the budget.
func (q *Query) MarkUnsent(id uint32) {
	if int(id) >= len(q.attempts) || q.attempts[id].ended {
		return
	}

	a := &q.attempts[id]
	a.unsent = true

	if a.written {
		a.written = false
		q.shards[a.shard].written--
	}

	q.refund(a.shard)
}

// Written records that an attempt is about to be written to its searcher. It may have waited for a connection since
// it was paid for: all but the first one of a shard that arrives count from now on. Which one that is isn't known
// before.
func (q *Query) Written(now time.Time, id uint32) {
	if int(id) >= len(q.attempts) || q.attempts[id].ended || q.attempts[id].written {
		return
	}

	a := &q.attempts[id]
	a.written = true

	sh := &q.shards[a.shard]
	if n := sh.written - 1; n >= 0 && n < sh.paid {
		q.budget.Move(a.shard, sh.paidAt[n], now)
		sh.paidAt[n] = now
	}

	sh.written++
}

// arrivals counts the attempts of a shard that have reached a searcher or may reach one. All but
// one are extra attempts.
func (q *Query) arrivals(sh *shardState) int {
	n := 0

	for _, id := range sh.attemptIDs[:sh.sent] {
		if !q.attempts[id].unsent {
			n++
		}
	}

	return n
}

// pay takes one more attempt from the shard's budget, and reports whether it may be sent. It
// costs nothing if none before it has reached a searcher.
func (q *Query) pay(now time.Time, shard uint32, k budget.Kind) bool {
	sh := &q.shards[shard]
	if sh.paid >= q.arrivals(sh) {
		return true
	}

	if !q.budget.Take(shard, k) {
		return false
	}

	sh.paidAt[sh.paid] = now
	sh.paid++

	return true
}

// refund returns to the shard's budget what was paid for attempts that aren't extra, as they or
// those before them haven't reached a searcher.
func (q *Query) refund(shard uint32) {
	sh := &q.shards[shard]

	for extra := max(q.arrivals(sh)-1, 0); sh.paid > extra; sh.paid-- {
		q.budget.Return(shard)
	}
}
