// Package query runs whole queries: it drives the state machine of package
// scatter with real searchers, timers and the caller's deadline.
package query

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/scatter"
	"primrosespring.example/internal/snapshot"
)

// Searchers sends attempts.
type Searchers interface {
	Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error)
}

// Runner runs queries. It is safe for concurrent use.
type Runner struct {
	log       zerolog.Logger
	instance  domain.Instance
	searchers Searchers
	routing   *routing.Table
	snapshots *snapshot.Table
	prefix    string
	next      atomic.Uint64
	logRoutes bool

	mu       sync.Mutex // Guards services.
	services map[string]*serviceState
}

// serviceState is what the queries of one service share.
type serviceState struct {
	delayer hedging.Delayer
	budget  budget.Budget
}

// NewRunner returns a runner for the instance.
func NewRunner(log zerolog.Logger, instance domain.Instance, s Searchers,
	rt *routing.Table, st *snapshot.Table, logRoutes bool,
) *Runner {
	var nonce [6]byte

	_, _ = rand.Read(nonce[:])

	return &Runner{
		log: log, instance: instance, searchers: s, routing: rt, snapshots: st, logRoutes: logRoutes,
		prefix:   instance.ID + "-" + hex.EncodeToString(nonce[:]) + "-",
		services: make(map[string]*serviceState),
	}
}

// Search runs a repeatable query on the configuration cfg until the deadline
// of ctx. Errors are domain.Error.
func (r *Runner) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	start := time.Now()

	svc, ok := cfg.Service(req.GetService())
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "search", "service %q doesn't exist", req.GetService())
	}

	if !svc.Rules.Repeatable {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "search", "service %s takes no repeatable requests", svc.Name)
	}

	timeout := svc.Rules.Timeout()
	if t := time.Duration(req.GetTimeoutMs()) * time.Millisecond; t > 0 && t < timeout {
		timeout = t
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	snap, ok := r.snapshots.Choose(svc)
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNoLiveSearcher, "choose snapshot",
			"no searcher of %s is known to hold a snapshot", svc.Name)
	}

	run := newExecution(r, cfg, svc, req, snap)
	deadline, _ := ctx.Deadline()

	if err := run.loop(ctx, deadline); err != nil {
		return nil, err
	}

	return run.response(start)
}

func (r *Runner) service(name string) *serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()

	s, ok := r.services[name]
	if !ok {
		s = &serviceState{}
		r.services[name] = s
	}

	return s
}

func (r *Runner) queryID() string {
	return r.prefix + strconv.FormatUint(r.next.Add(1), 36)
}

// execution is one query at work.
type execution struct {
	runner *Runner
	cfg    *domain.Configuration
	svc    *domain.Service
	req    *pb.SearchRequest
	snap   domain.Snapshot
	id     string
	query  *scatter.Query
	events chan event
	cancel map[uint32]context.CancelFunc
	hits   map[uint32][]*pb.Hit
	state  *serviceState
}

// event is the end of one attempt.
type event struct {
	attempt uint32
	shard   uint32
	resp    *pb.RunResponse
	err     error
}

func newExecution(r *Runner, cfg *domain.Configuration, svc *domain.Service, req *pb.SearchRequest, snap domain.Snapshot) *execution {
	shards := len(svc.PartitionMap.Shards)

	return &execution{
		runner: r, cfg: cfg, svc: svc, req: req, snap: snap, id: r.queryID(),
		events: make(chan event, shards*int(svc.Rules.MaxAttempts)),
		cancel: make(map[uint32]context.CancelFunc, shards),
		hits:   make(map[uint32][]*pb.Hit, shards),
		state:  r.service(svc.Name),
	}
}

func (x *execution) loop(ctx context.Context, deadline time.Time) error {
	x.query = scatter.New(scatter.Params{
		Service: x.svc, Snapshot: x.snap, Deadline: deadline, Nearby: x.runner.instance.FailureDomain,
		Eligible: func(shard uint32, searcher string) bool {
			return x.runner.snapshots.Holds(x.svc.Name, shard, searcher, x.snap)
		},
	}, x.runner.routing, &x.state.delayer, &x.state.budget)

	step := x.query.Start(time.Now())

	for {
		x.perform(ctx, step)

		if step.Done {
			return nil
		}

		timer := time.NewTimer(time.Until(step.Wake))

		select {
		case e := <-x.events:
			step = x.handle(e)
		case <-timer.C:
			step = x.query.Advance(time.Now())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				x.perform(ctx, x.query.Abandon(time.Now()))

				return domain.Errorf(domain.FateUnknown, domain.CodeCancelled, "search", "the caller cancelled the request")
			}

			step = x.query.Advance(deadline)
		}

		timer.Stop()
	}
}

