package query

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
)

// load describes the searchers of one trial and the queries sent to them.
type load struct {
	shards, searchers int
	instances         int
	// sigma is the standard deviation of the logarithm of the service time.
	sigma float64
	// stragglers is the share of attempts that take stragglerFactor times as long.
	stragglers float64
	// offered is the offered load as a share of all slots, stragglers included.
	offered  float64
	duration time.Duration
	seed     uint64
	// dead and silent are the numbers of shards, counted from shard 0, in which
	// one searcher refuses connections or never answers.
	dead    int
	silent  int
	domains int
	// domainDelay is the one-way network time to another failure domain.
	domainDelay time.Duration
	maxQueue    int
	rules       domain.Rules
}

const (
	slots           = 2
	medianService   = 5 * time.Millisecond
	stragglerFactor = 20
)

// designLoad is the load that the design page sets for the query path.
func designLoad(shards int) load {
	return load{
		shards: shards, searchers: 2, instances: 8, sigma: 0.5, stragglers: 0.02, offered: 0.6,
		duration: 8 * time.Second, seed: 1, domains: 3, domainDelay: 3 * time.Millisecond, maxQueue: 64,
		rules: domain.Rules{
			TimeoutMS: 1000, MaxAttempts: 4, ExtraLoadPermille: 50, Hedging: true, MinCoveragePermille: 1000, Repeatable: true,
		},
	}
}

// meanService is the mean time in a slot without cancellation.
func (l load) meanService(stragglers float64) time.Duration {
	return time.Duration(float64(medianService) * math.Exp(l.sigma*l.sigma/2) * (1 + stragglers*(stragglerFactor-1)))
}

// rate is the number of queries a second.
func (l load) rate() float64 {
	return l.offered * float64(l.searchers*slots) / l.meanService(designLoad(1).stragglers).Seconds()
}

func (l load) configuration() *domain.Configuration {
	svc := domain.Service{Name: "booking", Version: 1, Rules: l.rules, PartitionMap: domain.PartitionMap{Version: 1}}

	for s := range l.shards {
		sh := domain.Shard{Number: uint32(s)}
		for i := range l.searchers {
			sh.Searchers = append(sh.Searchers, domain.Searcher{
				ID: fmt.Sprintf("s%d-%d", s, i), Address: fmt.Sprintf("127.0.%d.%d:9000", s, i+1), Slots: slots,
				Connections: 25, FailureDomain: domainName((s + i) % l.domains),
			})
		}

		svc.PartitionMap.Shards = append(svc.PartitionMap.Shards, sh)
	}

	return &domain.Configuration{Version: 1, Services: []domain.Service{svc}}
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// fakeSearchers are the searchers of one trial with their queues.
type fakeSearchers struct {
	load      load
	searchers map[string]*fakeSearcher
	attempts  atomic.Int64
}

type fakeSearcher struct {
	slots  chan struct{}
	queued atomic.Int32
	runs   atomic.Int64

	mu       sync.Mutex // Guards the fields below.
	dead     bool
	silent   bool
	draining bool
	shed     bool
	held     map[domain.Snapshot]bool
	// statusDelay is how long a status takes.
	statusDelay time.Duration
}

func newFakeSearchers(l load, cfg *domain.Configuration) *fakeSearchers {
	f := &fakeSearchers{load: l, searchers: make(map[string]*fakeSearcher)}

	for _, sh := range cfg.Services[0].PartitionMap.Shards {
		for _, sr := range sh.Searchers {
			f.searchers[sr.ID] = &fakeSearcher{
				slots: make(chan struct{}, slots),
				held:  map[domain.Snapshot]bool{{IndexVersion: 1, PartitionMapVersion: 1}: true},
			}
		}
	}

	return f
}

// injectFailures makes as many searchers dead or silent as the load says.
func (f *fakeSearchers) injectFailures() {
	for shard := range max(f.load.dead, f.load.silent) {
		s := f.searchers[fmt.Sprintf("s%d-0", shard)]

		s.mu.Lock()
		s.dead, s.silent = shard < f.load.dead, shard < f.load.silent
		s.mu.Unlock()
	}
}

// fakeClient connects one instance to the fake searchers.
type fakeClient struct {
	*fakeSearchers
	domain string
}

func (c fakeClient) Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error) {
	c.attempts.Add(1)

	s := c.searchers[sr.ID]
	delay := 100 * time.Microsecond

	if sr.FailureDomain != c.domain {
		delay = c.load.domainDelay
	}

	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}

	resp, err := s.run(ctx, c.load, req)
	if err != nil {
		_ = sleep(ctx, delay)

		return nil, err
	}

	return resp, sleep(ctx, delay)
}

