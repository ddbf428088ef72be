package query

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Guards against an explanation that names another searcher than the next
// query uses, sends requests or changes the state of routing.
func TestExplainShowsTheNextChoice(t *testing.T) {
	l := quietLoad(3)
	l.searchers, l.domains = 3, 3

	withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		for i := range 100 {
			_, err := sendQuery(in, cfg, i)
			require.NoError(t, err)
		}

		svc := &cfg.Services[0]
		before := f.attempts.Load()
		explained := in.runner.Explain(cfg, svc)

		require.True(t, proto.Equal(explained, in.runner.Explain(cfg, svc)), "an explanation changed the next one")
		require.Equal(t, before, f.attempts.Load())
		require.EqualValues(t, 1, explained.GetIndexVersion())
		require.Len(t, explained.GetShards(), 3)

		for i := range 20 {
			explained = in.runner.Explain(cfg, svc)
			runs := make([]int64, 0, 3)

			for _, sh := range explained.GetShards() {
				requireUsable(t, sh)

				runs = append(runs, f.searchers[sh.GetChosen()].runs.Load())
			}

			_, err := sendQuery(in, cfg, 1000+i)
			require.NoError(t, err)

			for j, sh := range explained.GetShards() {
				require.Equal(t, runs[j]+1, f.searchers[sh.GetChosen()].runs.Load(), "shard %d", j)
			}
		}
	})
}

func requireUsable(t *testing.T, sh *pb.ExplainShard) {
	t.Helper()

	require.Len(t, sh.GetSearchers(), 3)

	for _, sr := range sh.GetSearchers() {
		require.Zero(t, sr.GetOutstanding())
		require.Positive(t, sr.GetExpectedUs())
		require.Positive(t, sr.GetLimit())
		require.Empty(t, sr.GetExcluded())
	}
}

// Guards against an explanation that omits outstanding requests.
func TestExplainCountsOutstandingRequests(t *testing.T) {
	withInstance(t, quietLoad(1), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) { s.silent = true }, "s0-0", "s0-1")

		done := make(chan struct{})

		go func() {
			defer close(done)

			_, _ = sendQuery(in, cfg, 0)
		}()

		synctest.Wait()

		var outstanding, queued uint32

		for _, sr := range in.runner.Explain(cfg, &cfg.Services[0]).GetShards()[0].GetSearchers() {
			outstanding += sr.GetOutstanding()
			queued += sr.GetQueued()
		}

		require.EqualValues(t, 1, outstanding)
		require.EqualValues(t, 1, queued)
		<-done
	})
}

// Guards against an excluded searcher without a reason or with a wrong one.
func TestExplainGivesTheReasonOfExclusion(t *testing.T) {
	l := quietLoad(1)
	l.searchers = 4

	withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) { s.draining = true }, "s0-1")
		f.set(func(s *fakeSearcher) { s.held = nil }, "s0-2")
		in.poll(cfg)

		cfg.Services[0].PartitionMap.Shards[0].Searchers[3].Draining = true
		e := in.runner.Explain(cfg, &cfg.Services[0]).GetShards()[0]

		require.Equal(t, "s0-0", e.GetChosen())
		require.Equal(t, []string{"", "searcher_draining", "snapshot_gone", "searcher_draining"}, exclusions(e))

		cfg.Services[0].PartitionMap.Shards[0].Searchers[0].Draining = true
		e = in.runner.Explain(cfg, &cfg.Services[0]).GetShards()[0]
		require.Empty(t, e.GetChosen())
	})
}

func exclusions(e *pb.ExplainShard) []string {
	codes := make([]string, 0, len(e.GetSearchers()))
	for _, sr := range e.GetSearchers() {
		codes = append(codes, sr.GetExcluded())
	}

	return codes
}

// Guards against a hedging delay that is shown though no hedge would be sent,
// and one that doesn't follow the observed latencies.
func TestExplainShowsTheHedgingDelay(t *testing.T) {
	l := quietLoad(1)

	withInstance(t, l, func(in *testInstance, _ *fakeSearchers, cfg *domain.Configuration) {
		svc := &cfg.Services[0]
		initial := in.runner.Explain(cfg, svc).GetHedgeAfterUs()
		require.Positive(t, initial)

		for i := range 200 {
			_, err := sendQuery(in, cfg, i)
			require.NoError(t, err)
		}

		require.NotEqual(t, initial, in.runner.Explain(cfg, svc).GetHedgeAfterUs())

		svc.Rules.Hedging = false

		require.Zero(t, in.runner.Explain(cfg, svc).GetHedgeAfterUs())
	})
}
