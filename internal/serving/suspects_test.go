package serving

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/routing"
)

// deadlySystem is a system whose searchers end under requests with the target deadly, and
// start again after a second. Its engines tell one another of strikes after 20 ms.
type deadlySystem struct {
	*system

	mu sync.Mutex // Guards the fields below.
	// endedAt holds when each searcher ended last, and ended how many did so.
	endedAt map[string]time.Time
	ended   int
}

func newDeadlySystem(t *testing.T, pools, perPool, engines int, hold time.Duration, routes ...domain.Route) *deadlySystem {
	t.Helper()

	d := &deadlySystem{system: newSystem(t, 1, engines, pools, perPool, routes...), endedAt: make(map[string]time.Time)}

	for id, sv := range d.model.servers {
		sv.respond = func(c Call) (*Reply, *routing.Load, error) { return d.run(id, c) }
	}

	tables := make([]*quarantine.Table, engines)

	for i, e := range d.engines {
		tables[i] = quarantine.New(fmt.Sprint("entry-", i), hold, 0)
		e.settings.Suspects = Suspects{
			Table: tables[i], Ended: func(_ context.Context, sr *domain.Searcher) bool { return d.down(sr.ID) },
			Tell: func() <-chan struct{} {
				told := make(chan struct{})

				time.AfterFunc(20*time.Millisecond, func() {
					for j, other := range d.engines {
						other.SuspectsCleared("entry", tables[i].Cleared(time.Now()))
						other.SuspectsLearned("entry", tables[i].All(time.Now()))
						e.SuspectsCleared("other", tables[j].Cleared(time.Now()))
					}

					close(told)
				})

				return told
			},
		}
	}

	return d
}

func (d *deadlySystem) down(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	at, ok := d.endedAt[id]

	return ok && time.Since(at) < time.Second
}

// run runs a request for 10 ms at a searcher.
func (d *deadlySystem) run(id string, c Call) (*Reply, *routing.Load, error) {
	fail := func(fate domain.Fate) (*Reply, *routing.Load, error) {
		return nil, nil, domain.Errorf(fate, domain.CodeSearcherUnavailable, "send attempt", "connection closed").WithPeer(id)
	}

	if d.down(id) {
		return fail(domain.FateNotRun)
	}

	time.Sleep(10 * time.Millisecond)

	if d.down(id) {
		return fail(domain.FateUnknown)
	}

	if !strings.Contains(c.Request.Target, "deadly") {
		return &Reply{Signature: id, Response: Response{Status: 200, Body: []byte(strings.Repeat("r", 16))}}, nil, nil
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.endedAt[id] = time.Now()
	d.ended++

	return fail(domain.FateUnknown)
}

// Guards against a content that many callers send and that is held back for its whole time at the
// instance under whose requests searchers ended by chance, though another instance has an answer.
func TestAnswersElsewhereEndQuarantines(t *testing.T) {
	for name, start := range map[string]time.Duration{
		"before that one knows the strikes": 0,
		"after it has learned of them":      17 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeadlySystem(t, 1, 2, 2, 10*time.Minute, domain.Route{
					Name: "q", Host: "h", PathPrefix: "/q/", Repeatable: true, Timeout: 2 * time.Second, MaxAttempts: 2,
					Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
				})
				serve := func(engine int) error {
					r := request("q", fmt.Sprint("id-", engine), 10*time.Millisecond, time.Second)
					r.Target = "/q/popular"

					_, err := d.engines[engine].Serve(t.Context(), r)

					return err
				}

				var work sync.WaitGroup

				work.Go(func() {
					time.Sleep(start)
					require.NoError(t, serve(1))
				})
				time.Sleep(2 * time.Millisecond)

				r := request("q", "id", 10*time.Millisecond, time.Second)
				r.Target = "/q/popular"
				s := &d.engines[0].settings.Suspects

				for range quarantine.MaxStrikes {
					s.Table.Strike(time.Now(), r.digest(), "q")
				}

				<-s.Tell()
				work.Wait()
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, serve(0))
				require.NoError(t, serve(1))
			})
		})
	}
}

