package routing

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

var start = time.Unix(1_000_000, 0)

func testShard(n int) *domain.Shard {
	sh := &domain.Shard{}
	for i := range n {
		sh.Searchers = append(sh.Searchers, domain.Searcher{ID: fmt.Sprintf("s%d", i), Slots: 2, FailureDomain: "near"})
	}

	return sh
}

func choose(t *testing.T, tb *Table, now time.Time, sh *domain.Shard) Choice {
	t.Helper()

	c, ok := tb.Choose(now, Request{Shard: sh, LocalDomain: "near"})
	require.True(t, ok, "refused: %s", c.Refusal)

	return c
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// eject fails requests at id until it is ejected and no longer a last resort, and
// returns the time of the last failure.
func eject(tb *Table, sh *domain.Shard, id string) time.Time {
	now := start

	for range maxFailures {
		for {
			c, _ := tb.Choose(now, Request{Shard: sh, LocalDomain: "near"})
			if c.Searcher.ID == id {
				tb.Release(now, id, Unreachable, ms(1), nil)

				break
			}

			tb.Release(now, c.Searcher.ID, Cancelled, 0, nil)

			now = now.Add(ms(10))
		}
	}

	return now
}

// Guards against a queue of other instances' requests that is ignored although
// the searcher reports it.
func TestReportedQueueCounts(t *testing.T) {
	var tb Table

	sh := testShard(2)
	c := choose(t, &tb, start, sh)
	tb.Release(start.Add(ms(5)), c.Searcher.ID, Answered, ms(5), &Load{Running: 2, Queued: 6, Service: ms(5)})

	other := choose(t, &tb, start.Add(ms(6)), sh)
	require.NotEqual(t, c.Searcher.ID, other.Searcher.ID)
	tb.Release(start.Add(ms(11)), other.Searcher.ID, Answered, ms(5), &Load{Service: ms(5)})

	p := tb.ServiceLoad(start.Add(ms(12)), &domain.Service{PartitionMap: domain.PartitionMap{Shards: []domain.Shard{*sh}}}, "near",
		func(uint32, string) bool { return true })
	require.Positive(t, p.Free)
}

// Guards against work for a draining searcher, for each source of that state.
func TestDrainingSearcherGetsNoWork(t *testing.T) {
	for name, drain := range map[string]func(tb *Table, sh *domain.Shard){
		"operator":      func(_ *Table, sh *domain.Shard) { sh.Searchers[0].Draining = true },
		"platform list": func(tb *Table, _ *domain.Shard) { tb.SetLeaving([]string{"s0"}) },
		"status":        func(tb *Table, _ *domain.Shard) { tb.SetStatus(start, "s0", true, &Load{Draining: true}) },
		"answer": func(tb *Table, sh *domain.Shard) {
			for c := choose(t, tb, start, sh); ; c = choose(t, tb, start, sh) {
				if c.Searcher.ID == "s0" {
					tb.Release(start, "s0", Answered, ms(5), &Load{Draining: true})

					return
				}
			}
		},
		"refusal": func(tb *Table, sh *domain.Shard) {
			for c := choose(t, tb, start, sh); ; c = choose(t, tb, start, sh) {
				if c.Searcher.ID == "s0" {
					tb.Release(start, "s0", Draining, ms(1), nil)

					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var tb Table

			sh := testShard(3)
			drain(&tb, sh)

			for range 20 {
				require.NotEqual(t, "s0", choose(t, &tb, start.Add(ms(1)), sh).Searcher.ID)
			}
		})
	}
}

// Guards against health signals that exclude all searchers of a service.
func TestHealthSignalsAboutMostSearchersAreIgnored(t *testing.T) {
	var tb Table

	sh := testShard(4)
	tb.Configure(&domain.Configuration{Services: []domain.Service{{
		Name: "booking", PartitionMap: domain.PartitionMap{Shards: []domain.Shard{*sh}},
	}}})

	seen := func() map[string]bool {
		used := make(map[string]bool)

		for range 40 {
			c := choose(t, &tb, start, sh)
			used[c.Searcher.ID] = true
			tb.Release(start, c.Searcher.ID, Refused, 0, nil)
		}

		return used
	}

	tb.SetLeaving([]string{"s0", "s1"})
	require.Len(t, seen(), 2, "signals about half of the service count")
	tb.SetLeaving([]string{"s0", "s1", "s2"})
	require.Len(t, seen(), 4, "signals about more than half are ignored")
}

// Guards against queries that each try an ejected searcher, and against a searcher
// that stays ejected after it answers again.
func TestEjectedSearcherGetsOneProbeAtATime(t *testing.T) {
	var tb Table

	sh := testShard(2)
	now := eject(&tb, sh, "s0")

	require.Equal(t, "s1", choose(t, &tb, now.Add(ms(1)), sh).Searcher.ID)

	now = now.Add(maxBackoff)
	probe := choose(t, &tb, now, sh)
	require.Equal(t, "s0", probe.Searcher.ID)
	require.True(t, probe.Probe)

	for range 10 {
		require.Equal(t, "s1", choose(t, &tb, now, sh).Searcher.ID, "a probe is outstanding")
	}

	tb.Release(now.Add(ms(5)), "s0", Answered, ms(5), &Load{Service: ms(5)})
	require.Equal(t, "s0", choose(t, &tb, now.Add(ms(5)), sh).Searcher.ID)
}

// Guards against a searcher that stops answering and is ejected only when its
// connections break.
func TestOverdueRequestsEject(t *testing.T) {
	var tb Table

	sh := testShard(1)
	now := start

	for range overdueRequests {
		choose(t, &tb, now, sh)
		now = now.Add(ms(50))
		tb.Release(now, "s0", Cancelled, ms(50), nil)
	}

	for range maxFailures {
		now = now.Add(maxBackoff)
		require.True(t, choose(t, &tb, now, sh).Probe)
		now = now.Add(ms(50))
		tb.Release(now, "s0", Cancelled, ms(50), nil)
	}

	c, ok := tb.Choose(now, Request{Shard: sh})
	require.False(t, ok)
	require.Equal(t, domain.CodeNoLiveSearcher, c.Refusal)
}

// Guards against a shard that fails because of one broken connection.
func TestOneFailureKeepsTheLastSearcher(t *testing.T) {
	var tb Table

	sh := testShard(1)

	choose(t, &tb, start, sh)
	tb.Release(start, "s0", Unreachable, ms(1), nil)
	choose(t, &tb, start.Add(ms(1)), sh)
}

// Guards against requests that cross failure domains needlessly, and against a
// searcher in the same domain that is preferred however long its queue.
func TestLocalDomainIsPreferred(t *testing.T) {
	var tb Table

	sh := testShard(2)
	sh.Searchers[1].FailureDomain = "far"

	for range 2 {
		require.Equal(t, "s0", choose(t, &tb, start, sh).Searcher.ID)
	}

	used := make(map[string]int)
	for range 8 {
		used[choose(t, &tb, start, sh).Searcher.ID]++
	}

	require.Positive(t, used["s1"])
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 5, 64} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var tb Table

			sh := testShard(n)
			r := Request{Shard: sh, LocalDomain: "near", Eligible: func(string) bool { return true }}

			b.ReportAllocs()

			for b.Loop() {
				c, _ := tb.Choose(start, r)
				tb.Release(start, c.Searcher.ID, Cancelled, 0, nil)
			}
		})
	}
}

