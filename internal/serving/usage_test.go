package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a bound on queues that follows from a route which is hardly ever
// called (operators add routes that nobody calls), has other shards, or was last
// called long ago.
func TestShortestObjectiveIsThatOfCommonRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89)
		short := gatheredRoute("short", 20, 100*time.Millisecond, time.Second, 0.75)
		other := gatheredRoute("other", 20, 20*time.Millisecond, time.Second, 0.75)
		other.Shards = []string{"elsewhere"}

		var u usage

		require.Equal(t, list.LatencyObjective, u.shortestObjective(time.Now(), &list))
		require.Equal(t, short.LatencyObjective, u.shortestObjective(time.Now(), &short))
		require.Equal(t, other.LatencyObjective, u.shortestObjective(time.Now(), &other))
		require.Equal(t, short.LatencyObjective, u.shortestObjective(time.Now(), &list))

		for range 30 {
			u.shortestObjective(time.Now(), &list)
		}

		require.Equal(t, list.LatencyObjective, u.shortestObjective(time.Now(), &list), "one request in thirty is short")

		u.shortestObjective(time.Now(), &short)
		require.Equal(t, short.LatencyObjective, u.shortestObjective(time.Now(), &list))
		time.Sleep(10 * usageDecay)
		require.Equal(t, list.LatencyObjective, u.shortestObjective(time.Now(), &list))
		require.Len(t, u.routes, 1, "unused routes are deleted")
	})
}

// Guards against a route with an objective that no searcher can meet, which has all
// other requests refused as soon as any shard has a standing queue.
func TestUnattainableObjectiveLeavesAMinimumWait(t *testing.T) {
	list := gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89)
	unattainable := gatheredRoute("hasty", 20, time.Millisecond, time.Second, 0.75)

	var u usage

	require.Equal(t, 160*time.Millisecond, u.maxWait(time.Now(), &list))
	u.maxWait(time.Now(), &unattainable)
	require.Equal(t, 40*time.Millisecond, u.maxWait(time.Now(), &list))
}
