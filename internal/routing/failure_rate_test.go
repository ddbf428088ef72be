package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against a searcher that fails half of its requests fast, passes its
// health check and still gets half of all requests (fault srv_grey), and against
// a searcher that is avoided forever after it has recovered.
func TestSearchersThatFailPartOfTheirRequestsAreAvoided(t *testing.T) {
	var (
		table     Table
		grey      int
		greyTotal int
	)

	now := time.Unix(1000, 0)
	shard := &domain.Shard{Searchers: []domain.Searcher{{ID: "grey", Slots: 2}, {ID: "good", Slots: 2}}}
	send := func(failing bool) string {
		c, ok := table.Choose(now, Request{Shard: shard, Class: "r"})
		require.True(t, ok)

		now = now.Add(20 * time.Millisecond)

		if c.Searcher.ID == "grey" {
			greyTotal++
		}

		if failing && c.Searcher.ID == "grey" && greyTotal%2 == 0 {
			table.ReleaseClass(now, "grey", "r", Refused, time.Millisecond, nil)
		} else {
			table.ReleaseClass(now, c.Searcher.ID, "r", Answered, 20*time.Millisecond, &Load{Running: 1})
		}

		now = now.Add(20 * time.Millisecond)

		return c.Searcher.ID
	}

	for range 100 {
		if send(true) == "grey" {
			grey++
		}
	}

	// The searcher gets its share until a request fails and is then retried every
	// few seconds; 100 requests take 4 s.
	require.Less(t, grey, 20)

	now = now.Add(20 * time.Second)
	grey = 0

	for range 100 {
		if send(false) == "grey" {
			grey++
		}
	}

	require.Greater(t, grey, 30)
}
