package placement

import (
	"cmp"
	"slices"

	"primrosespring.example/internal/domain"
)

const (
	// connectionSharePercent is the share of a searcher's connection limit that
	// holders use. The rest is for new holders that connect before the old ones have
	// closed their connections, as in a rolling restart.
	connectionSharePercent = 80
	// MaxHolders bounds the holders of a service. With more, each would see less of the
	// searchers' queues, and every held searcher costs memory and polls.
	MaxHolders = 24
	// maxLoadPercent bounds the services of one instance, as a percentage of the mean.
	// A tighter bound moves more services when an instance leaves.
	maxLoadPercent = 125
)

// HolderCount returns how many of the live instances hold connections to the searchers
// of svc; connections is how many each holder opens to a searcher.
func HolderCount(svc *domain.Service, live, connections int) int {
	minConnections := domain.MaxConnections

	for _, sh := range svc.PartitionMap.Shards {
		for i := range sh.Searchers {
			minConnections = min(minConnections, int(sh.Searchers[i].Connections))
		}
	}

	return min(live, MaxHolders, max(1, minConnections*connectionSharePercent/100/max(1, connections)))
}

// Assignment says which instances hold the connections of each service. It is
// immutable; the zero value has no holders.
type Assignment struct {
	holders map[string][]domain.Instance
}

// Holders returns the holders of a service, the highest rank first. The slice must not
// be changed.
func (a *Assignment) Holders(service string) []domain.Instance { return a.holders[service] }

// Holds reports whether instance id is a holder of service.
func (a *Assignment) Holds(service, id string) bool {
	return slices.ContainsFunc(a.holders[service], func(in domain.Instance) bool { return in.ID == id })
}

// Assign chooses the holders of every service of cfg. The holders of a service are
// spread evenly over failure domains, and no instance holds more than maxLoadPercent of
// the mean number of services while others are below it.
func (s *Set) Assign(cfg *domain.Configuration, connections int) *Assignment {
	a := &Assignment{holders: make(map[string][]domain.Instance, len(cfg.Services))}
	if len(s.instances) == 0 {
		return a
	}

	counts := make([]int, len(cfg.Services))
	total := 0

	for i := range cfg.Services {
		counts[i] = HolderCount(&cfg.Services[i], len(s.instances), connections)
		total += counts[i]
	}

	n := len(s.instances)
	p := &picker{set: s, load: make([]int, n), limit: (total*maxLoadPercent + 100*n - 1) / (100 * n)}

	for i := range cfg.Services {
		name := cfg.Services[i].Name
		for _, j := range p.pick("hold/"+name, counts[i]) {
			a.holders[name] = append(a.holders[name], s.instances[j])
		}
	}

	return a
}

// picker chooses the holders of one service after another. It identifies instances by
// their index in set.
type picker struct {
	set *Set
	// load counts the services that each instance holds so far; limit bounds it.
	load  []int
	limit int
}

// pick returns count holders for the service with that key, the highest rank first.
func (p *picker) pick(key string, count int) []int {
	ranked := p.set.ranked(key, p.set.all())
	taken := make(map[int]bool, count)

	for i, d := range p.domainOrder(ranked) {
		quota := count / len(p.set.domains)
		if i < count%len(p.set.domains) {
			quota++
		}

		p.take(p.set.inDomain(ranked, d), quota, taken)
	}

	// A failure domain that is small or at its limit leaves part of its quota to the
	// others.
	p.take(ranked, count-len(taken), taken)

	if len(taken) < count {
		p.takeLeastLoaded(ranked, count-len(taken), taken)
	}

	out := make([]int, 0, count)

	for _, i := range ranked {
		if taken[i] {
			out = append(out, i)
		}
	}

	return out
}

// domainOrder returns the failure domains by the rank of their first instance, so that
// the remainders of different services' quotas go to different domains.
func (p *picker) domainOrder(ranked []int) []string {
	var out []string

	for _, i := range ranked {
		if d := p.set.instances[i].FailureDomain; !slices.Contains(out, d) {
			out = append(out, d)
		}
	}

	return out
}

// take adds up to count instances that are below the limit to taken, in order of rank.
func (p *picker) take(ranked []int, count int, taken map[int]bool) {
	for _, i := range ranked {
		if count == 0 {
			return
		}

		if taken[i] || p.load[i] >= p.limit {
			continue
		}

		taken[i] = true
		p.load[i]++
		count--
	}
}

// takeLeastLoaded adds count instances to taken, the least loaded first. It may exceed
// the limit: a service with too few holders would be worse.
func (p *picker) takeLeastLoaded(ranked []int, count int, taken map[int]bool) {
	order := slices.Clone(ranked)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.load[a], p.load[b]) })

	for _, i := range order {
		if count == 0 {
			return
		}

		if !taken[i] {
			taken[i] = true
			p.load[i]++
			count--
		}
	}
}
