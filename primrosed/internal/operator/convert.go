package operator

import (
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// ServiceFromProto returns the domain form of a service, unchecked.
func ServiceFromProto(s *pb.Service) domain.Service {
	out := domain.Service{
		Name: s.GetName(), Version: s.GetVersion(),
		PartitionMap: domain.PartitionMap{Version: s.GetPartitionMap().GetVersion()},
		Rules: domain.Rules{
			TimeoutMS: s.GetRules().GetTimeoutMs(), MaxAttempts: s.GetRules().GetMaxAttempts(),
			ExtraLoadPermille: s.GetRules().GetExtraLoadPermille(), Hedging: s.GetRules().GetHedging(),
			MinCoveragePermille: s.GetRules().GetMinCoveragePermille(), PartialWaitMS: s.GetRules().GetPartialWaitMs(),
			Repeatable: s.GetRules().GetRepeatable(), NonRepeatable: s.GetRules().GetNonRepeatable(),
		},
	}

	for _, sh := range s.GetPartitionMap().GetShards() {
		shard := domain.Shard{Number: sh.GetNumber()}
		for _, sr := range sh.GetSearchers() {
			shard.Searchers = append(shard.Searchers, domain.Searcher{
				ID: sr.GetId(), Address: sr.GetAddress(), FailureDomain: sr.GetFailureDomain(),
				Slots: sr.GetSlots(), Connections: sr.GetConnections(), Draining: sr.GetDraining(),
			})
		}

		out.PartitionMap.Shards = append(out.PartitionMap.Shards, shard)
	}

	return out
}

// ServiceToProto returns the wire form of a service.
func ServiceToProto(s domain.Service) *pb.Service {
	out := &pb.Service{
		Name: s.Name, Version: s.Version,
		PartitionMap: &pb.PartitionMap{Version: s.PartitionMap.Version},
		Rules: &pb.Rules{
			TimeoutMs: s.Rules.TimeoutMS, MaxAttempts: s.Rules.MaxAttempts,
			ExtraLoadPermille: s.Rules.ExtraLoadPermille, Hedging: s.Rules.Hedging,
			MinCoveragePermille: s.Rules.MinCoveragePermille, PartialWaitMs: s.Rules.PartialWaitMS,
			Repeatable: s.Rules.Repeatable, NonRepeatable: s.Rules.NonRepeatable,
		},
	}

	for _, sh := range s.PartitionMap.Shards {
		shard := &pb.Shard{Number: sh.Number}
		for _, sr := range sh.Searchers {
			shard.Searchers = append(shard.Searchers, &pb.Searcher{
				Id: sr.ID, Address: sr.Address, FailureDomain: sr.FailureDomain,
				Slots: sr.Slots, Connections: sr.Connections, Draining: sr.Draining,
			})
		}

		out.PartitionMap.Shards = append(out.PartitionMap.Shards, shard)
	}

	return out
}

func servicesToProto(services []domain.Service) []*pb.Service {
	out := make([]*pb.Service, len(services))
	for i, s := range services {
		out[i] = ServiceToProto(s)
	}

	return out
}

func membersToProto(members []domain.Member) []*pb.Member {
	out := make([]*pb.Member, len(members))
	for i, m := range members {
		out[i] = &pb.Member{Name: m.Name, Weight: m.Weight}
	}

	return out
}
