package scatter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/routing"
)

// countingRouter counts the reservations of each searcher that aren't released.
type countingRouter struct {
	table    routing.Table
	reserved map[string]int
}

func (c *countingRouter) Choose(now time.Time, r routing.Request) (routing.Choice, bool) {
	choice, ok := c.table.Choose(now, r)
	if ok {
		c.reserved[choice.Searcher.ID]++
	}

	return choice, ok
}

func (c *countingRouter) Discard(now time.Time, sr *domain.Searcher, sendBy time.Time) {
	c.reserved[sr.ID]--
	c.table.Discard(now, sr, sendBy)
}

func (c *countingRouter) Release(now time.Time, searcher string, o routing.Outcome, latency time.Duration, load *routing.Load) {
	c.reserved[searcher]--
	c.table.Release(now, searcher, o, latency, load)
}

func testService(shards, searchers int, rules domain.Rules) *domain.Service {
	s := &domain.Service{Name: "booking", Rules: rules}

	for i := range shards {
		sh := domain.Shard{Number: uint32(i)}
		for j := range searchers {
			sh.Searchers = append(sh.Searchers, domain.Searcher{ID: fmt.Sprintf("s%d-%d", i, j), Slots: 2})
		}

		s.PartitionMap.Shards = append(s.PartitionMap.Shards, sh)
	}

	return s
}

var start = time.Unix(1_000_000, 0)

// Guards against reservations that are never released or released twice, shards that
// are counted twice or not at all, more attempts than the rules allow, steps that are lost or
// cancel what they never sent, and queries that end twice or never, in any order of answers,
// failures and timers, before and after the objective.
func TestQueryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := domain.Rules{
			TimeoutMS: 200, MaxAttempts: rapid.Uint32Range(1, 4).Draw(t, "max attempts"), ExtraLoadPermille: 500,
			MinCoveragePermille: rapid.SampledFrom([]uint32{1, 500, 750, 1000}).Draw(t, "coverage"), PartialWaitMS: rapid.SampledFrom([]uint32{0, 20}).Draw(t, "partial wait"),
		}
		rules.Hedging = rules.MaxAttempts > 1 && rapid.Bool().Draw(t, "hedging")
		svc := testService(rapid.IntRange(1, 5).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "searchers"), rules)
		deadline := start.Add(rules.Timeout())
		r := &countingRouter{reserved: make(map[string]int)}

		var objective time.Time
		if d := rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "objective"); d > 0 {
			objective = start.Add(d)
		}

		q := New(Params{
			Service: svc, Deadline: deadline, Eligible: func(uint32, string) bool { return true }, Objective: objective,
			EndEarly: rapid.Bool().Draw(t, "end early"), RetryShed: rapid.Bool().Draw(t, "retry shed"),
			Canary: rapid.Bool().Draw(t, "canary"), CanaryShard: rapid.Uint32().Draw(t, "canary shard"),
			MaxLostSearchers: rapid.IntRange(0, 3).Draw(t, "lost searchers"),
			HedgeFrom:        start.Add(rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second}).Draw(t, "hedge from")),
		}, r, &hedging.Delayer{}, drawnBudget{firstShardBudget: &firstShardBudget{}, pays: rapid.Bool().Draw(t, "pays")})

		var running []uint32

		now, wake, done, ended := start, time.Time{}, 0, map[uint32]bool{}
		sent, notRun := make([]int, len(svc.PartitionMap.Shards)), make([]int, len(svc.PartitionMap.Shards))
		shardOf := make(map[uint32]uint32)
		apply := func(s Step) {
			for _, id := range s.Cancel {
				require.Contains(t, running, id, "a cancelled attempt has been sent and hasn't ended")
				require.False(t, ended[id], "attempt %d ended twice", id)
				ended[id] = true
				running = slices.DeleteFunc(running, func(o uint32) bool { return o == id })
			}

			// The driver cancels before it sends.
			for _, a := range s.Send {
				require.Len(t, shardOf, int(a.ID), "the driver keeps the attempts by their ids")
				running = append(running, a.ID)
				shardOf[a.ID] = a.Shard
				sent[a.Shard]++
			}

			if s.Done {
				done++
			} else if done == 0 {
				require.False(t, s.Wake.IsZero())
				require.False(t, s.Wake.After(deadline))
				wake = s.Wake
			}
		}

		apply(q.Start(now))

		for done == 0 {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond}).Draw(t, "step"))

			// The driver calls Advance when it is due.
			if len(running) == 0 || !now.Before(wake) {
				now = wake
				apply(q.Advance(now))

				continue
			}

			id := rapid.SampledFrom(running).Draw(t, "attempt")
			running = slices.DeleteFunc(running, func(o uint32) bool { return o == id })
			ended[id] = true

			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 4, 5:
				apply(q.FailedWithSearcher(now, id, routing.Unreachable, domain.CodeSearcherUnavailable))
			case 0:
				notRun[shardOf[id]]++
				apply(q.Failed(now, id, routing.Shed, domain.CodeOverloaded))
			case 1:
				apply(q.Failed(now, id, routing.Unreachable, domain.CodeSearcherUnavailable))
			case 2:
				notRun[shardOf[id]]++
				q.MarkUnsent(id)
				apply(q.Failed(now, id, routing.Unreachable, domain.CodeSearcherUnavailable))
			case 3:
				apply(q.FailedPermanently(now, id, routing.Refused, domain.CodeSearcherFailed))
			default:
				apply(q.Answered(now, id, nil))
			}
		}

		require.Empty(t, running, "attempts left running")
		require.False(t, now.After(deadline), "ended after the deadline")

		for id, n := range r.reserved {
			require.Zero(t, n, "reservations at %s", id)
		}

		for shard, n := range sent {
			require.LessOrEqual(t, n, int(rules.MaxAttempts)+notRun[shard])
		}

		c := q.Coverage()
		shards := slices.Clone(c.Included)

		for _, m := range c.Missing {
			require.NotEmpty(t, m.Reason)
			shards = append(shards, m.Shard)
		}

		slices.Sort(shards)
		require.Len(t, slices.Compact(shards), len(svc.PartitionMap.Shards), "coverage is a partition of the shards")
		require.Equal(t, len(svc.PartitionMap.Shards), len(c.Included)+len(c.Missing))

		// Late events change nothing.
		for id := range ended {
			require.False(t, q.Answered(now, id, nil).Done)
		}

		require.False(t, q.Advance(deadline).Done)
		require.Equal(t, c, q.Coverage())
	})
}

