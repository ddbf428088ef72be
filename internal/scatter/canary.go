// Requests that may end the searchers that run them: canaries, and shards that are held.

package scatter

import (
	"time"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
)

// holding reports whether shards wait for the answer of another one before they are tried
// again.
func (q *Query) holding() bool { return q.lostSearchers > 0 && q.included == 0 }

// proceed does what is due if nothing is outstanding: it sends the next canary, or ends a query
// whose shards would wait for an answer that can't come.
func (q *Query) proceed(now time.Time, s *Step) {
	if q.included > 0 || q.unsettled == 0 || q.waiting() {
		return
	}

	switch {
	case (q.params.Canary || q.holding()) && q.lostSearchers < q.params.MaxLostSearchers && q.sendCanary(now, s):
	case q.holding():
		q.markAllMissing(domain.CodeSearcherUnavailable)
	}
}

// hold cancels the outstanding attempts, whose shards are tried again once another one has
// answered.
func (q *Query) hold(now time.Time, s *Step) {
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.settled() || sh.sent == 0 {
			continue
		}

		q.cancelShard(now, uint32(i), s)

		sh.held = true
	}
}

func (q *Query) markAllMissing(code domain.Code) {
	for i := range q.shards {
		if sh := &q.shards[i]; !sh.settled() {
			q.markMissing(sh, code)
		}
	}
}

// waiting reports whether an attempt is outstanding, or a shard is due to be tried again.
func (q *Query) waiting() bool {
	for i := range q.shards {
		sh := &q.shards[i]
		if sh.outstanding > 0 || !sh.settled() && !sh.held && !sh.nextAt.IsZero() && !q.holding() {
			return true
		}
	}

	return false
}

// sendCanary sends one attempt for the next shard that may have one, and reports whether there
// is one, or a shard waits for a permit.
func (q *Query) sendCanary(now time.Time, s *Step) bool {
	n := uint32(len(q.shards))

	for i := range n {
		shard := (q.params.CanaryShard + i) % n
		sh := &q.shards[shard]

		switch {
		case sh.settled():
		case sh.sent == 0:
			if q.sendFirst(now, shard, s) != nil || sh.ticket != 0 {
				return true
			}
		case sh.held && q.mayAttempt(sh) && q.pay(now, shard, budget.Retry):
			if a, _ := q.send(now, shard, Retry, overrunFactor*q.timeLeft(now), s); a != nil {
				sh.held = false

				return true
			}

			q.refund(shard)
		}
	}

	return false
}

// resume sends what waited for the first answer.
func (q *Query) resume(now time.Time, s *Step) {
	for i := range q.shards {
		sh := &q.shards[i]

		switch {
		case sh.settled() || sh.outstanding > 0:
		case sh.held:
			sh.held = false
			q.retry(now, uint32(i), 0, s)
		case sh.sent == 0 && sh.ticket == 0:
			q.sendFirst(now, uint32(i), s)
		}
	}
}
