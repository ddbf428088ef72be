package serving

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/routing"
)

func singleRoute(repeatable bool) domain.Route {
	return domain.Route{
		Name: "one", Host: "h", PathPrefix: "/one/", Repeatable: repeatable, Timeout: 2 * time.Second,
		LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2, Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
	}
}

// Guards against a partial answer that is sent before its latency objective requires
// it, and against one that waits for its last shard beyond the objective.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 20, 1, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		s.model.servers[searcherID(3, 0)].slow = 100

		begin := time.Now()
		resp, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.NoError(t, err)
		require.Equal(t, 1, resp.Missing)
		require.Len(t, resp.Signatures, 19)
		require.LessOrEqual(t, time.Since(begin), 200*time.Millisecond)
		require.GreaterOrEqual(t, time.Since(begin), 180*time.Millisecond, "the answer waits for the shard as long as it can")
	})
}

// Guards against partial answers that are sent in time and arrive late. An instance
// with a fifth of a core has answers of other queries to read first, and the answer
// of a query that was handed over returns through another instance. A quarter of the
// answers sent after 193 ms were late for an objective of 200 ms.
func TestPartialAnswersLeaveTheMargin(t *testing.T) {
	for name, c := range map[string]struct {
		cores          float64
		margin         time.Duration
		least, longest time.Duration
	}{
		// The network takes 3 ms without jitter; reading 90 answers, merging and writing
		// takes 2 ms of a core in BenchmarkGather.
		"slow CPU":    {cores: 0.2, least: 180 * time.Millisecond, longest: 187 * time.Millisecond},
		"fast CPU":    {cores: 0.8, least: 190 * time.Millisecond, longest: 194500 * time.Microsecond},
		"handed over": {cores: 0.8, margin: 14 * time.Millisecond, least: 180 * time.Millisecond, longest: 184 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 1, 1, 20, 1, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
				s.model.servers[searcherID(3, 0)].slow = 100
				s.engines[0].settings.Cores = c.cores

				r := request("list", "r", 20*time.Millisecond, 3*time.Second)
				if r.Margin = c.margin; c.margin > 0 {
					r.HandedOverBy = "entry-9"
				}

				begin := time.Now()
				resp, err := s.engines[0].Serve(t.Context(), r)
				require.NoError(t, err)
				require.Equal(t, 1, resp.Missing)
				require.LessOrEqual(t, time.Since(begin), c.longest)
				require.GreaterOrEqual(t, time.Since(begin), c.least, "the answer waits for the shard as long as it can")
			})
		})
	}
}

// Guards against a whole answer that is dropped because it is later than the
// latency objective.
func TestLateAnswerIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 4, 1, gatheredRoute("list", 4, 200*time.Millisecond, 3*time.Second, 1))
		s.model.servers[searcherID(3, 0)].slow = 40

		resp, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.NoError(t, err)
		require.Zero(t, resp.Missing)
	})
}

// Guards against a caller who waits although too few shards have a searcher for an
// acceptable answer.
func TestUnanswerableRequestsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 4, 1, gatheredRoute("list", 4, 200*time.Millisecond, 3*time.Second, 0.9))
		s.dir.ApplySearchers([]directory.SearcherChange{{ID: searcherID(0, 0), Removed: true}})

		begin := time.Now()
		_, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		e := requireFate(t, domain.FateNotRun, err)
		require.Positive(t, e.RetryAfter)
		require.Zero(t, time.Since(begin))
		require.Empty(t, s.model.arrivals, "nothing is sent for a request that is refused")
	})
}

