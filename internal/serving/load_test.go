package serving

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/routing"
)

// A load pattern, with the share of the full worth that has to be reached. The
// bounds are set by what the pattern allows, not by what was measured; each
// comment says how.

// Guards against hedges that come too late for the objective. Searchers pause
// for longer than the objective, here a tenth of the time (500 ms each 5 s), so
// that most gathered requests meet a paused one; the other copy of its shard
// answers in time if it is asked early (day quiet-1 has 250 ms each 6 s).
func TestPausesAreHedgedWithinTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 3, 20, 2, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		s.pause(500*time.Millisecond, 5*time.Second)

		var (
			wg   sync.WaitGroup
			list result
		)

		s.offer(t, &wg, "list", 20, 28*time.Millisecond, 3*time.Second, 20*time.Second, &list)
		wg.Wait()
		// Two of 20 shards meet a pause in the first attempt, one in 100 of them
		// in both, so that a hedge in time makes nearly every answer whole. Nine
		// tenths can't be had with hedges that come after the pause.
		require.Greater(t, list.meanCredit(), 0.9)
	})
}

// Guards against a budget of extra attempts that is used up by hedges of slower
// healthy attempts, so that nothing is left for the stuck ones: one searcher in
// seven is seven times slower, all pause 4% of the time, and the budget allows
// one extra attempt in eleven (grown sites, srv_slow across; agreca-busqueda-grown
// quiet-1, seconds 4 to 12: shards hedged in a query 0 at the 10th percentile, 9
// at the 50th and 49 at the 90th).
func TestScarceHedgesGoToStuckAttempts(t *testing.T) {
	// 200 requests of one seed vary by 0.012 (standard deviation) around their mean.
	const seeds = 5

	var sum float64

	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			sum += meanCreditWithScarceHedges(t, 6+seed)
		})
	}

	// 4% of the first attempts meet a pause and some 3% a slow searcher that is
	// tried again, which is less than the budget of 9%. A hedge meets a stuck
	// searcher itself in one case in ten, so that a query lacks a third of a shard
	// in the mean; one shard costs 0.05, and 0.05 more is for the first seconds in
	// which the slow ones aren't known.
	require.Greater(t, sum/seeds, 0.93)
}

// meanCreditWithScarceHedges plays the pattern of TestScarceHedgesGoToStuckAttempts and returns
// the share of the full worth.
func meanCreditWithScarceHedges(t *testing.T, seed uint64) float64 {
	t.Helper()

	s := newSystem(t, seed, 3, 40, 3, gatheredRoute("list", 40, 200*time.Millisecond, 3*time.Second, 0.95))
	for _, e := range s.engines {
		e.SetExtraAttempts(budget.Limit{Ratio: 0.1, Window: 10 * time.Second})
	}

	var (
		wg         sync.WaitGroup
		warm, list result
	)

	s.pause(250*time.Millisecond, 6*time.Second)

	s.offer(t, &wg, "list", 20, 28*time.Millisecond, 3*time.Second, 5*time.Second, &warm)
	wg.Wait()

	for p := range 40 {
		if p%5 < 2 {
			s.model.servers[searcherID(p, p%3)].slow = 7
		}
	}

	s.offer(t, &wg, "list", 20, 28*time.Millisecond, 3*time.Second, 10*time.Second, &list)
	wg.Wait()

	return list.meanCredit()
}