func (x *execution) perform(ctx context.Context, s scatter.Step) {
	for _, id := range s.Cancel {
		x.cancel[id]()
	}

	for _, a := range s.Send {
		x.logRoute(a)

		actx, cancel := context.WithCancel(ctx)
		x.cancel[a.ID] = cancel

		go x.run(actx, a)
	}
}

func (x *execution) run(ctx context.Context, a scatter.Attempt) {
	resp, err := x.runner.searchers.Run(ctx, a.Searcher, &pb.RunRequest{
		Service: x.svc.Name, QueryId: x.id, Attempt: a.ID, Shard: a.Shard, Query: x.req.GetQuery(),
		Snapshot: &pb.Snapshot{IndexVersion: x.snap.IndexVersion, PartitionMapVersion: x.snap.PartitionMapVersion},
	})
	x.events <- event{attempt: a.ID, shard: a.Shard, resp: resp, err: err}
}

func (x *execution) handle(e event) scatter.Step {
	now := time.Now()
	x.cancel[e.attempt]()

	if e.err == nil {
		if _, ok := x.hits[e.shard]; !ok {
			x.hits[e.shard] = e.resp.GetHits()
		}

		return x.query.Answered(now, e.attempt, loadOf(e.resp.GetLoad()))
	}

	outcome, code := classify(e.err)

	return x.query.Failed(now, e.attempt, outcome, code)
}

func (x *execution) logRoute(a scatter.Attempt) {
	if !x.runner.logRoutes {
		return
	}

	x.runner.log.Info().Str("event", "route").Str("query_id", x.id).Uint32("attempt", a.ID).
		Uint32("shard", a.Shard).Str("searcher", a.Searcher.ID).Str("reason", a.Reason).
		Int64("expected_us", a.Expected.Microseconds()).Send()
}

func (x *execution) response(start time.Time) (*pb.SearchResponse, error) {
	c := x.query.Coverage()
	if !coverage.Accepts(x.svc.Rules, c) {
		return nil, domain.Errorf(domain.FateRan, domain.CodeCoverage, "search",
			"%d of %d shards answered; first missing shard: %d (%s)",
			len(c.Included), c.Shards, c.Missing[0].Shard, c.Missing[0].Reason)
	}

	resp := &pb.SearchResponse{
		RequestId: x.req.GetRequestId(), ConfigurationVersion: x.cfg.Version,
		Snapshot:  &pb.Snapshot{IndexVersion: x.snap.IndexVersion, PartitionMapVersion: x.snap.PartitionMapVersion},
		Coverage:  &pb.Coverage{Shards: c.Shards, Included: c.Included},
		ElapsedUs: uint64(max(time.Since(start), 0).Microseconds()),
		Attempts:  uint32(x.query.Attempts()),
		Instance:  x.runner.instance.ID,
	}

	for _, m := range c.Missing {
		resp.Coverage.Missing = append(resp.Coverage.Missing, &pb.MissingShard{Shard: m.Shard, Reason: string(m.Reason)})
	}

	for _, shard := range c.Included {
		resp.Results = append(resp.Results, &pb.ShardResult{Shard: shard, Hits: x.hits[shard]})
	}

	return resp, nil
}

func loadOf(l *pb.SearcherLoad) *routing.Load {
	if l == nil {
		return nil
	}

	return &routing.Load{
		Running: l.GetRunning(), Queued: l.GetQueued(), Draining: l.GetDraining(),
		Service: time.Duration(l.GetServiceUs()) * time.Microsecond,
	}
}

// classify tells routing how an attempt failed.
func classify(err error) (routing.Outcome, domain.Code) {
	var e *domain.Error
	if !errors.As(err, &e) {
		return routing.Unreachable, domain.CodeInternal
	}

	switch {
	case e.Fate == domain.FateNotRun:
		return routing.Shed, e.Code
	case e.Code == domain.CodeDeadline || e.Code == domain.CodeCancelled:
		return routing.Cancelled, e.Code
	default:
		return routing.Unreachable, domain.CodeSearcherUnavailable
	}
}
