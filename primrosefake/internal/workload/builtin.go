package workload

import (
	"fmt"
	"maps"
	"slices"

	"primrosespring.example/internal/domain"
)

const (
	benchDurationMS = 10_000
	benchWarmUpMS   = 2000
	demoDurationMS  = 30_000
	demoInstances   = 9
	benchInstances  = 3

	smallDurationMS  = 4000
	smallInstances   = 3
	smallQueryRate   = 40 // Per second.
	smallExecuteRate = 5  // Per second.

	stragglerPermille   = 20
	stragglerFactor     = 20
	targetSlotsPermille = 600
)

var builtin = map[string]func() *Workload{
	"agreca": agreca,
	"adunni": adunni,
	"small":  small,

	"bench-20":               func() *Workload { return bench("bench-20", 20, stragglerPermille) },
	"bench-20-no-stragglers": func() *Workload { return bench("bench-20-no-stragglers", 20, 0) },
	"bench-20-dead":          func() *Workload { return benchFault("bench-20-dead", 20, LostSearcher) },
	"bench-20-silent":        func() *Workload { return benchFault("bench-20-silent", 20, SilentSearcher) },
	"bench-59":               func() *Workload { return bench("bench-59", 59, stragglerPermille) },
	"bench-59-no-stragglers": func() *Workload { return bench("bench-59-no-stragglers", 59, 0) },
	"bench-59-dead":          func() *Workload { return benchFault("bench-59-dead", 59, LostSearcher) },
	"bench-59-silent":        func() *Workload { return benchFault("bench-59-silent", 59, SilentSearcher) },
	"bench-20-dead-half":     func() *Workload { return halfLoad(benchFault("bench-20-dead-half", 20, LostSearcher)) },
	"bench-20-silent-half":   func() *Workload { return halfLoad(benchFault("bench-20-silent-half", 20, SilentSearcher)) },
	"capacity":               func() *Workload { return benchSlots("capacity", permille) },
	"overload":               func() *Workload { return benchSlots("overload", 2*permille) },
}

// Names returns the names of the built-in workloads, sorted.
func Names() []string { return slices.Sorted(maps.Keys(builtin)) }

// Builtin returns a built-in workload.
func Builtin(name string) (*Workload, bool) {
	f, ok := builtin[name]
	if !ok {
		return nil, false
	}

	return f(), true
}

// bench returns a workload of the benchmark for the design page's targets, which
// report.WriteMarkdown lists. The rate is the same with and without stragglers:
// it is computed from the mean service time with them. The rules allow missing
// shards, so that coverage is measured.
func bench(name string, shards, stragglers uint32) *Workload {
	s := Service{
		Name: "bench", Shards: shards, SearchersPerShard: 2, Slots: 2, Connections: 25, SetUpUS: 6000,
		MedianUS: 5000, Sigma: 0.5, StragglerPermille: stragglerPermille, StragglerFactor: stragglerFactor,
		Rules: rules(false, 900),
	}
	rate := s.Capacity() * targetSlotsPermille / permille
	s.StragglerPermille = stragglers

	return &Workload{
		Name: name, Seed: 1, DurationMS: benchDurationMS, WarmUpMS: benchWarmUpMS,
		Region: "bench", FailureDomains: []string{"bench-a"}, Instances: instances(benchInstances, []string{"bench-a"}),
		Services: []Service{s},
		Load: Load{
			QueriesPerSecond: rate, TimeoutMS: 1000, Connections: 4,
			Mix:     []Part{{Service: s.Name, Weight: 1}},
			Members: []Member{{Name: "member-0", Weight: 1, LoadPermille: permille}},
		},
	}
}

// benchFault is bench with a fault of one searcher from the start.
func benchFault(name string, shards uint32, kind Kind) *Workload {
	w := bench(name, shards, stragglerPermille)
	w.Faults = []Fault{{Kind: kind, AtMS: 0, Service: "bench", Shard: 3, Searcher: 1}}

	return w
}

// halfLoad halves the rate. With one of two searchers lost, 60% of a shard's
// slots are 120% of those that are left, so the queue of that shard grows
// without bound; at half the rate, 60% of those that are left are busy.
func halfLoad(w *Workload) *Workload {
	w.Load.QueriesPerSecond /= 2

	return w
}

func benchSlots(name string, slotsPermille uint32) *Workload {
	w := bench(name, 20, stragglerPermille)
	w.Load.QueriesPerSecond = 0
	w.Load.SlotsPermille = slotsPermille

	return w
}

// small is the workload of the scenario tests: a system that starts quickly, at a
// rate that a busy machine can sustain. Unless an instance or a shard is lost,
// every answer is whole.
func small() *Workload {
	domains := []string{"small-a", "small-b"}
	s := Service{
		SearchersPerShard: 2, Slots: 4, Connections: 30, SetUpUS: 1000,
	}.variant("portal-inst", 6, rules(true, 500))

	return &Workload{
		Name: "small", Seed: 1, DurationMS: smallDurationMS,
		Region: "small", FailureDomains: domains, Instances: instances(smallInstances, domains),
		Delays:    Delays{BetweenFailureDomainsUS: 1000, ToClientsUS: 500, JitterUS: 200},
		PeerLinks: true,
		Services:  []Service{s},
		Load: Load{
			QueriesPerSecond: smallQueryRate + smallExecuteRate, TimeoutMS: 1000, Connections: 6, RepeatPermille: 600,
			Mix: []Part{{
				Service: s.Name, Weight: 1, NonRepeatablePermille: permille * smallExecuteRate / (smallQueryRate + smallExecuteRate),
			}},
			Members: []Member{{Name: "member-0", Weight: 1, LoadPermille: permille}},
		},
	}
}