// Guards against a budget of extra attempts that is spread over all queries and
// serves none: four in five searchers refuse three requests in five for 9 s (day
// scale-1 of adunni-search-grown, seconds 18 to 27: 13 to 38% of the worth).
func TestRefusingSearchersLeaveSomeQueriesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 7, 3, 30, 3, gatheredRoute("list", 30, 200*time.Millisecond, 3*time.Second, 0.95))
		for _, e := range s.engines {
			e.SetExtraAttempts(budget.Limit{Ratio: 0.2, Slack: 200, Window: 10 * time.Second})
		}

		var (
			wg                sync.WaitGroup
			warm, list, after result
		)

		s.offer(t, &wg, "list", 30, 15*time.Millisecond, 3*time.Second, 2*time.Second, &warm)
		wg.Wait()

		shed := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "send attempt", "shed")
		setRefusing := func(refuse bool) {
			for p := range 30 {
				for i := range 3 {
					sv := s.model.servers[searcherID(p, i)]
					sv.refuseShare = 0

					if refuse && (p*3+i)%5 > 0 {
						sv.refuseShare = 0.6
					}
				}
			}
		}
		s.model.refusal = shed

		setRefusing(true)
		s.offer(t, &wg, "list", 30, 15*time.Millisecond, 3*time.Second, 9*time.Second, &list)
		wg.Wait()
		setRefusing(false)
		s.offer(t, &wg, "list", 30, 15*time.Millisecond, 3*time.Second, 4*time.Second, &after)
		wg.Wait()

		// 270 requests allow 0.18 * 270 extra attempts for a shard and 0.85 of the
		// slack of 200, about 0.8 for each request. Two shards in five have no searcher
		// that serves all requests; a request needs 1.5 extra attempts there, so that
		// half of the queries can be served; a third of those is left for shards that
		// need more than the mean. The others must hear at once that nothing ran.
		require.Greater(t, list.meanCredit(), 1.0/3)
		require.Less(t, list.failed, list.requests/5)
		require.Greater(t, after.meanCredit(), 0.9, "no query is refused once the searchers serve again")
	})
}

// Guards against a budget of extra attempts that is spent on attempts which never
// reached a searcher: two copies in three end at once and refuse connections for
// 3 s, before the store says so (incident adunni inc-9b99, seconds 6 to 10: 1,025
// connections refused, 741 retries).
func TestRefusedConnectionsCostNoExtraAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 8, 1, 30, 3, gatheredRoute("list", 30, 200*time.Millisecond, 3*time.Second, 0.95))
		s.engines[0].SetExtraAttempts(budget.Limit{Ratio: 0.1, Window: 10 * time.Second})

		var (
			wg         sync.WaitGroup
			warm, list result
		)

		s.offer(t, &wg, "list", 20, 15*time.Millisecond, 3*time.Second, 2*time.Second, &warm)
		wg.Wait()

		unreachable := domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "send attempt", "connection refused")

		for p := range 30 {
			for i := range 2 {
				s.model.servers[searcherID(p, (p+i)%3)].respond = func(Call) (*Reply, *routing.Load, error) {
					time.Sleep(10 * time.Millisecond)

					return nil, nil, unreachable
				}
			}
		}

		s.offer(t, &wg, "list", 20, 15*time.Millisecond, 3*time.Second, 3*time.Second, &list)
		wg.Wait()

		// Two attempts at most, one of them at a copy that lives once the others are
		// known; only the first queries, of which a third of the shards meet two dead
		// copies, can't be answered.
		require.Greater(t, list.meanCredit(), 0.9)
	})
}

// burst is the outcome of a burst: member lists and quicker requests during it, and
// lists after it.
type burst struct{ list, short, after result }

// runBurst offers 120% of the slots for 6 s: 160 requests of 28 ms and 50 of 9 ms
// need 4.9 of 4 slots of a shard, so that four in five of either kind can be served.
func runBurst(t *testing.T) *burst {
	t.Helper()

	var (
		out burst
		wg  sync.WaitGroup
	)

	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2, 9, 20, 2,
			gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89),
			gatheredRoute("short", 20, 100*time.Millisecond, 1200*time.Millisecond, 0.75))

		var before result

		s.offer(t, &wg, "list", 70, 28*time.Millisecond, 3*time.Second, 3*time.Second, &before)
		wg.Wait()
		s.offer(t, &wg, "list", 160, 28*time.Millisecond, 3*time.Second, 6*time.Second, &out.list)
		s.offer(t, &wg, "short", 50, 9*time.Millisecond, 1200*time.Millisecond, 6*time.Second, &out.short)
		wg.Wait()
		s.offer(t, &wg, "list", 70, 28*time.Millisecond, 3*time.Second, 3*time.Second, &out.after)
		wg.Wait()
	})

	return &out
}