// Guards against a refusal with the fate not run although a searcher may have run the
// request.
func TestFateIsTrue(t *testing.T) {
	shed := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "send attempt", "shed")
	lost := domain.Errorf(domain.FateUnknown, domain.CodeSearcherUnavailable, "send attempt", "no complete answer")

	for _, c := range []struct {
		name       string
		repeatable bool
		failures   []error
		want       domain.Fate
		// arrivals is the least number of attempts, and the exact one if exact is set.
		arrivals int
		exact    bool
	}{
		{"shed by both searchers, four times", true, []error{shed, shed, shed, shed}, domain.FateNotRun, 4, false},
		{"lost after a shed", true, []error{shed, lost, lost}, domain.FateUnknown, 3, true},
		{"lost, then shed", true, []error{lost, shed, lost}, domain.FateUnknown, 3, true},
		{"lost once, not repeatable", false, []error{lost}, domain.FateUnknown, 1, true},
		{"shed, then lost, not repeatable", false, []error{shed, lost}, domain.FateUnknown, 2, true},
		{"shed, not repeatable", false, []error{shed, shed, shed, shed}, domain.FateNotRun, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 1, 1, 1, 2, singleRoute(c.repeatable))
				calls := 0

				for _, sv := range s.model.servers {
					sv.respond = func(Call) (*Reply, *routing.Load, error) {
						calls++

						return nil, nil, c.failures[min(calls, len(c.failures))-1]
					}
				}

				_, err := s.engines[0].Serve(t.Context(), request("one", "r", time.Millisecond, 2*time.Second))
				requireFate(t, c.want, err)
				require.GreaterOrEqual(t, calls, c.arrivals)

				if c.exact {
					require.Equal(t, c.arrivals, calls)
				}
			})
		})
	}
}

// Guards against a non-repeatable request that runs twice because its searcher is
// slow.
func TestNonRepeatableRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 1, 2, singleRoute(false))
		for _, sv := range s.model.servers {
			sv.slow = 300
		}

		_, err := s.engines[0].Serve(t.Context(), request("one", "r", 20*time.Millisecond, 2*time.Second))
		e := requireFate(t, domain.FateUnknown, err)
		require.Equal(t, domain.CodeDeadline, e.Code)
		require.Equal(t, 1, len(s.model.servers[searcherID(0, 0)].ran)+len(s.model.servers[searcherID(0, 1)].ran))
	})
}

// Guards against a searcher's error answer that isn't passed on unchanged.
func TestSearchersFailureIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 1, 2, singleRoute(false))
		for _, sv := range s.model.servers {
			sv.respond = func(Call) (*Reply, *routing.Load, error) {
				r := &Reply{Signature: "p"}
				r.Status, r.Body, r.Header = http.StatusInternalServerError, []byte("broken"), http.Header{"A": {"b"}}

				return r, nil, nil
			}
		}

		resp, err := s.engines[0].Serve(t.Context(), request("one", "r", time.Millisecond, 2*time.Second))
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, resp.Status)
		require.Equal(t, "broken", string(resp.Body))
	})
}

// Guards against an answer of a searcher that ran the request being passed on though its status tells
// the caller that it didn't run. One that can be passed on is preferred, whichever came last.
func TestFalseRefusalsAreNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		statuses   []int
		want       int // The status that is passed on; 0 for none.
	}{
		"once":                      {false, []int{http.StatusServiceUnavailable}, 0},
		"each time, repeatable":     {true, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, 0},
		"after another failure":     {true, []int{http.StatusInternalServerError, http.StatusServiceUnavailable}, http.StatusInternalServerError},
		"before a success":          {true, []int{http.StatusServiceUnavailable, http.StatusOK}, http.StatusOK},
		"not repeated though asked": {false, []int{http.StatusTooManyRequests, http.StatusOK}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 1, 1, 1, 2, singleRoute(c.repeatable))
				calls := 0

				for _, sv := range s.model.servers {
					sv.respond = func(Call) (*Reply, *routing.Load, error) {
						r := &Reply{Signature: "p"}
						r.Status = c.statuses[min(calls, len(c.statuses)-1)]
						r.FalseRefusal = r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
						calls++

						return r, nil, nil
					}
				}

				resp, err := s.engines[0].Serve(t.Context(), request("one", "r", time.Millisecond, 2*time.Second))
				if c.want != 0 {
					require.NoError(t, err)
					require.Equal(t, c.want, resp.Status)

					return
				}

				requireFate(t, domain.FateUnknown, err)
			})
		})
	}
}

