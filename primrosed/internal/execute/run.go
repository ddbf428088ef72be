package execute

import (
	"context"
	"slices"
	"time"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
	"primrosespring.example/primrosed/internal/searcher"
)

// run is the execution of one request.
type run struct {
	executor *Executor
	cfg      *domain.Configuration
	svc      *domain.Service
	shard    *domain.Shard
	op       claims.Operation
	payload  string
	snap     domain.Snapshot
	// fromClaim is set when the answer comes from the key's stored claim.
	fromClaim bool
}

func (r *run) run(ctx context.Context) (*pb.ExecuteResponse, error) {
	snap, ok := r.executor.options.Snapshots.AwaitChoice(ctx, r.svc, r.cfg.Version)
	if !ok {
		// An earlier request with the key may have run, so the key's claim
		// decides the answer.
		return r.abort(ctx, domain.Errorf(domain.FateNotRun, domain.CodeNoLiveSearcher, "choose snapshot",
			"no searcher of %s is known to hold a snapshot", r.svc.Name))
	}

	r.snap = snap

	result, err := r.executor.applyAtOwner(ctx, r.operation(claims.ClaimKey), false)
	r.log("claim_decided", result, err)

	if err != nil {
		if fate, _ := fateOf(err); fate != domain.FateNotRun {
			r.executor.recorder.add(r.operation(claims.AbortKey)) //nolint:contextcheck // The record outlives the request.
		}

		// Only this call sends the request of its claim id, so the request
		// never runs, whether or not the claim was stored.
		return nil, asError(err).WithFate(domain.FateNotRun)
	}

	if result.Outcome != claims.Granted {
		return r.answerFromClaim(result)
	}

	return r.send(ctx)
}

func (r *run) operation(kind claims.Kind) claims.Operation {
	op := r.op
	op.Kind = kind

	return op
}

// send sends the request to one searcher at a time. It tries another only if
// the error says that the previous one didn't run it.
func (r *run) send(ctx context.Context) (*pb.ExecuteResponse, error) {
	var (
		tried   []string
		refusal = domain.Errorf(domain.FateNotRun, domain.CodeDeadline, "execute", "no time is left to send the request")
	)

	for attempt := uint32(1); attempt <= r.svc.Rules.MaxAttempts && enoughTime(ctx); attempt++ {
		choice, ok := r.choose(tried)
		if !ok {
			if len(tried) == 0 {
				refusal = domain.Errorf(domain.FateNotRun, domain.CodeNoLiveSearcher, "choose searcher",
					"no searcher of shard %d can take the request", r.shard.Number)
			}

			break
		}

		resp, err := r.attempt(ctx, attempt, choice.Searcher)
		if err == nil {
			return r.complete(resp), nil //nolint:contextcheck // The record outlives the request.
		}

		if fate, _ := fateOf(err); fate != domain.FateNotRun {
			return nil, asError(err).WithFate(domain.FateUnknown)
		}

		tried = append(tried, choice.Searcher.ID)
		refusal = asError(err)
	}

	return r.abort(ctx, refusal)
}

func enoughTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()

	return !ok || time.Until(deadline) >= minSendTime
}

func (r *run) choose(tried []string) (routing.Choice, bool) {
	o := r.executor.options

	return o.Router.Choose(time.Now(), routing.Request{
		Shard: r.shard, Avoid: tried, LocalDomain: o.Instance.FailureDomain,
		Eligible: func(searcher string) bool {
			return !slices.Contains(tried, searcher) && o.Snapshots.Holds(r.svc.Name, r.shard.Number, searcher, r.snap)
		},
	})
}

func (r *run) attempt(ctx context.Context, attempt uint32, sr *domain.Searcher) (*pb.RunResponse, error) {
	o := r.executor.options
	o.Log.Info().Str("event", "execute_sent").Str("key", r.op.Key.String()).Str("claim_id", r.op.ClaimID).
		Uint32("attempt", attempt).Uint32("shard", r.shard.Number).Str("searcher", sr.ID).Send()

	start := time.Now()
	resp, err := o.Searchers.Run(ctx, sr, &pb.RunRequest{
		Service: r.svc.Name, QueryId: r.op.ClaimID, Attempt: attempt, Shard: r.shard.Number, Snapshot: toProto(r.snap),
		Key: r.op.Key.String(), Payload: r.payload,
	})
	now := time.Now()

	o.Router.Release(now, sr.ID, outcomeOf(err), now.Sub(start), searcher.LoadOf(resp.GetLoad()))

	return resp, err
}