func startQuery(t *testing.T, attempts uint32) (*Query, Step) {
	t.Helper()

	svc := testService(1, 2, domain.Rules{
		TimeoutMS: 1000, MaxAttempts: attempts, ExtraLoadPermille: 50, Hedging: true, MinCoveragePermille: 1000,
	})
	q := New(Params{
		Service: svc, Deadline: start.Add(time.Second), Eligible: func(uint32, string) bool { return true },
	}, &routing.Table{}, &hedging.Delayer{}, budget.Shared{Budget: &budget.Budget{}})
	s := q.Start(start)
	require.Len(t, s.Send, 1)

	return q, s
}

// Guards against a retry at the searcher that has just failed.
func TestRetryUsesAnotherSearcher(t *testing.T) {
	q, first := startQuery(t, 3)
	s := q.Failed(start.Add(time.Millisecond), 0, routing.Unreachable, domain.CodeSearcherUnavailable)
	require.Len(t, s.Send, 1)
	require.Equal(t, Retry, s.Send[0].Reason)
	require.NotEqual(t, first.Send[0].Searcher.ID, s.Send[0].Searcher.ID)
}

// Guards against a shard that is marked as missing because its hedge failed while the
// first attempt is still outstanding.
func TestFirstAttemptAnswersAfterItsHedgeFailed(t *testing.T) {
	q, first := startQuery(t, 2)
	s := q.Advance(first.Wake)
	require.Len(t, s.Send, 1)
	require.Equal(t, Hedge, s.Send[0].Reason)

	s = q.Failed(first.Wake.Add(time.Millisecond), s.Send[0].ID, routing.Unreachable, domain.CodeSearcherUnavailable)
	require.False(t, s.Done)

	s = q.Answered(first.Wake.Add(10*time.Millisecond), 0, nil)
	require.True(t, s.Done)
	require.True(t, q.Coverage().Whole())
}

// Guards against a first attempt that keeps its slot after its hedge has answered.
func TestSlowerAttemptIsCancelled(t *testing.T) {
	q, first := startQuery(t, 2)
	hedge := q.Advance(first.Wake)
	s := q.Answered(first.Wake.Add(5*time.Millisecond), hedge.Send[0].ID, nil)
	require.True(t, s.Done)
	require.Equal(t, []uint32{0}, s.Cancel)
}

