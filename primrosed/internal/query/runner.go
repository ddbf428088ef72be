// Package query runs repeatable queries: it drives the state machine of package
// scatter with real searchers, timers and the caller's deadline. Its Poller asks
// searchers for their status.
package query

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/admission"
	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
)

// SearcherClient sends attempts to searchers.
type SearcherClient interface {
	Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error)
}

// Runner runs queries. It is safe for concurrent use.
type Runner struct {
	// Current returns the configuration in force, for a restarted query; nil
	// keeps the one that the query started with. It must be set before first
	// use.
	Current func() *domain.Configuration
	// Answers records the answers of searchers; it must be set before first use
	// if a Poller shares it.
	Answers *Answers

	log       zerolog.Logger
	instance  domain.Instance
	searchers SearcherClient
	routing   *routing.Table
	snapshots *snapshot.Table
	idPrefix  string
	lastID    atomic.Uint64
	logRoutes bool

	mu       sync.RWMutex // Guards services.
	services map[string]*serviceState
}

// serviceState is what the queries of one service share.
type serviceState struct {
	delayer hedging.Delayer
	budget  budget.Budget
	gate    admission.Gate
	metrics *serviceMetrics
}

// maxStarts is how often one query may be started, restarts included.
const maxStarts = 3

// NewRunner returns a runner for the instance.
func NewRunner(log zerolog.Logger, instance domain.Instance, s SearcherClient,
	rt *routing.Table, st *snapshot.Table, logRoutes bool,
) *Runner {
	var nonce [6]byte

	_, _ = rand.Read(nonce[:])

	return &Runner{
		log: log, instance: instance, searchers: s, routing: rt, snapshots: st, logRoutes: logRoutes,
		idPrefix: instance.ID + "-" + hex.EncodeToString(nonce[:]) + "-",
		services: make(map[string]*serviceState),
		Answers:  &Answers{},
	}
}

// Search runs a repeatable query under configuration cfg until the deadline of
// ctx at most. Errors are of type *domain.Error.
func (r *Runner) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	start := time.Now()
	resp, err := r.serve(ctx, start, cfg, req)
	r.logIncomplete(cfg, req, start, resp, err)

	return resp, err
}

// serve checks and runs a query and counts its outcome.
func (r *Runner) serve(ctx context.Context, start time.Time, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	svc, err := repeatableService(cfg, req)
	if err != nil {
		countRefusal(err)

		return nil, err
	}

	state := r.service(svc.Name)
	resp, err := r.search(ctx, start, cfg, svc, state, req)
	state.metrics.countQuery(time.Since(start), resp, err)

	return resp, err
}

// logIncomplete logs why a query has no answer or a partial one.
func (r *Runner) logIncomplete(cfg *domain.Configuration, req *pb.SearchRequest, start time.Time, resp *pb.SearchResponse, err error) {
	missing := resp.GetCoverage().GetMissing()
	if err == nil && len(missing) == 0 {
		return
	}

	e := r.log.Info().Str("event", "query_incomplete").Str("request_id", req.GetRequestId()).Str("service", req.GetService()).
		Uint64("version", cfg.Version).Int64("elapsed_ms", time.Since(start).Milliseconds())

	if err != nil {
		e.Err(err).Send()

		return
	}

	list := make([]string, len(missing))
	for i, m := range missing {
		list[i] = strconv.FormatUint(uint64(m.GetShard()), 10) + ":" + m.GetReason()
	}

	e.Str("missing", strings.Join(list, " ")).Uint64("partition_map_version", resp.GetSnapshot().GetPartitionMapVersion()).
		Uint64("index_version", resp.GetSnapshot().GetIndexVersion()).Uint32("attempts", resp.GetAttempts()).Send()
}

func repeatableService(cfg *domain.Configuration, req *pb.SearchRequest) (*domain.Service, error) {
	svc, ok := cfg.Service(req.GetService())
	if !ok {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "search", "service %q doesn't exist", req.GetService())
	}

	if !svc.Rules.Repeatable {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "search", "service %s takes no repeatable requests", svc.Name)
	}

	return svc, nil
}

func (r *Runner) search(ctx context.Context, start time.Time, cfg *domain.Configuration, svc *domain.Service,
	state *serviceState, req *pb.SearchRequest,
) (*pb.SearchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, svc.Rules.TimeoutFor(req.GetTimeoutMs()))
	defer cancel()

	ticket, err := r.admit(ctx, cfg, svc, state, req.GetMember())
	if err != nil {
		return nil, err
	}

	defer func() {
		state.gate.Done(ticket)
		r.acceptWaiting(svc, state)
	}()

	attempts := 0

	for starts := 1; ; starts++ {
		snap, ok := r.snapshots.AwaitChoice(ctx, svc, cfg.Version)
		if !ok {
			return nil, noSnapshot(svc, attempts)
		}

		x := newExecution(r, cfg, svc, req, snap, state)
		x.ticket, x.priorAttempts, x.mayRestart = ticket, attempts, starts < maxStarts

		if err := x.run(ctx); err != nil {
			return nil, err
		}

		if !x.restart {
			return x.response(start)
		}

		attempts += x.query.Attempts()
		cfg, svc = r.latest(cfg, svc)
		r.log.Info().Str("event", "query_restarted").Str("query_id", x.id).
			Uint64("index_version", snap.IndexVersion).Uint64("partition_map_version", snap.PartitionMapVersion).Send()
	}
}