// Guards against a request that ends a searcher in each shard, and again with each attempt of
// its caller at another instance; against refusals that claim that it didn't run; and against
// other requests that are condemned with it.
func TestRequestsThatEndSearchersAreHeldBack(t *testing.T) {
	for name, route := range map[string]domain.Route{
		"gathered": gatheredRoute("q", 6, 150*time.Millisecond, 2*time.Second, 0.5),
		"single": {
			Name: "q", Host: "h", PathPrefix: "/q/", Repeatable: true, Timeout: 2 * time.Second, MaxAttempts: 2,
			Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
		},
		"single, may run once": {
			Name: "q", Host: "h", PathPrefix: "/q/", Timeout: 2 * time.Second, MaxAttempts: 2,
			Split: []domain.WeightedPool{{Pool: poolName(0), Weight: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const engines = 3

				d := newDeadlySystem(t, 6, 4, engines, time.Minute, route)
				send := func(n int, target string) *domain.Error {
					r := request("q", fmt.Sprint("id-", n), 10*time.Millisecond, time.Second)
					r.Target = "/q/" + target

					_, err := d.engines[n%engines].Serve(t.Context(), r)
					if err == nil {
						return nil
					}

					var e *domain.Error

					require.ErrorAs(t, err, &e)

					return e
				}

				var last *domain.Error

				for n := range 200 {
					ended := d.ended
					last = send(n, "deadly")
					require.NotNil(t, last)

					if last.Fate == domain.FateNotRun {
						require.Equal(t, ended, d.ended, "a request that ran isn't answered as not run")
					}

					if send(1000+2*n, fmt.Sprint("healthy-", n)) != nil {
						require.Nil(t, send(1001+2*n, fmt.Sprint("healthy-", n)), "others are served, at the second attempt at the latest")
					}

					time.Sleep(100 * time.Millisecond)
				}

				require.Equal(t, domain.CodeQuarantined, last.Code)
				require.Positive(t, last.RetryAfter)
				require.LessOrEqual(t, d.ended, max(len(route.Shards), 1)+quarantine.MaxStrikes-1, "those under way at once, and one a trial")

				ended := d.ended

				time.Sleep(time.Minute)

				for n := range 100 {
					send(5000+n, "deadly")
					time.Sleep(200 * time.Millisecond)
				}

				require.Equal(t, ended+1, d.ended, "one searcher tells whether it still is deadly")
				require.Equal(t, domain.CodeQuarantined, send(1, "deadly").Code)
			})
		})
	}
}

// Guards against innocent requests in flight beside a deadly one that are condemned with it.
func TestRequestsBesideADeadlyOneAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeadlySystem(t, 6, 4, 3, time.Minute, gatheredRoute("q", 6, 150*time.Millisecond, 2*time.Second, 0.5))

		var (
			wg   sync.WaitGroup
			mu   sync.Mutex
			lost []string
		)

		for n := range 600 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 5 * time.Millisecond)

				target := fmt.Sprint("healthy-", n)
				if n%20 == 0 {
					target = "deadly"
				}

				// A caller tries once more, at another instance.
				for attempt := range 2 {
					r := request("q", fmt.Sprintf("id-%d-%d", n, attempt), 10*time.Millisecond, time.Second)
					r.Target = "/q/" + target

					_, err := d.engines[(n+attempt)%3].Serve(t.Context(), r)
					if err == nil {
						return
					}

					time.Sleep(50 * time.Millisecond)
				}

				mu.Lock()
				defer mu.Unlock()

				if target != "deadly" {
					lost = append(lost, target)
				}
			})
		}

		wg.Wait()
		require.Empty(t, lost)

		for _, e := range d.engines {
			require.LessOrEqual(t, e.settings.Suspects.Table.Held(time.Now()), 1)
		}
	})
}

// Guards against a process that ends with every request in it when the processing of one query panics: the query ends
// with an error that promises nothing, its attempts are cancelled, and the next request is served.
func TestPanicsEndTheirQueryOnly(t *testing.T) {
	for name, breakEngine := range map[string]func(e *Engine){
		"in a step": func(e *Engine) { e.settings.Suspects.Tell = func() <-chan struct{} { panic("broken") } },
		"in a check": func(e *Engine) {
			e.settings.Suspects.Ended = func(context.Context, *domain.Searcher) bool { panic("broken") }
		},
		"before it starts": func(e *Engine) { e.settings.Suspects.Table = nil; e.settings.Gatherers = brokenGatherers{} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeadlySystem(t, 2, 2, 1, time.Minute, gatheredRoute("q", 2, 150*time.Millisecond, 2*time.Second, 0.5))
				e := d.engines[0]
				suspects, gatherers := e.settings.Suspects, e.settings.Gatherers

				breakEngine(e)

				deadly := request("q", "r1", 10*time.Millisecond, time.Second)
				deadly.Target = "/q/deadly"

				began := time.Now()
				_, err := e.Serve(t.Context(), deadly)
				require.Less(t, time.Since(began), time.Second, "it doesn't wait for its deadline")

				var failure *domain.Error

				require.ErrorAs(t, err, &failure)
				require.Equal(t, domain.FateUnknown, failure.Fate)

				time.Sleep(2 * time.Second)
				synctest.Wait()

				e.settings.Suspects, e.settings.Gatherers = suspects, gatherers

				resp, err := e.Serve(t.Context(), request("q", "r2", 10*time.Millisecond, time.Second))
				require.NoError(t, err)
				require.Equal(t, 200, resp.Status)
			})
		})
	}
}

// brokenGatherers is a Gatherers that panics.
type brokenGatherers struct{}

// Gather implements Gatherers.
func (brokenGatherers) Gather(context.Context, *Request, *domain.Route) (*Response, string, bool, error) {
	panic("broken")
}