// Guards against a query that waits until its deadline for a shard without a usable
// searcher.
func TestShardWithoutSearcherIsMissingAtOnce(t *testing.T) {
	svc := testService(2, 1, domain.Rules{TimeoutMS: 1000, MaxAttempts: 3, MinCoveragePermille: 500})
	svc.PartitionMap.Shards[1].Searchers[0].Draining = true
	q := New(Params{
		Service: svc, Deadline: start.Add(time.Second), Eligible: func(uint32, string) bool { return true },
	}, &routing.Table{}, &hedging.Delayer{}, budget.Shared{Budget: &budget.Budget{}})
	require.False(t, q.Start(start).Done)
	require.True(t, q.Answered(start.Add(time.Millisecond), 0, nil).Done)
	require.Equal(t, domain.CodeSearcherDraining, q.Coverage().Missing[0].Reason)
}

// Guards against a final step that cancels an attempt which it also sends. The driver
// hasn't begun that attempt, and an instance at adunni-search exited because of it (test
// day mix, seed 650167276745). It happens when one shard is hedged in the step in which
// another becomes missing and no acceptable coverage is left.
func TestFinalStepSendsNothing(t *testing.T) {
	rules := domain.Rules{TimeoutMS: 1000, MaxAttempts: 2, ExtraLoadPermille: 500, MinCoveragePermille: 1000, Hedging: true}
	svc := testService(2, 2, rules)
	q := New(Params{
		Service: svc, Deadline: start.Add(time.Second), Objective: start.Add(10 * time.Millisecond), EndEarly: true,
		Eligible: func(uint32, string) bool { return true },
	}, &routing.Table{}, &hedging.Delayer{}, &firstShardBudget{})

	s := q.Start(start)
	require.Len(t, s.Send, 2)

	s = q.Failed(start.Add(5*time.Millisecond), s.Send[1].ID, routing.Shed, domain.CodeOverloaded)
	require.False(t, s.Done)

	// Both the hedge of the first shard and the retry of the second are due.
	s = q.Advance(start.Add(200 * time.Millisecond))
	require.True(t, s.Done)
	require.Empty(t, s.Send)
	require.Equal(t, []uint32{0}, s.Cancel)
}

// firstShardBudget allows extra attempts for the first shard only.
type firstShardBudget struct{}

// Fill implements Budget.
func (*firstShardBudget) Fill(int, uint32) {}

// Take implements Budget.
func (*firstShardBudget) Take(shard uint32, _ budget.Kind) bool { return shard == 0 }

// Return implements Budget.
func (*firstShardBudget) Return(uint32) {}

// Move implements Budget.
func (*firstShardBudget) Move(uint32, time.Time, time.Time) {}

// Level implements Budget.
func (*firstShardBudget) Level(uint32) float64 { return 1 }

// Observe implements Budget.
func (*firstShardBudget) Observe(uint32, bool) {}

// Insufficient implements Budget.
func (*firstShardBudget) Insufficient(uint32, float64) bool { return false }

// drawnBudget allows extra attempts for all shards, or for none.
type drawnBudget struct {
	*firstShardBudget

	pays bool
}

// Take implements Budget.
func (b drawnBudget) Take(uint32, budget.Kind) bool { return b.pays }

// levelBudget returns a fixed level.
type levelBudget struct {
	*firstShardBudget

	level float64
}

// Level implements Budget.
func (b levelBudget) Level(uint32) float64 { return b.level }

// fixedRouter chooses the searchers in order, with a fixed expected latency.
type fixedRouter struct {
	routing.Table
	expected time.Duration
	guessed  bool
}

// Choose implements Router.
func (r *fixedRouter) Choose(_ time.Time, req routing.Request) (routing.Choice, bool) {
	return routing.Choice{Searcher: &req.Shard.Searchers[len(req.Avoid)], Expected: r.expected, Service: r.expected, Guessed: r.guessed}, true
}

// Release implements Router.
func (r *fixedRouter) Release(time.Time, string, routing.Outcome, time.Duration, *routing.Load) {}