// Guards against attempts that continue after the caller closed its connection.
func TestAttemptsEndWhenTheCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 20, 2, gatheredRoute("list", 20, 200*time.Millisecond, 3*time.Second, 0.89))
		for _, sv := range s.model.servers {
			sv.slow = 100
		}

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)

		_, err := s.engines[0].Serve(ctx, request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.Equal(t, domain.CodeCancelled, requireFate(t, domain.FateUnknown, err).Code)
		synctest.Wait()

		for id, sv := range s.model.servers {
			require.Zero(t, sv.running, id)
		}
	})
}

// Guards against an attempt that stays in a searcher's queue although its hedge has
// been answered; under overload such attempts made others late.
func TestAttemptsEndOnceTheirHedgeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 20, 2, gatheredRoute("list", 20, 2*time.Second, 3*time.Second, 1))
		for i := range 10 { // Warms up the estimates of service times.
			_, err := s.engines[0].Serve(t.Context(), request("list", fmt.Sprint("w", i), 20*time.Millisecond, 3*time.Second))
			require.NoError(t, err)
		}

		s.model.mu.Lock()
		for _, sv := range s.model.servers {
			sv.ran = nil
		}

		for i := range 2 {
			s.model.servers[searcherID(1, i)].slow = 25
		}

		stuck := s.model.servers[searcherID(0, 0)]
		stuck.slow = 1000
		s.model.mu.Unlock()

		time.AfterFunc(400*time.Millisecond, func() {
			s.model.mu.Lock()
			defer s.model.mu.Unlock()

			require.Zero(t, stuck.running, "its shard has been answered by the other searcher")
			require.Positive(t, s.model.servers[searcherID(1, 0)].running+s.model.servers[searcherID(1, 1)].running)
		})

		_, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.NoError(t, err)
	})
}

// Guards against an answer with shards of two configuration versions, and against a
// refusal on the new route, while a configuration change replaces the set of shards.
func TestOneAnswerOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 6, 1, gatheredRoute("list", 3, 200*time.Millisecond, 3*time.Second, 0.5))
		next := gatheredRoute("list", 3, 200*time.Millisecond, 3*time.Second, 0.5)
		next.Shards = []string{poolName(3), poolName(4), poolName(5)}

		time.AfterFunc(10*time.Millisecond, func() {
			old := s.dir.View().Table
			s.dir.Configure(&domain.RouteTable{Version: 2, Routes: []domain.Route{next}, Pools: old.Pools})
		})

		for i := range 4 {
			resp, err := s.engines[0].Serve(t.Context(), request("list", fmt.Sprint("r", i), 20*time.Millisecond, 3*time.Second))
			require.NoError(t, err)
			require.Zero(t, resp.Missing)

			old := 0

			for _, p := range resp.Signatures {
				if p < searcherID(3, 0) {
					old++
				}
			}

			require.Contains(t, []int{0, 3}, old)
			require.Equal(t, i == 0, old == 3, "the request that started before the change keeps its shards")
		}
	})
}

// Guards against pools of a split that get other shares of an instance's requests than
// their weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := singleRoute(true)
		r.Split = []domain.WeightedPool{{Pool: poolName(0), Weight: 7}, {Pool: poolName(1), Weight: 2}, {Pool: poolName(2), Weight: 1}}
		s := newSystem(t, 1, 1, 3, 1, r)

		for i := range 100 {
			_, err := s.engines[0].Serve(t.Context(), request("one", fmt.Sprint("r", i), time.Millisecond, 2*time.Second))
			require.NoError(t, err)
		}

		for p, want := range []int{70, 20, 10} {
			require.InDelta(t, want, s.model.arrivals[searcherID(p, 0)], 2)
		}
	})
}

