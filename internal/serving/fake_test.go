package serving

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/routing"
)

// model simulates searchers with slots, queues, pauses and service times in the
// virtual time of a synctest bubble. Random values depend on the seed, the request
// and the searcher, not on the scheduling of goroutines, so that a load pattern has
// the same outcome in every run.
type model struct {
	seed     uint64
	calls    sync.WaitGroup
	mu       sync.Mutex // Guards the fields below and the servers.
	servers  map[string]*server
	arrivals map[string]int // Calls by searcher id.
	// draws counts the calls for each request and searcher.
	draws map[string]uint64
	// refusal is the error of requests that are refused by refuseShare.
	refusal error
}

// server simulates one searcher.
type server struct {
	slots, queueLimit int
	// pauseFor is how long all work stops in each period pauseEvery; phase shifts
	// the periods.
	pauseFor, pauseEvery, phase time.Duration
	// slow multiplies service times if it exceeds 1.
	slow float64
	// refuseShare is the share of requests that are refused with the model's refusal.
	refuseShare float64
	// respond overrides the outcome of a request, if it is set.
	respond func(c Call) (*Reply, *routing.Load, error)

	running int
	waiting []chan struct{}
	ran     []string // The ids of the requests that got a slot.
}

func newModel(seed uint64) *model {
	return &model{
		seed: seed, servers: make(map[string]*server), arrivals: make(map[string]int), draws: make(map[string]uint64),
	}
}

// random returns the random source of a call; the caller holds mu.
func (m *model) random(c Call) *rand.Rand {
	key := c.Request.ID + "/" + c.Searcher.ID
	m.draws[key]++

	return rand.New(rand.NewPCG(m.seed, xxhash.Sum64String(key)+m.draws[key]))
}

// serviceTime returns a log-normal service time with the given mean; one in a hundred
// takes five times as long.
func serviceTime(rng *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.35

	w := float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	if rng.Float64() < 0.01 {
		w *= 5
	}

	return time.Duration(w)
}

// Do implements SearcherClient.
func (m *model) Do(ctx context.Context, c Call) (*Reply, *routing.Load, error) {
	m.calls.Add(1)
	defer m.calls.Done()

	m.mu.Lock()
	s := m.servers[c.Searcher.ID]
	m.arrivals[c.Searcher.ID]++
	mean, _ := time.ParseDuration(c.Request.Header.Get("Work"))
	rng := m.random(c)
	needs := time.Duration(float64(serviceTime(rng, mean)) * max(s.slow, 1))
	m.mu.Unlock()

	refused := s.refuseShare > 0 && rng.Float64() < s.refuseShare

	if refused {
		// Refusals of one query's attempts take different times, so that their order
		// doesn't depend on the scheduler.
		time.Sleep(time.Millisecond + time.Duration(rng.Int64N(int64(time.Millisecond))))

		return nil, m.load(s), m.refusal
	}

	if s.respond != nil {
		return s.respond(c)
	}

	if !m.acquire(ctx, s) {
		if ctx.Err() != nil {
			return nil, nil, domain.Errorf(domain.FateUnknown, domain.CodeCancelled, "send attempt", "cancelled")
		}

		return nil, m.load(s), domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "send attempt", "shed")
	}

	m.mu.Lock()
	s.ran = append(s.ran, c.Request.ID)
	m.mu.Unlock()

	defer m.release(s)

	t := time.NewTimer(s.elapsed(time.Now(), needs))
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, nil, domain.Errorf(domain.FateUnknown, domain.CodeCancelled, "send attempt", "cancelled")
	}

	r := &Reply{Signature: c.Searcher.ID + "/" + c.Request.ID, Load: m.load(s)}
	r.Status, r.Body = http.StatusOK, fmt.Appendf(nil, "%-16s", c.Searcher.ID)

	return r, r.Load, nil
}

// elapsed returns how long work that starts now takes, pauses included.
func (s *server) elapsed(now time.Time, work time.Duration) time.Duration {
	if s.pauseEvery == 0 {
		return work
	}

	end := now

	for work > 0 {
		offset := time.Duration(end.UnixNano()+int64(s.phase)) % s.pauseEvery
		if offset < s.pauseFor {
			end = end.Add(s.pauseFor - offset)

			continue
		}

		step := min(work, s.pauseEvery-offset)
		work -= step
		end = end.Add(step)
	}

	return end.Sub(now)
}

// acquire takes a slot, waiting in the queue if none is free. It reports false if the
// queue is full or ctx ends.
func (m *model) acquire(ctx context.Context, s *server) bool {
	m.mu.Lock()

	if s.running < s.slots {
		s.running++
		m.mu.Unlock()

		return true
	}

	if len(s.waiting) >= s.queueLimit {
		m.mu.Unlock()

		return false
	}

	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	m.mu.Unlock()

	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if i := slices.Index(s.waiting, granted); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	} else {
		m.releaseLocked(s)
	}

	return false
}

func (m *model) release(s *server) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.releaseLocked(s)
}

// releaseLocked frees a slot or passes it to the first waiting request; the lock is
// held.
func (m *model) releaseLocked(s *server) {
	if len(s.waiting) == 0 {
		s.running--

		return
	}

	close(s.waiting[0])
	s.waiting = slices.Delete(s.waiting, 0, 1)
}

func (m *model) load(s *server) *routing.Load {
	m.mu.Lock()
	defer m.mu.Unlock()

	return &routing.Load{Running: uint32(s.running), Queued: uint32(len(s.waiting))}
}