func (s *fakeSearcher) run(ctx context.Context, l load, req *pb.RunRequest) (*pb.RunResponse, error) {
	pinned := domain.Snapshot{
		IndexVersion: req.GetSnapshot().GetIndexVersion(), PartitionMapVersion: req.GetSnapshot().GetPartitionMapVersion(),
	}

	s.mu.Lock()
	dead, silent, draining, shed, held := s.dead, s.silent, s.draining, s.shed, s.held[pinned]
	s.mu.Unlock()

	notRun := func(code domain.Code) error { return domain.Errorf(domain.FateNotRun, code, "run", "refused") }

	switch {
	case dead:
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "run", "connection refused")
	case silent:
		return nil, sleep(ctx, time.Hour)
	case draining:
		return nil, notRun(domain.CodeSearcherDraining)
	case !held:
		return nil, notRun(domain.CodeSnapshotGone)
	case shed || int(s.queued.Load()) >= l.maxQueue:
		return nil, notRun(domain.CodeOverloaded)
	}

	s.queued.Add(1)

	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)

		return nil, notRun(domain.CodeCancelled)
	}

	defer func() { <-s.slots }()

	s.runs.Add(1)

	took := l.serviceTime(req)
	if err := sleep(ctx, took); err != nil {
		return nil, err
	}

	return &pb.RunResponse{
		QueryId: req.GetQueryId(), Attempt: req.GetAttempt(), Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		Hits: []*pb.Hit{{Id: strconv.Itoa(int(req.GetShard())), Body: strconv.FormatUint(pinned.IndexVersion, 10)}},
		Load: &pb.SearcherLoad{
			Slots: slots, Running: uint32(len(s.slots) - 1), Queued: uint32(s.queued.Load()), ServiceUs: uint64(took.Microseconds()),
		},
	}, nil
}

// serviceTime draws the time that one attempt takes. It depends on the query, the
// shard and the attempt only, so that every policy gets the same load.
func (l load) serviceTime(req *pb.RunRequest) time.Duration {
	var query uint64

	_, _ = fmt.Sscanf(req.GetQuery(), "%d", &query)

	rng := rand.New(rand.NewPCG(l.seed<<32|query, uint64(req.GetShard())<<32|uint64(req.GetAttempt())))
	t := float64(medianService) * math.Exp(l.sigma*rng.NormFloat64())

	if rng.Float64() < l.stragglers {
		t *= stragglerFactor
	}

	return time.Duration(t)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return domain.Errorf(domain.FateUnknown, domain.CodeCancelled, "run", "cancelled")
	}
}

// Status implements StatusSource.
func (c fakeClient) Status(ctx context.Context, sr *domain.Searcher) (*pb.GetStatusResponse, error) {
	s := c.searchers[sr.ID]

	s.mu.Lock()
	delay := s.statusDelay
	s.mu.Unlock()

	if delay > 0 {
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.dead || s.silent {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "get status", "no answer")
	}

	st := &pb.GetStatusResponse{
		Searcher: sr.ID, Healthy: true,
		Load: &pb.SearcherLoad{Slots: slots, Running: uint32(len(s.slots)), Queued: uint32(s.queued.Load()), Draining: s.draining},
	}

	var shard uint32

	_, _ = fmt.Sscanf(sr.ID, "s%d-", &shard)

	for h := range s.held {
		st.Held = append(st.Held, &pb.HeldSnapshot{
			Service: "booking", Shard: shard,
			Snapshot: &pb.Snapshot{IndexVersion: h.IndexVersion, PartitionMapVersion: h.PartitionMapVersion},
		})
	}

	return st, ctx.Err()
}

// testInstance is one instance of the system in a trial.
type testInstance struct {
	runner    *Runner
	routing   *routing.Table
	snapshots *snapshot.Table
	client    fakeClient
}

func newTestInstance(f *fakeSearchers, cfg *domain.Configuration, i int) *testInstance {
	self := domain.Instance{ID: fmt.Sprintf("i%d", i), FailureDomain: domainName(i % f.load.domains)}
	rng := rand.New(rand.NewPCG(f.load.seed, uint64(i)))
	in := &testInstance{
		routing: &routing.Table{Random: rng.Uint64}, snapshots: &snapshot.Table{}, client: fakeClient{f, self.FailureDomain},
	}
	in.runner = NewRunner(zerolog.Nop(), self, in.client, in.routing, in.snapshots, false)
	in.poll(cfg)

	return in
}

// soleHolder says that this instance alone holds each service.
type soleHolder struct{}

func (soleHolder) HolderCount(*domain.Configuration, string) int { return 1 }

// poll does what the first round of a Poller does.
func (in *testInstance) poll(cfg *domain.Configuration) {
	p := NewPoller(zerolog.Nop(), in.client, nil, in.snapshots, in.routing, soleHolder{}, in.runner.Answers)
	p.configure(cfg)
	p.pollDue(context.Background())
}