// Guards against parts of a split that get more than their share, or anything, since their weights are fractions, the
// last one has none, or none has any.
func TestSplitsFollowOddWeights(t *testing.T) {
	for name, c := range map[string]struct {
		weights []float64
		want    []int
	}{
		"fractions":      {[]float64{0.75, 0.25}, []int{75, 25}},
		"tiny ones":      {[]float64{3e-200, 1e-200}, []int{75, 25}},
		"huge ones":      {[]float64{1e300, 1e300}, []int{50, 50}},
		"none":           {[]float64{0, 0}, []int{50, 50}},
		"the last none":  {[]float64{0.1, 0.7, 0}, []int{13, 87, 0}},
		"the first none": {[]float64{0, 0.3}, []int{0, 100}},
	} {
		t.Run(name, func(t *testing.T) {
			entry := &directory.Entry{Targets: make([]directory.Target, len(c.weights))}
			for i, w := range c.weights {
				entry.Targets[i].Weight = w
			}

			e := &Engine{}
			got := make([]int, len(c.weights))

			for range 10_000 {
				got[e.chooseTarget(entry)]++
			}

			for i := range got {
				require.InDelta(t, c.want[i], float64(got[i])/100, 1)

				if c.weights[i] == 0 && c.want[i] == 0 {
					require.Zero(t, got[i])
				}
			}
		})
	}
}

// Guards against requests on a route that can't be used which go to the searchers of the route with the next shorter
// prefix, or are told that there is no such route.
func TestUnusableRoutesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 1, 1, singleRoute(true), domain.Route{Name: "odd", Host: "h", PathPrefix: "/one/odd/", Unusable: true})

		r := request("one", "r", time.Millisecond, time.Second)
		r.Path = "/one/odd/x"
		_, err := s.engines[0].Serve(t.Context(), r)

		e := requireFate(t, domain.FateNotRun, err)
		require.Equal(t, domain.CodeNoConfiguration, e.Code)
		require.GreaterOrEqual(t, e.RetryAfter, unusablePause)
		require.Empty(t, s.model.arrivals)

		r.Path = "/one/x"
		_, err = s.engines[0].Serve(t.Context(), r)
		require.NoError(t, err)
	})
}

// Guards against a wrong error code before a configuration is known or for a path
// without a route, and against a match of a shorter prefix than the longest.
func TestRoutesAreMatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, inner := singleRoute(true), singleRoute(true)
		inner.Name, inner.PathPrefix = "inner", "/one/two/"
		inner.Split = []domain.WeightedPool{{Pool: poolName(1), Weight: 1}}
		s := newSystem(t, 1, 1, 2, 1, outer, inner)

		r := request("one", "r", time.Millisecond, time.Second)
		r.Path = "/one/two/x"
		_, err := s.engines[0].Serve(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, 1, s.model.arrivals[searcherID(1, 0)])

		r.Path = "/none/"
		_, err = s.engines[0].Serve(t.Context(), r)
		require.Equal(t, domain.CodeNotFound, requireFate(t, domain.FateNotRun, err).Code)

		empty := newSystem(t, 1, 1, 0, 0)
		empty.engines[0].directory = &directory.Directory{}
		_, err = empty.engines[0].Serve(t.Context(), r)
		require.Equal(t, domain.CodeNoConfiguration, requireFate(t, domain.FateNotRun, err).Code)
	})
}

// Guards against a merged answer that doesn't hold the greatest records of its parts,
// duplicates included.
func TestTopRecordsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 6).Draw(t, "parts")
		count := rapid.IntRange(0, 12).Draw(t, "count")

		var all [][]byte

		for _, p := range parts {
			for ; len(p) >= recordBytes; p = p[recordBytes:] {
				all = append(all, p[:recordBytes])
			}
		}

		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(count, len(all))], nil)

		if got := topRecords(parts, count); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// Guards against an error of a SearcherClient that isn't a *domain.Error reaching the
// caller untyped.
func TestUntypedFailureHasUnknownFate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 1, 1, singleRoute(false))
		s.model.servers[searcherID(0, 0)].respond = func(Call) (*Reply, *routing.Load, error) {
			return nil, nil, errors.New("broken adapter")
		}

		_, err := s.engines[0].Serve(t.Context(), request("one", "r", time.Millisecond, time.Second))
		requireFate(t, domain.FateUnknown, err)
	})
}

