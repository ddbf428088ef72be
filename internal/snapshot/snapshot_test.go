package snapshot

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

func version(index uint64) domain.Snapshot {
	return domain.Snapshot{IndexVersion: index, PartitionMapVersion: 1}
}

// testService has two shards: s0 and s1 hold the first, s2 the second.
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

// Guards against a new version that costs coverage while it is spreading, and
// an old one that is kept after the new one has spread.
func TestMostShardsThenNewest(t *testing.T) {
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

// Guards against a choice made from another partition map, whose shards hold
// other entries.
func TestOtherPartitionMapsDontCount(t *testing.T) {
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

// Guards against queries that stay pinned to a version that a searcher has
// refused, and against a refusal that also takes its other versions.
func TestGoneTakesOneVersion(t *testing.T) {
	var tb Table

	s := testService()
	tb.Report("booking", 0, "s0", []domain.Snapshot{version(1), version(2)})
	tb.Report("booking", 1, "s2", []domain.Snapshot{version(1), version(2)})
	requireChoice(t, &tb, s, version(2))

	tb.Gone("booking", 1, "s2", version(2))
	requireChoice(t, &tb, s, version(1))
	require.False(t, tb.Holds("booking", 1, "s2", version(2)))
	require.True(t, tb.Holds("booking", 1, "s2", version(1)))
	require.True(t, tb.Holds("booking", 0, "s0", version(2)))
}

// Guards against searchers that are chosen for what they held before they were
// taken out of the configuration.
func TestRetainForgetsWhatIsNotNamed(t *testing.T) {
	var tb Table

	s := testService()
	tb.Report("booking", 0, "s0", []domain.Snapshot{version(1)})
	tb.Report("booking", 0, "s9", []domain.Snapshot{version(1)})
	tb.Retain(&domain.Configuration{Services: []domain.Service{*s}})

	require.True(t, tb.Holds("booking", 0, "s0", version(1)))
	require.False(t, tb.Holds("booking", 0, "s9", version(1)))
}
