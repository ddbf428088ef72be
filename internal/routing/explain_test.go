package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against an explanation that draws random numbers, counts as the probe
// that is due, or adds searchers to the table.
func TestExplainChangesNothing(t *testing.T) {
	tb := Table{Random: func() uint64 {
		require.Fail(t, "a random number was drawn")

		return 0
	}}
	sh := testShard(3)

	c, infos := tb.Explain(start, Request{Shard: sh, LocalDomain: "near"})
	require.NotNil(t, c.Searcher)
	require.Len(t, infos, 3)
	require.Empty(t, tb.searchers)

	tb.Random = nil
	now := eject(&tb, sh, "s1").Add(maxBackoff)

	for range 3 {
		c, _ = tb.Explain(now, Request{Shard: sh, LocalDomain: "near"})
		require.Equal(t, "s1", c.Searcher.ID, "the probe is due")
	}

	require.True(t, choose(t, &tb, now, sh).Probe)
}

// Guards against an ejected searcher shown as usable.
func TestExplainExcludesEjectedSearchers(t *testing.T) {
	var tb Table

	sh := testShard(2)
	now := eject(&tb, sh, "s0")

	c, infos := tb.Explain(now, Request{Shard: sh, LocalDomain: "near"})
	require.Equal(t, "s1", c.Searcher.ID)
	require.Equal(t, domain.CodeNoLiveSearcher, infos[0].Excluded)
	require.Empty(t, infos[1].Excluded)
}
