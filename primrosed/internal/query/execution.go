package query

import (
	"context"
	"errors"
	"time"

	"primrosespring.example/internal/admission"
	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/contain"
	"primrosespring.example/internal/coverage"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/scatter"
	"primrosespring.example/primrosed/internal/searcher"
)

// execution runs one query on one snapshot.
type execution struct {
	runner *Runner
	cfg    *domain.Configuration
	svc    *domain.Service
	req    *pb.SearchRequest
	snap   domain.Snapshot
	state  *serviceState
	ticket *admission.Ticket
	// priorAttempts counts the attempts sent before the query was restarted.
	priorAttempts int
	// mayRestart allows a restart on another snapshot; restart asks for one.
	mayRestart bool
	restart    bool

	id       string
	deadline time.Time
	query    *scatter.Query
	results  chan attemptResult
	cancel   []context.CancelFunc // By attempt.
	sentTo   []*domain.Searcher   // By attempt.
	hits     [][]*pb.Hit          // By shard.
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	attempt  uint32
	shard    uint32
	searcher string
	resp     *pb.RunResponse
	err      error
}

func newExecution(r *Runner, cfg *domain.Configuration, svc *domain.Service, req *pb.SearchRequest,
	snap domain.Snapshot, state *serviceState,
) *execution {
	shards := len(svc.PartitionMap.Shards)

	return &execution{
		runner: r, cfg: cfg, svc: svc, req: req, snap: snap, state: state, id: r.queryID(),
		// The buffer holds every result, so that no attempt blocks after the
		// query has ended.
		results: make(chan attemptResult, shards*int(svc.Rules.MaxAttempts)),
		cancel:  make([]context.CancelFunc, 0, shards+1),
		sentTo:  make([]*domain.Searcher, 0, shards+1),
		hits:    make([][]*pb.Hit, shards),
	}
}

// run runs the query until it is done or has to be restarted. It returns an
// error only if the caller cancelled.
func (x *execution) run(ctx context.Context) error {
	now := time.Now()
	x.deadline, _ = ctx.Deadline()
	x.query = scatter.New(scatter.Params{
		Service: x.svc, Snapshot: x.snap, Deadline: x.deadline, LocalDomain: x.runner.instance.FailureDomain,
		// A shard that waits for a permit leaves as much time for its answer.
		PermitWait: now.Add(x.deadline.Sub(now) / 2),
		Eligible: func(shard uint32, searcher string) bool {
			return x.runner.snapshots.Holds(x.svc.Name, shard, searcher, x.snap)
		},
	}, x.runner.routing, &x.state.delayer, budget.Shared{Budget: &x.state.budget})

	step := x.query.Start(now)
	x.state.gate.Started(x.ticket)

	timer := time.NewTimer(time.Until(step.Wake))
	defer timer.Stop()

	for {
		x.perform(ctx, step)

		if x.shouldRestart() {
			x.restart = true
			x.perform(ctx, x.query.Cancel(time.Now()))

			return nil
		}

		if step.Done {
			return nil
		}

		timer.Reset(time.Until(step.Wake))

		select {
		case res := <-x.results:
			step = x.handle(res)
		case <-timer.C:
			step = x.query.Advance(time.Now())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				x.perform(ctx, x.query.Cancel(time.Now()))

				return domain.Errorf(x.fate(), domain.CodeCancelled, "search", "the caller cancelled the request")
			}

			step = x.query.Advance(x.deadline)
		}
	}
}

func (x *execution) perform(ctx context.Context, s scatter.Step) {
	for _, id := range s.Cancel {
		x.cancel[id]()
	}

	for _, a := range s.Send {
		x.logAttempt(a)
		x.state.metrics.countAttempt(a.Reason)

		actx, cancel := context.WithCancel(ctx)
		x.cancel = append(x.cancel, cancel)
		x.sentTo = append(x.sentTo, a.Searcher)

		go x.runAttempt(actx, a)
	}
}

