// Requests that may end the searchers that run them: canaries, and shards that are held.

package scatter

import (
	"time"

	"primrosespring.example/internal/domain"
)

// maxLostSearchers is how many searchers may end under a query before any shard has answered.
const maxLostSearchers = 3

// holding reports whether shards wait for the answer of another one before they are tried
// again.
func (q *Query) holding() bool { return q.lostSearchers > 0 && q.included == 0 }

// proceed does what is due if nothing is outstanding: it sends the next canary, or ends a query
// whose shards would wait for an answer that can't come.
func (q *Query) proceed(now time.Time, s *Step) {
	if q.included > 0 || q.unsettled == 0 || q.waiting() {
		return
	}

	if q.params.Canary && !q.holding() {
		q.sendCanary(now, s)

		return
	}

	if !q.holding() {
		return
	}

	q.markAllMissing(domain.CodeSearcherUnavailable)
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

// sendCanary sends the first attempt of the next shard that has a searcher and none yet.
func (q *Query) sendCanary(now time.Time, s *Step) {
	n := uint32(len(q.shards))

	for i := range n {
		shard := (q.params.CanaryShard + i) % n
		if sh := &q.shards[shard]; sh.settled() || sh.sent > 0 {
			continue
		}

		if a := q.sendFirst(now, shard, s); a != nil || q.shards[shard].ticket != 0 {
			return
		}
	}
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