// Guards against attempts for a caller that closed its connection while the query was
// offered to a gatherer.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 4, 1, gatheredRoute("list", 4, 200*time.Millisecond, 3*time.Second, 1))
		ctx, cancel := context.WithCancel(t.Context())
		s.engines[0].settings.Gatherers = gatherFunc(func() (*Response, bool, error) {
			cancel()

			return nil, false, nil
		})

		_, err := s.engines[0].Serve(ctx, request("list", "r", 20*time.Millisecond, 3*time.Second))

		var e *domain.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, domain.CodeCancelled, e.Code)
		require.Equal(t, domain.FateNotRun, e.Fate)
		require.Empty(t, s.model.arrivals)
	})
}

// Guards against a query that is gathered locally although another instance started to
// gather it, and against one that no instance gathers.
func TestQueriesAreGatheredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 4, 1, gatheredRoute("list", 4, 200*time.Millisecond, 3*time.Second, 1))
		lost := domain.Errorf(domain.FateUnknown, domain.CodePeerUnavailable, "await answer", "no answer")

		s.engines[0].settings.Gatherers = gatherFunc(func() (*Response, bool, error) { return nil, true, lost })
		_, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.ErrorIs(t, err, lost)
		require.Empty(t, s.model.arrivals)

		s.engines[0].settings.Gatherers = gatherFunc(func() (*Response, bool, error) { return nil, false, nil })
		_, err = s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.NoError(t, err)
		require.Len(t, s.model.arrivals, 4)
	})
}

// gatherFunc is a GathererClient that returns a fixed outcome.
type gatherFunc func() (*Response, bool, error)

// Gather implements GathererClient.
func (f gatherFunc) Gather(context.Context, *Request, *domain.Route) (*Response, string, bool, error) {
	resp, begun, err := f()

	return resp, "g", begun, err
}

// Guards against a caller who waits until the deadline although no further attempt is
// possible: an attempt was shed and its shard's budget of extra attempts is used up.
func TestExhaustedRequestsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1, 4, 1, gatheredRoute("list", 4, 200*time.Millisecond, 3*time.Second, 1))
		s.engines[0].SetShares(Shares{Gathered: 1.0 / 1000, Direct: 1.0 / 1000})

		shed := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "send attempt", "shed")
		s.model.servers[searcherID(0, 0)].respond = func(Call) (*Reply, *routing.Load, error) { return nil, nil, shed }

		begin := time.Now()
		_, err := s.engines[0].Serve(t.Context(), request("list", "r", 20*time.Millisecond, 3*time.Second))
		require.Error(t, err)
		require.LessOrEqual(t, time.Since(begin), 300*time.Millisecond)
	})
}

// Guards against an answer that makes its decoder panic and so ends the process with
// every request in it.
func TestPanicsConcernOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 11, 1, 1, 2, domain.Route{
			Name: "one", Host: "h", PathPrefix: "/one/", Repeatable: true, Timeout: time.Second, MaxAttempts: 2, Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
		}, domain.Route{
			Name: "once", Host: "h", PathPrefix: "/once/", Timeout: time.Second, MaxAttempts: 2, Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
		})

		setRespond := func(i int, respond func(Call) (*Reply, *routing.Load, error)) {
			s.model.servers[searcherID(0, i)].respond = respond
		}
		setRespond(0, func(Call) (*Reply, *routing.Load, error) { panic("malformed answer") })

		for range 4 {
			_, err := s.engines[0].Serve(t.Context(), request("one", "a", time.Millisecond, time.Second))
			require.NoError(t, err, "the other searcher answers")
		}

		setRespond(1, s.model.servers[searcherID(0, 0)].respond)
		time.Sleep(10 * time.Second)

		_, err := s.engines[0].Serve(t.Context(), request("once", "b", time.Millisecond, time.Second))
		requireFate(t, domain.FateUnknown, err)
	})
}