// complete returns the response and records the run in the background.
func (r *run) complete(resp *pb.RunResponse) *pb.ExecuteResponse {
	op := r.operation(claims.RecordRan)
	op.Answer, op.Snapshot = resp.GetResult(), r.snap
	r.executor.recorder.add(op)

	return r.response(resp.GetResult(), r.snap, false)
}

// abort records that the key must never run and returns refusal. If the key's
// claim says otherwise, the answer comes from the claim.
func (r *run) abort(ctx context.Context, refusal *domain.Error) (*pb.ExecuteResponse, error) {
	op := r.operation(claims.AbortKey)
	result, err := r.executor.applyAtOwner(ctx, op, false)
	r.log("abort_decided", result, err)

	switch {
	case err != nil && r.snap == (domain.Snapshot{}):
		return nil, err // Nothing was claimed, so the error's fate holds.
	case err != nil:
		r.executor.recorder.add(op) //nolint:contextcheck // The record outlives the request.

		return nil, refusal.WithFate(domain.FateUnknown)
	case result.Outcome == claims.Aborted && result.Claim.ClaimID == r.op.ClaimID:
		r.fromClaim = true

		return nil, refusal.WithFate(domain.FateNotRun)
	default:
		return r.answerFromClaim(result)
	}
}

// answerFromClaim answers with what the claim of an earlier request with the
// key records.
func (r *run) answerFromClaim(result claims.Result) (*pb.ExecuteResponse, error) {
	c := result.Claim
	r.fromClaim = true

	switch result.Outcome {
	case claims.Ran:
		if c.Answer != nil && c.Snapshot != nil {
			return r.response(*c.Answer, *c.Snapshot, true), nil
		}

		return nil, alreadyClaimed(domain.FateRan, "the request ran; its answer was too large to be kept")
	case claims.Aborted:
		return nil, alreadyClaimed(domain.FateNotRun, "the request was aborted before it ran")
	case claims.BelowFloor:
		return nil, alreadyClaimed(domain.FateUnknown, "the key is too old: claims of its time are no longer kept")
	case claims.OtherRequest:
		return nil, alreadyClaimed(domain.FateUnknown, "the key was used for another request")
	default:
		return nil, alreadyClaimed(domain.FateUnknown, "the key is claimed and the outcome of its request is unknown")
	}
}

func alreadyClaimed(fate domain.Fate, message string) error {
	e := domain.Errorf(fate, domain.CodeAlreadyClaimed, "claim key", "%s", message)
	e.Field = "key"

	return e
}

func (r *run) response(result string, snap domain.Snapshot, replayed bool) *pb.ExecuteResponse {
	return &pb.ExecuteResponse{
		Key: r.op.Key.String(), Result: result, Replayed: replayed, ConfigurationVersion: r.cfg.Version,
		Snapshot: toProto(snap), Instance: r.executor.options.Instance.ID,
	}
}

func (r *run) log(event string, result claims.Result, err error) {
	line := r.executor.options.Log.Info().Str("event", event).Str("service", r.svc.Name).Str("key", r.op.Key.String()).
		Str("claim_id", r.op.ClaimID).Stringer("bucket", r.op.Key.Bucket()).Str("outcome", result.Outcome.String())
	if err != nil {
		fate, code := fateOf(err)
		line = line.Str("fate", fate.String()).Str("code", string(code)).Err(err)
	}

	line.Send()
}

func toProto(s domain.Snapshot) *pb.Snapshot {
	return &pb.Snapshot{IndexVersion: s.IndexVersion, PartitionMapVersion: s.PartitionMapVersion}
}

// outcomeOf returns the outcome that is reported to routing for an attempt's
// error.
func outcomeOf(err error) routing.Outcome {
	if err == nil {
		return routing.Answered
	}

	switch fate, code := fateOf(err); {
	case code == domain.CodeSearcherUnavailable:
		return routing.Unreachable
	case fate == domain.FateNotRun:
		return routing.Shed
	case code == domain.CodeDeadline || code == domain.CodeCancelled:
		return routing.Cancelled
	default:
		return routing.Unreachable
	}
}
