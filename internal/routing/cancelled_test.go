package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against a slow searcher whose estimate falls to the elapsed time of an
// attempt that was cancelled early or before it was sent.
func TestEarlyCancellationsKeepTheSlowEstimate(t *testing.T) {
	var table Table

	now := time.Unix(1000, 0)
	shard := &domain.Shard{Searchers: []domain.Searcher{{ID: "slow", Slots: 2}}}
	choose := func() Choice {
		c, ok := table.Choose(now, Request{Shard: shard, Class: "r"})
		require.True(t, ok)

		return c
	}

	choose()
	table.ReleaseClass(now, "slow", "r", Answered, 20*time.Millisecond, nil)
	choose()

	now = now.Add(150 * time.Millisecond)
	table.ReleaseClass(now, "slow", "r", Cancelled, 150*time.Millisecond, nil)
	choose()
	table.ReleaseClass(now, "slow", "r", Cancelled, 0, nil)
	require.GreaterOrEqual(t, choose().Service, 150*time.Millisecond)
}