// Guards against the collapse in which queues at the searchers grow until
// nearly every answer is late: a burst that needs 120% of the slots for 6 s (day
// trouble-2, seconds 31 to 36).
func TestBurstIsTurnedAwayBeforeQueuesGrow(t *testing.T) {
	b := runBurst(t)

	// Half is well below the four in five that can be served, and above what is left
	// when queues grow (a third).
	require.Greater(t, b.list.meanCredit(), 0.5)
	require.Greater(t, b.after.meanCredit(), 0.9, "the queues are gone after the burst")
}

// Guards against queues that suit the objective of the slowest kind of request and
// make every answer of the quickest one late, in the same burst (day trouble-2 of
// agreca-busqueda: technician shortlists served within their objective 80% of the
// time and the longer lists 89%).
func TestQuickRequestsAreServedInABurst(t *testing.T) {
	b := runBurst(t)

	// Half is well below the four in five that can be served.
	require.Greater(t, b.list.meanCredit(), 0.5)
	require.Greater(t, b.short.meanCredit(), 0.5)
}

// Guards against requests that are refused though the slots suffice: three
// instances, which hear of each searcher's queue three times as often as nine,
// and searchers that pause (a deployment of 3 instances on day quiet-1: 66 of
// 2,242 tries refused, none of them needlessly with 9 instances).
func TestShortQueuesAreNoReasonToRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 9, 3, 20, 2, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		s.pause(250*time.Millisecond, 6*time.Second)

		var (
			wg         sync.WaitGroup
			warm, list result
		)

		s.offer(t, &wg, "list", 75, 28*time.Millisecond, 3*time.Second, 2*time.Second, &warm)
		wg.Wait()
		s.offer(t, &wg, "list", 75, 28*time.Millisecond, 3*time.Second, 20*time.Second, &list)
		wg.Wait()

		// 75 requests of 28 ms need 2.1 of the 4 slots of a shard. 2 are left while one
		// searcher pauses, so that no queue of 250 ms is long. One in a hundred is for
		// several shards whose searchers pause at once.
		require.LessOrEqual(t, list.refused, list.requests/100)
		require.Greater(t, list.meanCredit(), 0.9)
	})
}

// Guards against work for requests that have ended: shards whose one copy is
// ten times slower leave the other at its limit, and each place in its queue
// that an answered request still holds makes a further one late (day trouble-3).
func TestSlowCopiesAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, 9, 20, 2, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		for p := range 4 {
			s.model.servers[searcherID(p, 0)].slow = 10
		}

		var (
			wg         sync.WaitGroup
			warm, list result
		)

		s.offer(t, &wg, "list", 50, 28*time.Millisecond, 3*time.Second, 2*time.Second, &warm)
		wg.Wait()
		s.offer(t, &wg, "list", 50, 28*time.Millisecond, 3*time.Second, 8*time.Second, &list)
		wg.Wait()

		// The good copy of a shard has 1.4 of 2 slots in use. All four shards
		// missing would make every answer unacceptable, one missing 0.90.
		require.Greater(t, list.meanCredit(), 0.9)
	})
}

// Guards against extra attempts beyond the limit that all instances share, when
// every attempt at a shard fails and every request would like a retry.
func TestExtraAttemptsKeepToTheSharedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 4, 9, 20, 2, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		broken := domain.Errorf(domain.FateUnknown, domain.CodeSearcherFailed, "send attempt", "failed")

		for i := range 2 {
			s.model.servers[searcherID(7, i)].respond = func(Call) (*Reply, *routing.Load, error) { return nil, nil, broken }
		}

		var (
			wg   sync.WaitGroup
			list result
		)

		s.offer(t, &wg, "list", 60, 28*time.Millisecond, 3*time.Second, 10*time.Second, &list)
		wg.Wait()

		arrivals := s.model.arrivals[searcherID(7, 0)] + s.model.arrivals[searcherID(7, 1)]
		extra := arrivals - list.requests
		require.Positive(t, extra, "the failures are retried")
		require.LessOrEqual(t, float64(extra), 0.2*float64(list.requests)+58)
	})
}