// Guards against searchers without samples being assumed fast: with hundreds of
// searchers that each answer an instance every few seconds, slow, paused and
// remote ones were chosen as often as others.
func TestUnknownSearchersGetTheMeanEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	sh := &domain.Shard{Searchers: []domain.Searcher{
		{ID: "known", FailureDomain: "a", Slots: 2}, {ID: "unknown", FailureDomain: "b", Slots: 2},
	}}
	table := &Table{}
	ask := func(avoid ...string) Choice {
		c, ok := table.Choose(now, Request{Shard: sh, LocalDomain: "a", Class: "list", Avoid: avoid, ExcludeLast: len(avoid) > 0})
		require.True(t, ok)

		return c
	}

	for range 20 {
		c := ask("unknown")
		require.Equal(t, "known", c.Searcher.ID)

		now = now.Add(28 * time.Millisecond)
		table.ReleaseClass(now, "known", "list", Answered, 28*time.Millisecond, &Load{})
	}

	c := ask()
	require.Equal(t, "known", c.Searcher.ID)
	table.ReleaseClass(now, "known", "list", Answered, 28*time.Millisecond, &Load{})

	c = ask("known")
	require.Equal(t, "unknown", c.Searcher.ID)
	require.GreaterOrEqual(t, c.Expected, 28*time.Millisecond)
}

// Guards against a slow searcher that never counts as slow because its requests
// are all cancelled in favour of their hedges, and against one that keeps a high
// estimate after a short pause.
func TestCancelledRequestsRevealSlowSearchers(t *testing.T) {
	now := time.Unix(1000, 0)
	sh := &domain.Shard{Searchers: []domain.Searcher{{ID: "s", Slots: 2}}}
	table := &Table{}
	expected := func() time.Duration {
		c, ok := table.Choose(now, Request{Shard: sh, Class: "list"})
		require.True(t, ok)
		table.ReleaseClass(now, "s", "list", Refused, 0, nil)

		return c.Expected
	}

	for range 20 {
		_, ok := table.Choose(now, Request{Shard: sh, Class: "list"})
		require.True(t, ok)

		now = now.Add(100 * time.Millisecond)
		table.ReleaseClass(now, "s", "list", Answered, 20*time.Millisecond, &Load{})
	}

	require.Less(t, expected(), 40*time.Millisecond)

	_, ok := table.Choose(now, Request{Shard: sh, Class: "list"})
	require.True(t, ok)

	now = now.Add(150 * time.Millisecond)
	table.ReleaseClass(now, "s", "list", Cancelled, 150*time.Millisecond, nil)
	require.GreaterOrEqual(t, expected(), 150*time.Millisecond)

	now = now.Add(time.Second)
	require.Less(t, expected(), 40*time.Millisecond, "three mean gaps have passed")
}
