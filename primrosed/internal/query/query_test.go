package query

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// quietLoad is a load without stragglers, for tests of single queries.
func quietLoad(shards int) load {
	l := designLoad(shards)
	l.stragglers, l.instances = 0, 1

	return l
}

// withInstance runs f with one instance and fake searchers that serve l.
func withInstance(t *testing.T, l load, f func(in *testInstance, fl *fakeSearchers, cfg *domain.Configuration)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		cfg := l.configuration()
		fl := newFakeSearchers(l, cfg)
		f(newTestInstance(fl, cfg, 0), fl, cfg)
		synctest.Wait()
	})
}

func sendQuery(in *testInstance, cfg *domain.Configuration, number int) (*pb.SearchResponse, error) {
	return in.runner.Search(context.Background(), cfg, &pb.SearchRequest{
		Service: "booking", Query: strconv.Itoa(number), RequestId: fmt.Sprintf("r%d", number), Member: "m",
	})
}

func (f *fakeSearchers) set(change func(s *fakeSearcher), ids ...string) {
	for _, id := range ids {
		s := f.searchers[id]

		s.mu.Lock()
		change(s)
		s.mu.Unlock()
	}
}

func fateOf(t *testing.T, err error) domain.Fate {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)

	return e.Fate
}

// Guards against one failing searcher lowering the coverage of queries while
// another searcher of the shard works.
func TestOneFailingSearcherKeepsCoverage(t *testing.T) {
	for name, change := range map[string]func(s *fakeSearcher){
		"dead":     func(s *fakeSearcher) { s.dead = true },
		"silent":   func(s *fakeSearcher) { s.silent = true },
		"sheds":    func(s *fakeSearcher) { s.shed = true },
		"draining": func(s *fakeSearcher) { s.draining = true },
		"no index": func(s *fakeSearcher) { s.held = nil },
	} {
		t.Run(name, func(t *testing.T) {
			withInstance(t, quietLoad(5), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
				f.set(change, "s0-0")

				for i := range 100 {
					resp, err := sendQuery(in, cfg, i)
					require.NoError(t, err)
					require.Len(t, resp.GetCoverage().GetIncluded(), 5)
					require.Equal(t, fmt.Sprintf("r%d", i), resp.GetRequestId())
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against new work for a searcher that has reported that it is draining.
func TestDrainingSearcherGetsNoNewWork(t *testing.T) {
	withInstance(t, quietLoad(1), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) { s.draining = true }, "s0-0")
		in.poll(cfg)

		before := f.attempts.Load()

		for i := range 50 {
			resp, err := sendQuery(in, cfg, i)
			require.NoError(t, err)
			require.EqualValues(t, 1, resp.GetAttempts())
		}

		require.EqualValues(t, 50, f.attempts.Load()-before)
		require.Zero(t, f.searchers["s0-0"].runs.Load())
	})
}

// Guards against queries that wait until their deadline for a shard whose
// searchers are all dead, and against answers that don't report it as missing.
func TestLostShard(t *testing.T) {
	for _, minCoverage := range []uint32{1000, 800} {
		t.Run(strconv.Itoa(int(minCoverage)), func(t *testing.T) {
			l := quietLoad(5)
			l.rules.MinCoveragePermille = minCoverage

			withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
				f.set(func(s *fakeSearcher) { s.dead = true }, "s3-0", "s3-1")

				for i := range 20 {
					start := time.Now()
					resp, err := sendQuery(in, cfg, i)
					require.Less(t, time.Since(start), 100*time.Millisecond)

					if minCoverage == 1000 {
						require.Equal(t, domain.FateRan, fateOf(t, err))

						continue
					}

					require.NoError(t, err)
					require.Equal(t, []uint32{0, 1, 2, 4}, resp.GetCoverage().GetIncluded())
					require.EqualValues(t, 3, resp.GetCoverage().GetMissing()[0].GetShard())
					require.NotEmpty(t, resp.GetCoverage().GetMissing()[0].GetReason())
					time.Sleep(200 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a query that fails, or mixes versions, because the searchers
// drop its index version while it runs.
func TestSnapshotGoneRestartsQuery(t *testing.T) {
	withInstance(t, quietLoad(10), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		next := domain.Snapshot{IndexVersion: 2, PartitionMapVersion: 1}

		var (
			wg   sync.WaitGroup
			resp *pb.SearchResponse
			err  error
		)

		wg.Go(func() { resp, err = sendQuery(in, cfg, 1) })
		time.Sleep(time.Millisecond)

		// Attempts to the other failure domains are still on the way.
		for id := range f.searchers {
			f.set(func(s *fakeSearcher) { s.held = map[domain.Snapshot]bool{next: true} }, id)
		}

		in.poll(cfg)
		wg.Wait()
		require.NoError(t, err)
		require.EqualValues(t, 2, resp.GetSnapshot().GetIndexVersion())
		require.Len(t, resp.GetCoverage().GetIncluded(), 10)

		for _, r := range resp.GetResults() {
			require.Equal(t, "2", r.GetHits()[0].GetBody(), "shard %d answered from another version", r.GetShard())
		}
	})
}

// Guards against an answer that mixes index versions or hides missing shards
// after only some shards have switched to a new version.
func TestPartialVersionSwitchGivesPartialAnswer(t *testing.T) {
	l := quietLoad(10)
	l.rules.MinCoveragePermille = 500

	withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) {
			s.held = map[domain.Snapshot]bool{{IndexVersion: 2, PartitionMapVersion: 1}: true}
		}, "s0-0", "s0-1", "s1-0", "s1-1")

		for i := range 5 {
			resp, err := sendQuery(in, cfg, i)
			require.NoError(t, err)
			require.EqualValues(t, 1, resp.GetSnapshot().GetIndexVersion())
			require.Len(t, resp.GetCoverage().GetIncluded(), 8)
			require.Len(t, resp.GetCoverage().GetMissing(), 2)
			require.Equal(t, string(domain.CodeSnapshotGone), resp.GetCoverage().GetMissing()[0].GetReason())
		}
	})
}

// repartitioned returns cfg with a second partition map, and makes all searchers
// of f hold snapshots of both maps.
func repartitioned(f *fakeSearchers, cfg *domain.Configuration) *domain.Configuration {
	next := *cfg
	next.Version++
	next.Services = slices.Clone(cfg.Services)
	next.Services[0].PartitionMap.Version = 2

	for id := range f.searchers {
		f.set(func(s *fakeSearcher) {
			s.held = map[domain.Snapshot]bool{
				{IndexVersion: 1, PartitionMapVersion: 1}: true, {IndexVersion: 1, PartitionMapVersion: 2}: true,
			}
		}, id)
	}

	return &next
}

// queryDuringPoll sends a query a moment after a round of polls for cfg has begun,
// and returns the answer and how long it took.
func queryDuringPoll(t *testing.T, in *testInstance, cfg *domain.Configuration) (*pb.SearchResponse, time.Duration) {
	t.Helper()

	var polled sync.WaitGroup
	defer polled.Wait()

	polled.Go(func() { in.poll(cfg) })
	time.Sleep(time.Millisecond)

	begin := time.Now()
	resp, err := sendQuery(in, cfg, 1)
	require.NoError(t, err)

	return resp, time.Since(begin)
}

// Guards against a partial answer right after a new partition map: the first
// queries on it chose the snapshot that most shards held before the other
// searchers had reported theirs. In the scenario repartition beside load, such a
// query asked 4 of 6 shards.
func TestNewPartitionMapWaitsForSearcherStatus(t *testing.T) {
	withInstance(t, quietLoad(10), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		next := repartitioned(f, cfg)
		f.set(func(s *fakeSearcher) { s.statusDelay = 20 * time.Millisecond }, "s0-0", "s0-1", "s5-0")
		f.set(func(s *fakeSearcher) { s.statusDelay = time.Hour }, "s5-1")

		resp, took := queryDuringPoll(t, in, next)
		require.EqualValues(t, 2, resp.GetSnapshot().GetPartitionMapVersion())
		require.Len(t, resp.GetCoverage().GetIncluded(), 10)
		require.Less(t, took, 100*time.Millisecond, "one searcher of a shard suffices")
	})
}

// Guards against queries that wait until their deadline for a shard whose
// searchers don't report their status.
func TestNewPartitionMapDoesNotWaitForSilentSearchers(t *testing.T) {
	l := quietLoad(10)
	l.rules.MinCoveragePermille = 500

	withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		next := repartitioned(f, cfg)
		f.set(func(s *fakeSearcher) { s.statusDelay = time.Hour }, "s5-0", "s5-1")

		resp, took := queryDuringPoll(t, in, next)
		require.Len(t, resp.GetCoverage().GetIncluded(), 9)
		require.Less(t, took, pollTimeout+100*time.Millisecond)
	})
}

// Guards against a partial answer or a failure that isn't logged, so that its
// cause can't be found afterwards.
func TestIncompleteQueriesAreLogged(t *testing.T) {
	l := quietLoad(3)
	l.rules.MinCoveragePermille = 600

	withInstance(t, l, func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		var lines bytes.Buffer

		in.runner.log = zerolog.New(&lines)

		_, err := sendQuery(in, cfg, 1)
		require.NoError(t, err)
		require.Empty(t, lines.String())

		f.set(func(s *fakeSearcher) { s.held = nil }, "s1-0", "s1-1")

		_, err = sendQuery(in, cfg, 2)
		require.NoError(t, err)
		require.Contains(t, lines.String(), `"event":"query_incomplete"`)
		require.Contains(t, lines.String(), `"missing":"1:snapshot_gone"`)

		lines.Reset()

		_, err = in.runner.Search(context.Background(), cfg, &pb.SearchRequest{Service: "unknown", RequestId: "r-9"})
		require.Error(t, err)
		require.Contains(t, lines.String(), `"request_id":"r-9"`)
	})
}