// admit waits until the gate accepts or refuses the query.
func (r *Runner) admit(ctx context.Context, cfg *domain.Configuration, svc *domain.Service, state *serviceState, member string,
) (*admission.Ticket, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	capacity := r.capacity(now, svc, state)

	m := cfg.Member(member)

	ticket, err := state.gate.Offer(now, admission.Request{
		Member: m.Name, Weight: m.Weight, TimeLeft: deadline.Sub(now),
	}, capacity)
	if err != nil {
		return nil, err
	}

	select {
	case <-ticket.Ready:
		return ticket, nil
	default:
	}

	timer := time.NewTimer(admission.MaxWait)
	defer timer.Stop()

	select {
	case <-ticket.Ready:
		return ticket, nil
	case <-timer.C:
	case <-ctx.Done():
	}

	if err := state.gate.Withdraw(ticket, capacity); err != nil {
		return nil, err
	}

	return ticket, nil
}

// capacity returns the capacity of the service's searchers for the gate, and
// updates the conditions of the budget.
func (r *Runner) capacity(now time.Time, svc *domain.Service, state *serviceState) admission.Capacity {
	snap, _ := r.snapshots.Choose(svc)
	p := r.routing.ServiceLoad(now, svc, r.instance.FailureDomain, func(shard uint32, searcher string) bool {
		return r.snapshots.Holds(svc.Name, shard, searcher, snap)
	})
	state.budget.SetConditions(budget.Conditions{Degraded: p.Degraded, Saturation: p.Saturation})

	return admission.Capacity{Free: p.Free, ExpectedLatency: p.Wait}
}

// acceptWaiting accepts waiting queries after capacity has become free.
func (r *Runner) acceptWaiting(svc *domain.Service, state *serviceState) {
	if state.gate.Waiting() > 0 {
		now := time.Now()
		state.gate.AcceptWaiting(now, r.capacity(now, svc, state))
	}
}

// latest returns the configuration and service to restart a query with.
func (r *Runner) latest(cfg *domain.Configuration, svc *domain.Service) (*domain.Configuration, *domain.Service) {
	if r.Current == nil {
		return cfg, svc
	}

	c := r.Current()
	if s, ok := c.Service(svc.Name); ok && s.Rules.Repeatable {
		return c, s
	}

	return cfg, svc
}

func (r *Runner) service(name string) *serviceState {
	r.mu.RLock()
	s, ok := r.services[name]
	r.mu.RUnlock()

	if ok {
		return s
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if s, ok := r.services[name]; ok {
		return s
	}

	s = &serviceState{metrics: newServiceMetrics(name)}
	r.services[name] = s

	return s
}

func (r *Runner) queryID() string {
	return r.idPrefix + strconv.FormatUint(r.lastID.Add(1), 36)
}

func noSnapshot(svc *domain.Service, attempts int) error {
	fate := domain.FateNotRun
	if attempts > 0 {
		fate = domain.FateUnknown
	}

	return domain.Errorf(fate, domain.CodeNoLiveSearcher, "choose snapshot",
		"no searcher of %s is known to hold a snapshot", svc.Name)
}

// classify maps the error of an attempt to an outcome for routing and a code.
func classify(err error) (routing.Outcome, domain.Code) {
	var e *domain.Error
	if !errors.As(err, &e) {
		return routing.Unreachable, domain.CodeInternal
	}

	switch {
	case e.Code == domain.CodeSearcherUnavailable, e.Code == domain.CodeSearcherSilent:
		return routing.Unreachable, e.Code
	case e.Code == domain.CodeDeadline || e.Code == domain.CodeCancelled:
		return routing.Cancelled, e.Code
	case e.Code == domain.CodeCorrupt:
		return routing.Unreachable, e.Code
	case e.Fate != domain.FateNotRun:
		return routing.Unreachable, domain.CodeSearcherUnavailable
	case e.Code == domain.CodeSearcherDraining, e.Code == domain.CodeStopping:
		return routing.Draining, domain.CodeSearcherDraining
	case e.Code == domain.CodeOverloaded || e.Code == domain.CodeRateLimited:
		return routing.Shed, domain.CodeOverloaded
	default:
		return routing.Refused, e.Code
	}
}