// Guards against hedges of healthy attempts that use up a scarce budget, hedges too
// late to answer within the objective, and hedges of every shard in the first query of
// a class, whose latencies are unknown.
func TestHedgeDelayGrowsAsBudgetIsSpent(t *testing.T) {
	for name, c := range map[string]struct {
		level    float64
		expected time.Duration
		guessed  bool
		due      time.Duration
	}{
		"ample":           {level: 1, expected: 20 * time.Millisecond, due: 80 * time.Millisecond},
		"half spent":      {level: 0.25, expected: 20 * time.Millisecond, due: 102500 * time.Microsecond},
		"spent":           {level: 0, expected: 20 * time.Millisecond, due: 125 * time.Millisecond},
		"spent, all slow": {level: 0, expected: 45 * time.Millisecond, due: 180 * time.Millisecond},
		"latency unknown": {level: 1, expected: 8 * time.Millisecond, guessed: true, due: 80 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(Params{
				Service:  testService(1, 2, domain.Rules{TimeoutMS: 3000, MaxAttempts: 2, Hedging: true, MinCoveragePermille: 1000}),
				Deadline: start.Add(3 * time.Second), Objective: start.Add(200 * time.Millisecond),
				Eligible: func(uint32, string) bool { return true },
			}, &fixedRouter{expected: c.expected, guessed: c.guessed}, &hedging.Delayer{}, levelBudget{level: c.level})

			require.Equal(t, c.due, q.Start(start).Wake.Sub(start))
		})
	}
}

// classRouter keeps statistics by class, as requests with an objective need.
type classRouter struct{ *routing.Table }

// Choose implements Router.
func (r classRouter) Choose(now time.Time, req routing.Request) (routing.Choice, bool) {
	req.Class, req.RemotePenalty = "short", 6*time.Millisecond

	return r.Table.Choose(now, req)
}

// Release implements Router.
func (r classRouter) Release(now time.Time, searcher string, o routing.Outcome, latency time.Duration, load *routing.Load) {
	r.ReleaseClass(now, searcher, "short", o, latency, load)
}

// Guards against a hedge that goes to the searcher of the stuck attempt, which uses up the
// attempts of the shard: the other searcher, in another failure domain, is expected to
// take longer than the stuck attempt has taken so far. In deployment ikigega-search,
// quiet-1, most of the parts that urgent requests lacked were lost to it.
func TestStuckAttemptsAreHedgedElsewhere(t *testing.T) {
	svc := testService(1, 2, domain.Rules{TimeoutMS: 1000, MaxAttempts: 2, Hedging: true, MinCoveragePermille: 1000})
	searchers := svc.PartitionMap.Shards[0].Searchers
	searchers[0].FailureDomain, searchers[1].FailureDomain = "a", "b"

	r, h := classRouter{&routing.Table{}}, &hedging.Delayer{Quantile: 0.75}
	now := start

	newQuery := func() *Query {
		return New(Params{
			Service: svc, Deadline: now.Add(time.Second), Objective: now.Add(80 * time.Millisecond), LocalDomain: "a",
			Eligible: func(uint32, string) bool { return true },
		}, r, h, levelBudget{level: 1})
	}

	for range 8 {
		_, ok := r.Choose(now, routing.Request{Shard: &domain.Shard{Searchers: searchers[1:]}, LocalDomain: "a"})
		require.True(t, ok)
		r.Release(now, searchers[1].ID, routing.Answered, 20*time.Millisecond, &routing.Load{})
	}

	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		latency := time.Duration(4+i%4) * time.Millisecond
		q := newQuery()

		s := q.Start(now)
		now = now.Add(latency)
		q.Answered(now, s.Send[0].ID, &routing.Load{})
	}

	now = now.Add(10 * time.Millisecond)
	q := newQuery()
	s := q.Start(now)
	require.Equal(t, "a", s.Send[0].Searcher.FailureDomain)

	for len(s.Send) == 0 || s.Send[0].Reason == First {
		now = s.Wake
		s = q.Advance(now)
		require.False(t, s.Done)
	}

	require.Equal(t, "b", s.Send[0].Searcher.FailureDomain)
	require.Empty(t, s.Cancel, "the first attempt goes on")
}

