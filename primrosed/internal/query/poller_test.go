package query

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
)

// countingSource counts polls and answers with a version of the held snapshots.
type countingSource struct {
	polls   atomic.Int64
	version atomic.Uint64
}

func (s *countingSource) Status(context.Context, *domain.Searcher) (*pb.GetStatusResponse, error) {
	s.polls.Add(1)

	return &pb.GetStatusResponse{Healthy: true, Load: &pb.SearcherLoad{HeldVersion: s.version.Load()}}, nil
}

// TestPollsOnlyWithoutRecentAnswers guards against polls that use up the
// budget of control traffic while searchers answer requests, and against late
// notice of changed snapshots or of an idle searcher's drain.
func TestPollsOnlyWithoutRecentAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{}
		source.version.Store(1)

		svc := domain.Service{Name: "s", PartitionMap: domain.PartitionMap{Version: 1, Shards: []domain.Shard{
			{Searchers: []domain.Searcher{{ID: "a", Slots: 1, Connections: 25}}},
		}}}
		keeper := &configuration.Keeper{}
		keeper.SetIfNewer(&configuration.Stored{Configuration: domain.Configuration{Version: 1, Services: []domain.Service{svc}}})

		answers := &Answers{}
		p := NewPoller(zerolog.Nop(), source, keeper, &snapshot.Table{}, &routing.Table{}, soleHolder{}, answers)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		go p.Run(ctx)

		pollsDuring := func(d time.Duration, answer bool) int64 {
			before := source.polls.Load()

			for range d / (10 * time.Millisecond) {
				if answer {
					answers.record("a", time.Now(), source.version.Load())
				}

				time.Sleep(10 * time.Millisecond)
			}

			return source.polls.Load() - before
		}

		synctest.Wait()
		require.Equal(t, int64(1), source.polls.Load(), "polled at once")
		require.Zero(t, pollsDuring(5*time.Second, true), "recent answers make polls unnecessary")

		source.version.Store(2)
		require.Equal(t, int64(1), pollsDuring(checkInterval*2, true), "the held snapshots changed")
		require.Zero(t, pollsDuring(5*time.Second, true))
		require.InDelta(t, 5, pollsDuring(5*time.Second, false), 1, "idle: once each second")

		// Guards against a burst of polls at every instance for each change of
		// the configuration.
		require.Zero(t, pollsDuring(time.Second, true))
		keeper.SetIfNewer(&configuration.Stored{Configuration: domain.Configuration{Version: 2, Services: []domain.Service{svc}}})
		require.Zero(t, pollsDuring(time.Second, true), "the searcher is unchanged")
	})
}
