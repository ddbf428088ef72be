package snapshot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

func version(index uint64) domain.Snapshot {
	return domain.Snapshot{IndexVersion: index, PartitionMapVersion: 1}
}

// testService returns a service of two shards: s0 and s1 serve the first, s2 the
// second.
func testService() *domain.Service {
	return &domain.Service{Name: "booking", PartitionMap: domain.PartitionMap{Version: 1, Shards: []domain.Shard{
		{Number: 0, Searchers: []domain.Searcher{{ID: "s0"}, {ID: "s1"}}},
		{Number: 1, Searchers: []domain.Searcher{{ID: "s2"}}},
	}}}
}

func requireChoice(t *testing.T, tb *Table, s *domain.Service, want domain.Snapshot) {
	t.Helper()

	got, ok := tb.Choose(s)
	require.True(t, ok)
	require.Equal(t, want, got)
}

// Guards against a new version that lowers the coverage while it is being distributed,
// and an old one that is kept after that.
func TestChoiceCoversMostShardsThenIsNewest(t *testing.T) {
	var tb Table

	s := testService()

	_, ok := tb.Choose(s)
	require.False(t, ok, "nothing is held")

	tb.Report("booking", 0, "s0", []domain.Snapshot{version(1), version(2)})
	tb.Report("booking", 0, "s1", []domain.Snapshot{version(1), version(2)})
	tb.Report("booking", 1, "s2", []domain.Snapshot{version(1)})
	requireChoice(t, &tb, s, version(1))

	tb.Report("booking", 1, "s2", []domain.Snapshot{version(1), version(2)})
	requireChoice(t, &tb, s, version(2))
}

// Guards against a choice from another partition map, whose shards hold other entries.
func TestOtherPartitionMapsAreIgnored(t *testing.T) {
	var tb Table

	s := testService()

	for shard, searcher := range map[uint32]string{0: "s0", 1: "s2"} {
		tb.Report("booking", shard, searcher, []domain.Snapshot{{IndexVersion: 9, PartitionMapVersion: 2}})
	}

	_, ok := tb.Choose(s)
	require.False(t, ok)

	next := testService()
	next.PartitionMap.Version = 2
	requireChoice(t, &tb, next, domain.Snapshot{IndexVersion: 9, PartitionMapVersion: 2})
}

// Guards against queries that stay pinned to a version that a searcher has refused, and
// against a refusal that also removes its other versions.
func TestReportGoneRemovesOneVersion(t *testing.T) {
	var tb Table

	s := testService()
	tb.Report("booking", 0, "s0", []domain.Snapshot{version(1), version(2)})
	tb.Report("booking", 1, "s2", []domain.Snapshot{version(1), version(2)})
	requireChoice(t, &tb, s, version(2))

	tb.ReportGone("booking", 1, "s2", version(2))
	requireChoice(t, &tb, s, version(1))
	require.False(t, tb.Holds("booking", 1, "s2", version(2)))
	require.True(t, tb.Holds("booking", 1, "s2", version(1)))
	require.True(t, tb.Holds("booking", 0, "s0", version(2)))
}

// Guards against searchers that are chosen for snapshots which they held before they
// were removed from the configuration.
func TestRetainRemovesUnconfiguredSearchers(t *testing.T) {
	var tb Table

	s := testService()
	tb.Report("booking", 0, "s0", []domain.Snapshot{version(1)})
	tb.Report("booking", 0, "s9", []domain.Snapshot{version(1)})
	tb.Retain(&domain.Configuration{Services: []domain.Service{*s}})

	require.True(t, tb.Holds("booking", 0, "s0", version(1)))
	require.False(t, tb.Holds("booking", 0, "s9", version(1)))
}

// Guards against a choice that doesn't cover every shard while their searchers are
// still being polled, and against one that waits for searchers that don't answer.
func TestAwaitChoiceEndsWithThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tb Table

		s := testService()
		c := &domain.Configuration{Version: 7, Services: []domain.Service{*s}}

		await := func() <-chan domain.Snapshot {
			out := make(chan domain.Snapshot, 1)

			go func() {
				got, _ := tb.AwaitChoice(t.Context(), s, c.Version)
				out <- got
			}()

			synctest.Wait()

			return out
		}

		tb.Retain(c)
		tb.Report("booking", 0, "s0", []domain.Snapshot{version(1)})

		chosen := await()
		require.Empty(t, chosen)
		tb.Report("booking", 1, "s2", []domain.Snapshot{version(1)})
		require.Equal(t, version(1), <-chosen)

		// The poll has ended without an answer of s2.
		tb = Table{}
		tb.Retain(c)
		tb.Report("booking", 0, "s0", []domain.Snapshot{version(1)})

		chosen = await()
		tb.MarkPolled(c.Version - 1)
		synctest.Wait()
		require.Empty(t, chosen)
		tb.MarkPolled(c.Version)
		require.Equal(t, version(1), <-chosen)
		require.Len(t, await(), 1, "no searcher is left to poll")

		// This instance became a holder of the service without a new configuration.
		tb.Retain(c)

		chosen = await()
		require.Empty(t, chosen)
		tb.MarkPolled(c.Version)
		<-chosen

		// The caller's deadline ends the wait.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		tb.Retain(c)

		_, ok := tb.AwaitChoice(ctx, s, c.Version)
		require.True(t, ok)
		require.Error(t, ctx.Err())
	})
}