// Guards against a request that is refused though a searcher of its shard lives: attempts that
// reach nobody used up those that the rules allow. A dead shard isn't tried without end, and no
// more searchers are reached than the rules allow.
func TestSearchersThatAreNotReachedDoNotCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		searchers := rapid.IntRange(1, 6).Draw(t, "searchers")
		svc := testService(1, searchers, domain.Rules{TimeoutMS: 200, MaxAttempts: 2, ExtraLoadPermille: 500, MinCoveragePermille: 1000})
		alive := rapid.IntRange(-1, searchers-1).Draw(t, "alive")
		q := New(Params{
			Service: svc, Deadline: start.Add(time.Second), Eligible: func(uint32, string) bool { return true }, EndEarly: true, RetryShed: true,
		}, &countingRouter{reserved: make(map[string]int)}, &hedging.Delayer{}, budget.Shared{Budget: &budget.Budget{}})

		s, tried := q.Start(start), 0

		for !s.Done {
			require.Len(t, s.Send, 1)

			a := s.Send[0]
			tried++

			if alive >= 0 && a.Searcher.ID == fmt.Sprintf("s0-%d", alive) {
				s = q.Answered(start, a.ID, nil)

				continue
			}

			q.MarkUnsent(a.ID)
			s = q.Failed(start, a.ID, routing.Unreachable, domain.CodeSearcherUnavailable)
		}

		require.LessOrEqual(t, tried, searchers+1)
		require.Equal(t, alive >= 0, q.Included() == 1, "%d searchers, number %d lives, %d tried", searchers, alive, tried)
	})
}

// payments is a Budget that counts what each shard has paid for, net of refunds.
type payments struct {
	budget.Shared

	net []int
}

// Take implements Budget.
func (p *payments) Take(shard uint32, _ budget.Kind) bool {
	p.net[shard]++

	return true
}

// Return implements Budget.
func (p *payments) Return(shard uint32) { p.net[shard]-- }

// Guards against extra attempts beyond the budget: a first attempt that never reached its searcher was
// refunded, though it had cost nothing, so that each request to a shard that is down left an extra
// attempt to others. What is paid is the number of attempts that arrive, less the first one.
func TestExtraAttemptsArePaidOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards = 3

		rules := domain.Rules{TimeoutMS: 1000, MaxAttempts: 3, ExtraLoadPermille: 500, MinCoveragePermille: 1000, Hedging: rapid.Bool().Draw(t, "hedging")}
		p := &payments{Shared: budget.Shared{Budget: &budget.Budget{}}, net: make([]int, shards)}
		now := start
		q := New(Params{
			Service: testService(shards, 3, rules), Deadline: now.Add(time.Second), Eligible: func(uint32, string) bool { return true },
			RetryShed: rapid.Bool().Draw(t, "retry shed"), Canary: rapid.Bool().Draw(t, "canary"),
		}, &countingRouter{reserved: make(map[string]int)}, &hedging.Delayer{}, p)

		arrived, open := make([]int, shards), []Attempt(nil)

		for s := q.Start(now); ; {
			open = append(open, s.Send...)

			for _, id := range s.Cancel {
				n := slices.IndexFunc(open, func(a Attempt) bool { return a.ID == id })
				arrived[open[n].Shard]++ // It may have arrived.
				open = slices.Delete(open, n, n+1)
			}

			if s.Done {
				break
			}

			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "time")) * time.Millisecond)

			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "wait") == 0 {
				now = s.Wake
				s = q.Advance(now)

				continue
			}

			n := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
			a := open[n]
			open = slices.Delete(open, n, n+1)

			switch rapid.IntRange(0, 4).Draw(t, "result") {
			case 0:
				arrived[a.Shard]++
				s = q.Answered(now, a.ID, nil)
			case 1:
				arrived[a.Shard]++
				s = q.Failed(now, a.ID, routing.Shed, domain.CodeOverloaded)
			default:
				q.MarkUnsent(a.ID)
				s = q.Failed(now, a.ID, routing.Unreachable, domain.CodeSearcherUnavailable)
			}
		}

		for _, a := range open {
			arrived[a.Shard]++ // It may have arrived.
		}

		for i := range shards {
			require.Equal(t, max(arrived[i]-1, 0), p.net[i], "shard %d, %d arrivals", i, arrived[i])
		}
	})
}

