package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/domain"
)

// Guards against requests, hedges and probes to a searcher that asked for a pause, against
// a pause that a later answer shortens, and against one that outlives the incarnation that
// asked for it.
func TestPausedSearchersGetNoRequests(t *testing.T) {
	refused := func(tb *Table, now time.Time, sh *domain.Shard) bool {
		for _, r := range []Request{{Shard: sh}, {Shard: sh, Hedge: true}, {Shard: sh, NoProbe: true}} {
			c, ok := tb.Choose(now, r)
			if ok {
				tb.Release(now, c.Searcher.ID, Cancelled, 0, nil)

				return false
			}

			require.Equal(t, domain.CodeOverloaded, c.Refusal)
		}

		return true
	}

	var tb Table

	sh := testShard(1)
	sr := &sh.Searchers[0]
	sr.Incarnation = 7

	_, changed := tb.Pause(start, sr, 0)
	require.False(t, changed)
	require.False(t, refused(&tb, start, sh))

	until, changed := tb.Pause(start, sr, 2*time.Second)
	require.True(t, changed)
	require.False(t, until.Before(start.Add(2*time.Second)))
	require.False(t, until.After(start.Add(2200*time.Millisecond)))
	require.Equal(t, until, tb.PausedUntil(start, sh))

	_, changed = tb.Pause(start, sr, time.Second)
	require.False(t, changed, "it isn't shortened")
	require.True(t, refused(&tb, until.Add(-1), sh))
	tb.Retain(func(string) bool { return false })
	require.False(t, refused(&tb, until, sh))
	require.Zero(t, tb.PausedUntil(until, sh))

	until, _ = tb.Pause(until, sr, 10*maxPause)
	require.False(t, until.After(start.Add(3*time.Second+maxPause+maxPause/10)))

	successor := testShard(1)
	successor.Searchers[0].Incarnation = 8
	require.False(t, refused(&tb, start.Add(time.Minute), successor))

	// A probe of an ejected searcher waits as well.
	var ejected Table

	eject(&ejected, sh, sr.ID)
	until, _ = ejected.Pause(start.Add(time.Minute), sr, 20*time.Second)
	require.True(t, refused(&ejected, until.Add(-1), sh))
}

// Guards against a request to a paused searcher in any order of pauses, answers and time.
func TestPauseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tb Table

		sh, now := testShard(2), start
		ends := make(map[string]time.Time)

		t.Repeat(map[string]func(*rapid.T){
			"pause": func(t *rapid.T) {
				sr := &sh.Searchers[rapid.IntRange(0, 1).Draw(t, "searcher")]
				d := time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "ms")) * time.Millisecond

				tb.Pause(now, sr, d)

				if end := now.Add(d); d > 0 && end.After(ends[sr.ID]) {
					ends[sr.ID] = end
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"request": func(t *rapid.T) {
				c, ok := tb.Choose(now, Request{Shard: sh, Hedge: rapid.Bool().Draw(t, "hedge")})
				if !ok {
					return
				}

				if now.Before(ends[c.Searcher.ID]) {
					t.Fatalf("%s gets a request in its pause", c.Searcher.ID)
				}

				o := rapid.SampledFrom([]Outcome{Answered, Shed, Unreachable, Cancelled, Refused}).Draw(t, "outcome")
				tb.Release(now, c.Searcher.ID, o, ms(5), nil)
			},
		})
	})
}