// Guards against a false "not run": only a query without attempts has this fate.
func TestFates(t *testing.T) {
	withInstance(t, quietLoad(2), func(in *testInstance, f *fakeSearchers, cfg *domain.Configuration) {
		_, err := in.runner.Search(context.Background(), cfg, &pb.SearchRequest{Service: "unknown"})
		require.Equal(t, domain.FateNotRun, fateOf(t, err))

		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(500*time.Microsecond, cancel)

		_, err = in.runner.Search(ctx, cfg, &pb.SearchRequest{Service: "booking"})
		require.Equal(t, domain.FateUnknown, fateOf(t, err))

		f.set(func(s *fakeSearcher) { s.silent = true }, "s0-0", "s0-1")

		_, err = sendQuery(in, cfg, 1)
		require.Equal(t, domain.FateRan, fateOf(t, err), "the other shard answered")

		empty := newTestInstance(f, &domain.Configuration{}, 0)
		before := f.attempts.Load()
		_, err = sendQuery(empty, cfg, 1)
		require.Equal(t, domain.FateNotRun, fateOf(t, err))
		require.Equal(t, before, f.attempts.Load())
	})
}

// Guards against a member organisation that takes the share of another.
func TestOverloadIsFairBetweenMembers(t *testing.T) {
	l := quietLoad(5)

	withInstance(t, l, func(in *testInstance, _ *fakeSearchers, cfg *domain.Configuration) {
		cfg.Members = []domain.Member{{Name: "heavy", Weight: 1}, {Name: "light", Weight: 1}}

		var (
			wg   sync.WaitGroup
			mu   sync.Mutex
			done = make(map[string]int)
		)

		offer := func(member string, every time.Duration) {
			for i := range int(2 * time.Second / every) {
				wg.Go(func() {
					_, err := in.runner.Search(context.Background(), cfg, &pb.SearchRequest{
						Service: "booking", Query: strconv.Itoa(i), Member: member,
					})

					mu.Lock()
					defer mu.Unlock()

					if err == nil {
						done[member]++
					}
				})
				time.Sleep(every)
			}
		}

		// Together they offer several times the capacity of about 700 queries a
		// second.
		var members sync.WaitGroup

		members.Go(func() { offer("heavy", 300*time.Microsecond) })
		members.Go(func() { offer("light", 1200*time.Microsecond) })
		members.Wait()
		wg.Wait()
		t.Logf("answered: %v", done)
		require.Less(t, float64(done["heavy"]), 1.5*float64(done["light"]))
	})
}
