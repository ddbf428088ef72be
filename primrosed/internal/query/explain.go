package query

import (
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/hedging"
	"primrosespring.example/internal/routing"
)

// Explain returns how a query of svc would be routed now, without sending
// requests or changing the state of routing. HedgeAfterUs is the longest hedging
// delay of any shard; zero if no hedge would be sent.
func (r *Runner) Explain(cfg *domain.Configuration, svc *domain.Service) *pb.ExplainResponse {
	resp := &pb.ExplainResponse{ConfigurationVersion: cfg.Version, Instance: r.instance.ID}

	snap, ok := r.snapshots.Choose(svc)
	if ok {
		resp.IndexVersion, resp.PartitionMapVersion = snap.IndexVersion, snap.PartitionMapVersion
	}

	now := time.Now()
	hedged := svc.Rules.Hedging && svc.Rules.MaxAttempts > 1

	for i := range svc.PartitionMap.Shards {
		sh := &svc.PartitionMap.Shards[i]
		choice, infos := r.routing.Explain(now, routing.Request{
			Shard: sh, LocalDomain: r.instance.FailureDomain,
			Eligible: func(searcher string) bool {
				return ok && r.snapshots.Holds(svc.Name, uint32(i), searcher, snap)
			},
		})
		resp.Shards = append(resp.Shards, explainShard(sh, choice, infos))

		if hedged && choice.Searcher != nil {
			resp.HedgeAfterUs = max(resp.HedgeAfterUs, uint32(r.hedgeDelay(svc, choice).Microseconds()))
		}
	}

	return resp
}

// hedgeDelay returns how long after a first attempt its hedge may start.
func (r *Runner) hedgeDelay(svc *domain.Service, c routing.Choice) time.Duration {
	r.mu.RLock()
	state, ok := r.services[svc.Name]
	r.mu.RUnlock()

	if !ok {
		state = &serviceState{}
	}

	e := hedging.Estimate{Overhead: c.Expected - c.Service, Service: c.Service}

	// A probe is hedged early, as in package scatter.
	return state.delayer.Delay(e, !c.Probe)
}

func explainShard(sh *domain.Shard, c routing.Choice, infos []routing.SearcherInfo) *pb.ExplainShard {
	e := &pb.ExplainShard{Shard: sh.Number}
	if c.Searcher != nil {
		e.Chosen = c.Searcher.ID
	}

	for _, s := range infos {
		e.Searchers = append(e.Searchers, &pb.ExplainSearcher{
			Id: s.Searcher, ExpectedUs: uint64(s.Expected.Microseconds()), Outstanding: uint32(s.Outstanding),
			Queued: uint32(s.Queued), Limit: uint32(s.Limit), Excluded: string(s.Excluded),
			Limited: s.Limited, RateLimit: s.RateLimit.Rate, LimitSource: s.RateLimit.Source,
			LimitAgeMs: uint64(s.RateLimit.Age.Milliseconds()), PausedMs: uint64(s.PausedFor.Milliseconds()),
		})
	}

	return e
}