// Guards against an instance that exits since a step is lost: the canary of a query under which a searcher has ended
// answers after the objective, when the coverage suffices. The attempts that wait for the first answer were added to a
// step that nobody carried out, and the next one cancelled them; what the lost step cancelled ran on.
func TestLateCanariesEndTheQuery(t *testing.T) {
	rules := domain.Rules{TimeoutMS: 1000, MaxAttempts: 3, ExtraLoadPermille: 500, MinCoveragePermille: 500}
	svc := testService(2, 2, rules)
	r := &countingRouter{reserved: make(map[string]int)}
	q := New(Params{
		Service: svc, Deadline: start.Add(time.Second), Objective: start.Add(100 * time.Millisecond), EndEarly: true, RetryShed: true,
		Eligible: func(uint32, string) bool { return true }, MaxLostSearchers: 2,
	}, r, &hedging.Delayer{}, drawnBudget{pays: true})

	s := q.Start(start)
	require.Len(t, s.Send, 2)

	s = q.FailedWithSearcher(start.Add(10*time.Millisecond), s.Send[1].ID, routing.Unreachable, domain.CodeSearcherUnavailable)
	require.Equal(t, []uint32{0}, s.Cancel)
	require.Len(t, s.Send, 1)
	canary := s.Send[0]

	s = q.Answered(start.Add(150*time.Millisecond), canary.ID, nil)
	require.True(t, s.Done)
	require.Empty(t, s.Send)
	require.Empty(t, s.Cancel)
	require.Equal(t, 1, q.Included())

	for id, n := range r.reserved {
		require.Zero(t, n, "reservations at %s", id)
	}
}

// Guards against an attempt that goes on at its searcher after its hedge has answered, past the objective.
func TestAnswersPastTheObjectiveCancelTheirHedge(t *testing.T) {
	rules := domain.Rules{TimeoutMS: 1000, MaxAttempts: 2, ExtraLoadPermille: 500, MinCoveragePermille: 500, Hedging: true}
	q := New(Params{
		Service: testService(2, 2, rules), Deadline: start.Add(time.Second), Objective: start.Add(10 * time.Millisecond), EndEarly: true,
		Eligible: func(uint32, string) bool { return true },
	}, &routing.Table{}, &hedging.Delayer{}, drawnBudget{pays: true})

	q.Start(start)

	s := q.Advance(start.Add(200 * time.Millisecond))
	require.Len(t, s.Send, 2)

	s = q.Answered(start.Add(210*time.Millisecond), s.Send[0].ID, nil)
	require.True(t, s.Done)
	require.ElementsMatch(t, []uint32{0, 1, 3}, s.Cancel)
}

// movedBudget records the attempts that are counted later than they were taken.
type movedBudget struct {
	drawnBudget

	moved [][2]time.Duration
}

// Move implements Budget.
func (b *movedBudget) Move(_ uint32, from, to time.Time) {
	b.moved = append(b.moved, [2]time.Duration{from.Sub(start), to.Sub(start)})
}

// Guards against more attempts in a window than are allowed, since those that waited for a connection count when they
// were paid for and not when they arrive: the second to be written is the extra one, whichever was paid for.
func TestAttemptsCountWhenTheyAreWritten(t *testing.T) {
	b := &movedBudget{drawnBudget: drawnBudget{pays: true}}
	q := New(Params{
		Service:  testService(1, 3, domain.Rules{TimeoutMS: 3000, MaxAttempts: 3, Hedging: true, MinCoveragePermille: 1000}),
		Deadline: start.Add(3 * time.Second), Eligible: func(uint32, string) bool { return true }, RetryShed: true,
	}, &routing.Table{}, &hedging.Delayer{}, b)

	first := q.Start(start)
	hedge := q.Advance(first.Wake)
	require.Len(t, hedge.Send, 1)

	paid := first.Wake.Sub(start)

	q.Written(start.Add(time.Second), hedge.Send[0].ID)
	require.Empty(t, b.moved, "it is the first to arrive")

	q.Written(start.Add(2*time.Second), first.Send[0].ID)
	require.Equal(t, [][2]time.Duration{{paid, 2 * time.Second}}, b.moved)

	q.Written(start.Add(2100*time.Millisecond), first.Send[0].ID)
	require.Len(t, b.moved, 1, "an attempt is written once")

	// Nothing of it arrived: the next one to be written is the second again.
	q.MarkUnsent(first.Send[0].ID)

	retry := q.Failed(start.Add(2200*time.Millisecond), first.Send[0].ID, routing.Unreachable, domain.CodeSearcherUnavailable)
	if len(retry.Send) == 0 {
		retry = q.Advance(retry.Wake)
	}

	require.Len(t, retry.Send, 1)
	q.Written(start.Add(2500*time.Millisecond), retry.Send[0].ID)
	require.Len(t, b.moved, 2)
	require.Equal(t, 2500*time.Millisecond, b.moved[1][1])
}
