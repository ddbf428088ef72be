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

// quiet is a load without stragglers, for tests of single queries.
func quiet(shards int) load {
	l := today(shards)
	l.stragglers, l.instances = 0, 1

	return l
}

// one runs f with one instance over a fleet that serves l.
func one(t *testing.T, l load, f func(n *node, fl *fleet, cfg *domain.Configuration)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		cfg := l.configuration()
		fl := newFleet(l, cfg)
		f(newNode(fl, cfg, 0), fl, cfg)
		synctest.Wait()
	})
}

func ask(n *node, cfg *domain.Configuration, number int) (*pb.SearchResponse, error) {
	return n.runner.Search(context.Background(), cfg, &pb.SearchRequest{
		Service: "booking", Query: strconv.Itoa(number), RequestId: fmt.Sprintf("r%d", number), Member: "m",
	})
}

func (f *fleet) set(change func(s *fakeSearcher), ids ...string) {
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

// Guards against searcher trouble that costs a query its coverage while another
// searcher of the shard lives.
func TestTroubleAtOneSearcherCostsNoCoverage(t *testing.T) {
	for name, change := range map[string]func(s *fakeSearcher){
		"dead":     func(s *fakeSearcher) { s.dead = true },
		"silent":   func(s *fakeSearcher) { s.silent = true },
		"sheds":    func(s *fakeSearcher) { s.shed = true },
		"draining": func(s *fakeSearcher) { s.draining = true },
		"no index": func(s *fakeSearcher) { s.held = nil },
	} {
		t.Run(name, func(t *testing.T) {
			one(t, quiet(5), func(n *node, f *fleet, cfg *domain.Configuration) {
				f.set(change, "s0-0")

				for i := range 100 {
					resp, err := ask(n, cfg, i)
					require.NoError(t, err)
					require.Len(t, resp.GetCoverage().GetIncluded(), 5)
					require.Equal(t, fmt.Sprintf("r%d", i), resp.GetRequestId())
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against new work for a searcher that has said it drains.
func TestDrainingSearcherGetsNoNewWork(t *testing.T) {
	one(t, quiet(1), func(n *node, f *fleet, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) { s.draining = true }, "s0-0")
		n.poll(cfg)

		before := f.attempts.Load()

		for i := range 50 {
			resp, err := ask(n, cfg, i)
			require.NoError(t, err)
			require.EqualValues(t, 1, resp.GetAttempts())
		}

		require.EqualValues(t, 50, f.attempts.Load()-before)
		require.Zero(t, f.searchers["s0-0"].runs.Load())
	})
}

// Guards against a lost shard that costs each query its deadline, and against
// an answer that hides the loss.
func TestLostShard(t *testing.T) {
	for _, least := range []uint32{1000, 800} {
		t.Run(strconv.Itoa(int(least)), func(t *testing.T) {
			l := quiet(5)
			l.rules.MinCoveragePermille = least

			one(t, l, func(n *node, f *fleet, cfg *domain.Configuration) {
				f.set(func(s *fakeSearcher) { s.dead = true }, "s3-0", "s3-1")

				for i := range 20 {
					start := time.Now()
					resp, err := ask(n, cfg, i)
					require.Less(t, time.Since(start), 100*time.Millisecond)

					if least == 1000 {
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

// Guards against a query that fails, or mixes versions, because its version
// goes away while it runs.
func TestSnapshotGoneBeginsAgain(t *testing.T) {
	one(t, quiet(10), func(n *node, f *fleet, cfg *domain.Configuration) {
		next := domain.Snapshot{IndexVersion: 2, PartitionMapVersion: 1}

		var (
			wg   sync.WaitGroup
			resp *pb.SearchResponse
			err  error
		)

		wg.Go(func() { resp, err = ask(n, cfg, 1) })
		time.Sleep(time.Millisecond)

		// Attempts to the other failure domains are still on the way.
		for id := range f.searchers {
			f.set(func(s *fakeSearcher) { s.held = map[domain.Snapshot]bool{next: true} }, id)
		}

		n.poll(cfg)
		wg.Wait()
		require.NoError(t, err)
		require.EqualValues(t, 2, resp.GetSnapshot().GetIndexVersion())
		require.Len(t, resp.GetCoverage().GetIncluded(), 10)

		for _, r := range resp.GetResults() {
			require.Equal(t, "2", r.GetHits()[0].GetBody(), "shard %d answered from another version", r.GetShard())
		}
	})
}

// Guards against a version switch that only some shards have made ending in
// anything but an honest partial answer or a failure.
func TestHalfSwitchedSnapshotIsHonestlyPartial(t *testing.T) {
	l := quiet(10)
	l.rules.MinCoveragePermille = 500

	one(t, l, func(n *node, f *fleet, cfg *domain.Configuration) {
		f.set(func(s *fakeSearcher) {
			s.held = map[domain.Snapshot]bool{{IndexVersion: 2, PartitionMapVersion: 1}: true}
		}, "s0-0", "s0-1", "s1-0", "s1-1")

		for i := range 5 {
			resp, err := ask(n, cfg, i)
			require.NoError(t, err)
			require.EqualValues(t, 1, resp.GetSnapshot().GetIndexVersion())
			require.Len(t, resp.GetCoverage().GetIncluded(), 8)
			require.Len(t, resp.GetCoverage().GetMissing(), 2)
			require.Equal(t, string(domain.CodeSnapshotGone), resp.GetCoverage().GetMissing()[0].GetReason())
		}
	})
}

// repartitioned returns cfg with a second partition map, which all searchers of f
// hold beside the first.
func repartitioned(f *fleet, cfg *domain.Configuration) *domain.Configuration {
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

// askWhilePolled sends a query a moment after a round of polls for cfg has begun,
// and returns the answer and how long it took.
func askWhilePolled(t *testing.T, n *node, cfg *domain.Configuration) (*pb.SearchResponse, time.Duration) {
	t.Helper()

	var polled sync.WaitGroup
	defer polled.Wait()

	polled.Go(func() { n.poll(cfg) })
	time.Sleep(time.Millisecond)

	begin := time.Now()
	resp, err := ask(n, cfg, 1)
	require.NoError(t, err)

	return resp, time.Since(begin)
}

// Guards against a partial answer right after a new partition map: the first
// queries on it found the snapshot that most shards hold before the other
// searchers had said what they hold (scenario repartition beside load: 4 of 6
// shards asked).
func TestNewPartitionMapWaitsForItsSearchers(t *testing.T) {
	one(t, quiet(10), func(n *node, f *fleet, cfg *domain.Configuration) {
		next := repartitioned(f, cfg)
		f.set(func(s *fakeSearcher) { s.statusAfter = 20 * time.Millisecond }, "s0-0", "s0-1", "s5-0")
		f.set(func(s *fakeSearcher) { s.statusAfter = time.Hour }, "s5-1")

		resp, took := askWhilePolled(t, n, next)
		require.EqualValues(t, 2, resp.GetSnapshot().GetPartitionMapVersion())
		require.Len(t, resp.GetCoverage().GetIncluded(), 10)
		require.Less(t, took, 100*time.Millisecond, "one searcher of a shard suffices")
	})
}

// Guards against queries that wait until their deadline for a shard whose
// searchers say nothing.
func TestNewPartitionMapDoesNotWaitForTheSilent(t *testing.T) {
	l := quiet(10)
	l.rules.MinCoveragePermille = 500

	one(t, l, func(n *node, f *fleet, cfg *domain.Configuration) {
		next := repartitioned(f, cfg)
		f.set(func(s *fakeSearcher) { s.statusAfter = time.Hour }, "s5-0", "s5-1")

		resp, took := askWhilePolled(t, n, next)
		require.Len(t, resp.GetCoverage().GetIncluded(), 9)
		require.Less(t, took, pollTimeout+100*time.Millisecond)
	})
}

// Guards against a partial answer or a failure that leaves no line behind, so that
// its cause can't be found afterwards.
func TestIncompleteQueriesAreLogged(t *testing.T) {
	l := quiet(3)
	l.rules.MinCoveragePermille = 600

	one(t, l, func(n *node, f *fleet, cfg *domain.Configuration) {
		var lines bytes.Buffer

		n.runner.log = zerolog.New(&lines)

		_, err := ask(n, cfg, 1)
		require.NoError(t, err)
		require.Empty(t, lines.String())

		f.set(func(s *fakeSearcher) { s.held = nil }, "s1-0", "s1-1")

		_, err = ask(n, cfg, 2)
		require.NoError(t, err)
		require.Contains(t, lines.String(), `"event":"query_incomplete"`)
		require.Contains(t, lines.String(), `"missing":"1:snapshot_gone"`)

		lines.Reset()

		_, err = n.runner.Search(context.Background(), cfg, &pb.SearchRequest{Service: "unknown", RequestId: "r-9"})
		require.Error(t, err)
		require.Contains(t, lines.String(), `"request_id":"r-9"`)
	})
}

// Guards against a false "not run": it is said before the first attempt only.
func TestFates(t *testing.T) {
	one(t, quiet(2), func(n *node, f *fleet, cfg *domain.Configuration) {
		_, err := n.runner.Search(context.Background(), cfg, &pb.SearchRequest{Service: "unknown"})
		require.Equal(t, domain.FateNotRun, fateOf(t, err))

		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(500*time.Microsecond, cancel)

		_, err = n.runner.Search(ctx, cfg, &pb.SearchRequest{Service: "booking"})
		require.Equal(t, domain.FateUnknown, fateOf(t, err))

		f.set(func(s *fakeSearcher) { s.silent = true }, "s0-0", "s0-1")

		_, err = ask(n, cfg, 1)
		require.Equal(t, domain.FateRan, fateOf(t, err), "the other shard answered")

		empty := newNode(f, &domain.Configuration{}, 0)
		before := f.attempts.Load()
		_, err = ask(empty, cfg, 1)
		require.Equal(t, domain.FateNotRun, fateOf(t, err))
		require.Equal(t, before, f.attempts.Load())
	})
}

// Guards against a member organisation that takes the share of another.
func TestOverloadIsFairBetweenMembers(t *testing.T) {
	l := quiet(5)

	one(t, l, func(n *node, _ *fleet, cfg *domain.Configuration) {
		cfg.Members = []domain.Member{{Name: "heavy", Weight: 1}, {Name: "light", Weight: 1}}

		var (
			wg   sync.WaitGroup
			mu   sync.Mutex
			done = make(map[string]int)
		)

		offer := func(member string, every time.Duration) {
			for i := range int(2 * time.Second / every) {
				wg.Go(func() {
					_, err := n.runner.Search(context.Background(), cfg, &pb.SearchRequest{
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

		// Together they offer several times the capacity of about 700 a second.
		var members sync.WaitGroup

		members.Go(func() { offer("heavy", 300*time.Microsecond) })
		members.Go(func() { offer("light", 1200*time.Microsecond) })
		members.Wait()
		wg.Wait()
		t.Logf("answered: %v", done)
		require.Less(t, float64(done["heavy"]), 1.5*float64(done["light"]))
	})
}