func agreca() *Workload {
	domains := []string{"gt-centro-a", "gt-centro-b", "gt-centro-c"}
	small := Service{SearchersPerShard: 2, Slots: 2, Connections: 25, SetUpUS: 6000}
	large := Service{SearchersPerShard: 2, Slots: 4, Connections: 110, SetUpUS: 1000}

	return demo("agreca", "gt-centro", domains, 3000, []Service{
		small.variant("portal-inst", 20, rules(false, 900)),
		small.variant("avisos-socios", 30, rules(false, 900)),
		large.variant("garantias", 5, rules(true, domain.Permille)),
		large.withSearchers(5).variant("censo-calor", 1, rules(false, domain.Permille)),
	}, "garantias")
}

func adunni() *Workload {
	domains := []string{"lagos-mainland", "lagos-island", "ibadan"}
	small := Service{SearchersPerShard: 2, Slots: 2, Connections: 25, SetUpUS: 6000}
	large := Service{SearchersPerShard: 2, Slots: 2, Connections: 35, SetUpUS: 1000}

	return demo("adunni", "sw-ng", domains, 5000, []Service{
		small.variant("booking", 20, rules(true, 900)),
		small.variant("dues", 30, rules(false, 900)),
		large.variant("kit-desk", 5, rules(false, domain.Permille)),
		large.withSearchers(5).variant("reviews", 1, rules(false, domain.Permille)),
	}, "booking")
}

// demo returns the workload of a user's whole set of services with a straggler,
// a lost searcher, an index switch and a rolling restart. nonRepeatable names
// the service that takes non-repeatable requests.
func demo(name, region string, domains []string, delayUS uint32, services []Service, nonRepeatable string) *Workload {
	w := &Workload{
		Name: name, Seed: 1, DurationMS: demoDurationMS, WarmUpMS: benchWarmUpMS,
		Region: region, FailureDomains: domains, Instances: instances(demoInstances, domains),
		Delays:   Delays{BetweenFailureDomainsUS: delayUS, ToClientsUS: 1000, JitterUS: 500},
		Services: services,
		Load: Load{
			SlotsPermille: 250, TimeoutMS: 1000, Connections: 27, RepeatPermille: permille / 2,
			Members: []Member{
				{Name: "member-0", Weight: 2, LoadPermille: 500},
				{Name: "member-1", Weight: 1, LoadPermille: 300},
				{Name: "member-2", Weight: 1, LoadPermille: 200},
			},
		},
		Faults: []Fault{
			{Kind: StragglingSearcher, AtMS: 4000, ForMS: 5000, Service: services[0].Name, Shard: 2, Searcher: 0, SlowFactor: 20},
			{Kind: LostSearcher, AtMS: 8000, ForMS: 6000, Service: services[1].Name, Shard: 5, Searcher: 1},
			{Kind: IndexSwitch, AtMS: 12_000, Service: services[0].Name, IndexVersion: 2},
			{Kind: RollingRestart, AtMS: 6000, ForMS: 22_000},
		},
	}

	for _, s := range services {
		p := Part{Service: s.Name, Weight: 1}

		if s.Name == nonRepeatable {
			p.NonRepeatablePermille = 200
		}

		// A query takes one slot of each shard, so a service that has all its
		// slots in one shard would get the most queries at an equal weight.
		if s.Shards == 1 {
			p.Weight = 0.3
		}

		w.Load.Mix = append(w.Load.Mix, p)
	}

	return w
}

// variant returns s with this name, shard count and rules, and the service time
// of bench.
func (s Service) variant(name string, shards uint32, r domain.Rules) Service {
	s.Name, s.Shards, s.Rules = name, shards, r
	s.MedianUS, s.Sigma = 5000, 0.5
	s.StragglerPermille, s.StragglerFactor = stragglerPermille, stragglerFactor

	return s
}

func (s Service) withSearchers(n uint32) Service {
	s.SearchersPerShard = n

	return s
}

func rules(nonRepeatable bool, minCoverage uint32) domain.Rules {
	return domain.Rules{
		TimeoutMS: 1000, MaxAttempts: 3, ExtraLoadPermille: 50, Hedging: true,
		MinCoveragePermille: minCoverage, Repeatable: true, NonRepeatable: nonRepeatable,
	}
}

func instances(n int, domains []string) []Instance {
	out := make([]Instance, n)
	for i := range out {
		out[i] = Instance{ID: fmt.Sprintf("instance-%d", i), FailureDomain: domains[i%len(domains)]}
	}

	return out
}