// system is a directory with pools of simulated searchers, and some engines.
type system struct {
	model   *model
	dir     *directory.Directory
	engines []*Engine
	// offers counts the calls of offer.
	offers uint64
}

func poolName(i int) string          { return fmt.Sprintf("pool-%02d", i) }
func searcherID(pool, i int) string  { return fmt.Sprintf("s-%02d-%d", pool, i) }
func testAddress(pool, i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+10*pool+i) }

// newSystem returns a system. Since a bubble's clock stops when its test returns, the
// cleanup waits for the calls that searchers still process.
func newSystem(t *testing.T, seed uint64, engines, pools, perPool int, routes ...domain.Route) *system {
	t.Helper()

	s := &system{model: newModel(seed), dir: &directory.Directory{}}
	t.Cleanup(s.model.calls.Wait)

	rng := rand.New(rand.NewPCG(seed, seed))
	table := &domain.RouteTable{Version: 1, Routes: routes}

	var list []domain.Registration

	for p := range pools {
		table.Pools = append(table.Pools, domain.Pool{Name: poolName(p), Connections: 26})

		for i := range perPool {
			id := searcherID(p, i)
			s.model.servers[id] = &server{
				slots: 2, queueLimit: 12, phase: time.Duration(rng.Int64N(int64(10 * time.Second))),
			}
			list = append(list, domain.Registration{
				ID: id, Pool: poolName(p), Address: testAddress(p, i), FailureDomain: fmt.Sprintf("fd-%d", i), Slots: 2, Sequence: 1,
			})
		}
	}

	s.dir.Configure(table)
	s.dir.ReplaceSearchers(list)

	for i := range engines {
		e := New(zerolog.New(io.Discard), Settings{
			Instance:      domain.Instance{ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("fd-%d", i%3)},
			ExtraAttempts: budget.Limit{Ratio: 0.2, Slack: 58, Window: 10 * time.Second},
		}, s.dir, s.model, &routing.Table{Random: rand.NewPCG(seed, uint64(i)).Uint64, MaxReportAge: 100 * time.Millisecond})
		e.SetShares(Shares{Gathered: 1 / float64(engines), Direct: 1 / float64(engines)})
		e.started = e.started.Add(-time.Minute)
		s.engines = append(s.engines, e)
	}

	return s
}

// pause makes every searcher stop for length once in each period every.
func (s *system) pause(length, every time.Duration) {
	for _, sv := range s.model.servers {
		sv.pauseFor, sv.pauseEvery = length, every
	}
}

func gatheredRoute(name string, pools int, objective, timeout time.Duration, coverage float64) domain.Route {
	r := domain.Route{
		Name: name, Host: "h", PathPrefix: "/" + name + "/", Repeatable: true, Timeout: timeout, LatencyObjective: objective,
		MaxAttempts: 2, TopRecords: 50, MinCoverage: coverage,
	}
	for i := range pools {
		r.Shards = append(r.Shards, poolName(i))
	}

	return r
}

func request(route, id string, work, timeout time.Duration) *Request {
	return &Request{
		ID: id, Host: "h", Path: "/" + route + "/x", Target: "/" + route + "/x", Method: http.MethodGet,
		Header: http.Header{"Work": {work.String()}}, Received: time.Now(), CallerTimeout: timeout,
	}
}

// result counts the outcomes of requests.
type result struct {
	mu sync.Mutex // Guards the fields below.
	// inTime counts answers within the latency objective, refused errors with the
	// fate not run, and failed all other errors.
	requests, inTime, refused, failed int
	// credit sums the squared coverage of the answers within the latency objective.
	credit float64
}

// offer starts to send requests of one route to the engines in turn for the given
// length, as a Poisson process with rate requests a second; work is their mean service
// time. The requests have ended once wg is done.
func (s *system) offer(t *testing.T, wg *sync.WaitGroup, route string, rate float64, work, timeout, length time.Duration, out *result) {
	t.Helper()

	r := s.dir.View().Table.Routes[slices.IndexFunc(s.dir.View().Table.Routes, func(r domain.Route) bool { return r.Name == route })]

	s.offers++
	rng := rand.New(rand.NewPCG(s.model.seed, s.offers))

	wg.Go(func() {
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))

			req := request(route, fmt.Sprintf("%s-%d", route, i), work, timeout)
			e := s.engines[i%len(s.engines)]

			wg.Go(func() {
				resp, err := e.Serve(context.Background(), req)
				out.add(&r, time.Since(req.Received), resp, err)
			})
		}
	})
}

func (o *result) add(r *domain.Route, elapsed time.Duration, resp *Response, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.requests++

	var e *domain.Error

	switch {
	case errors.As(err, &e) && e.Fate == domain.FateNotRun:
		o.refused++
	case err != nil:
		o.failed++
	case elapsed <= r.LatencyObjective:
		o.inTime++
		share := 1.0

		if n := len(r.Shards); n > 0 {
			share = float64(n-resp.Missing) / float64(n)
		}

		o.credit += share * share
	}
}

// meanCredit returns the credit of a request, 0 to 1, on average.
func (o *result) meanCredit() float64 { return o.credit / float64(max(o.requests, 1)) }

func requireFate(t *testing.T, want domain.Fate, err error) *domain.Error {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, want, e.Fate, "%v", err)

	return e
}