func (x *execution) runAttempt(ctx context.Context, a scatter.Attempt) {
	var resp *pb.RunResponse

	err := contain.Call(x.runner.log, "send attempt", a.Searcher.ID, func() (err error) {
		resp, err = x.runner.searchers.Run(ctx, a.Searcher, &pb.RunRequest{
			Service: x.svc.Name, QueryId: x.id, Attempt: a.ID, Shard: a.Shard, Query: x.req.GetQuery(),
			Snapshot: &pb.Snapshot{IndexVersion: x.snap.IndexVersion, PartitionMapVersion: x.snap.PartitionMapVersion},
		})

		return err
	})
	x.results <- attemptResult{attempt: a.ID, shard: a.Shard, searcher: a.Searcher.ID, resp: resp, err: err}
}

func (x *execution) handle(res attemptResult) scatter.Step {
	now := time.Now()
	x.cancel[res.attempt]()

	defer x.runner.acceptWaiting(x.svc, x.state)

	if res.err == nil {
		if x.hits[res.shard] == nil {
			x.hits[res.shard] = res.resp.GetHits()
		}

		x.runner.Answers.record(res.searcher, now, res.resp.GetLoad().GetHeldVersion())

		return x.query.Answered(now, res.attempt, searcher.LoadOf(res.resp.GetLoad()))
	}

	outcome, code := classify(res.err)
	if code == domain.CodeSnapshotGone {
		x.runner.snapshots.ReportGone(x.svc.Name, res.shard, x.sentTo[res.attempt].ID, x.snap)
	}

	return x.query.Failed(now, res.attempt, outcome, code)
}

// shouldRestart reports whether a shard no longer has the pinned snapshot,
// another one is better, and the time left suffices for a restart.
func (x *execution) shouldRestart() bool {
	if !x.mayRestart || !x.query.SnapshotGone() {
		return false
	}

	_, svc := x.runner.latest(x.cfg, x.svc)

	snap, ok := x.runner.snapshots.Choose(svc)
	if !ok || snap == x.snap {
		return false
	}

	now := time.Now()

	return x.runner.capacity(now, svc, x.state).ExpectedLatency < x.deadline.Sub(now)
}

// fate returns the fate of a query without an answer.
func (x *execution) fate() domain.Fate {
	switch {
	case x.query.Included() > 0:
		return domain.FateRan
	case x.priorAttempts+x.query.Attempts() > 0:
		return domain.FateUnknown
	default:
		return domain.FateNotRun
	}
}

func (x *execution) logAttempt(a scatter.Attempt) {
	if !x.runner.logRoutes {
		return
	}

	x.runner.log.Info().Str("event", "route").Str("query_id", x.id).Uint32("attempt", a.ID).
		Uint32("shard", a.Shard).Str("searcher", a.Searcher.ID).Str("reason", string(a.Reason)).
		Int64("expected_us", a.Expected.Microseconds()).Bool("probe", a.Probe).Send()
}

func (x *execution) response(start time.Time) (*pb.SearchResponse, error) {
	c := x.query.Coverage()
	if !coverage.Accepts(x.svc.Rules, c) {
		return nil, domain.Errorf(x.fate(), domain.CodeCoverage, "search",
			"%d of %d shards answered; first missing shard: %d (%s)",
			len(c.Included), c.Shards, c.Missing[0].Shard, c.Missing[0].Reason)
	}

	resp := &pb.SearchResponse{
		RequestId: x.req.GetRequestId(), ConfigurationVersion: x.cfg.Version,
		Snapshot:  &pb.Snapshot{IndexVersion: x.snap.IndexVersion, PartitionMapVersion: x.snap.PartitionMapVersion},
		Coverage:  &pb.Coverage{Shards: c.Shards, Included: c.Included},
		Results:   make([]*pb.ShardResult, 0, len(c.Included)),
		ElapsedUs: uint64(max(time.Since(start), 0).Microseconds()),
		Attempts:  uint32(x.priorAttempts + x.query.Attempts()),
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
