// Package gathering decides which instances gather queries over many shards, and which
// instances hand such queries over to them.
//
// It serves fleets of many small instances and hundreds of searchers. A small instance
// is slow to send a hundred sub-queries and read their answers, gets an answer from
// each searcher only every few seconds, so that it can't know which are slow, and has
// hardly one connection to each, since there are more instances than connections that a
// searcher accepts. A few instances that gather for all get answers from every searcher
// several times a second.
package gathering

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelativeSize is the least part of the largest Cores and of the largest
	// LinkMbps in the fleet that an instance needs to gather for others.
	minRelativeSize = 0.5
	// minTotalCoresShare is the least share of the fleet's Cores that the instances
	// with minRelativeSize must have together. With less they would be the bottleneck,
	// and every instance that takes handovers is a candidate instead.
	minTotalCoresShare = 0.2
	// minConnectionsPerGatherer is the least number of connections to each searcher
	// with which an instance can gather overlapping queries.
	minConnectionsPerGatherer = 2
	// fallbackShare is the share of budgets and connections that is left, together, to
	// the instances that hand queries over, for those that they must gather themselves.
	fallbackShare = 0.15
)

// Instance describes an entry instance for the choice of gatherers.
type Instance struct {
	ID            string
	FailureDomain string
	// Address receives queries that are handed over; empty if the instance takes none.
	Address string
	// Cores is the CPU share in cores and LinkMbps the bandwidth of the link;
	// zero if unknown.
	Cores    float64
	LinkMbps float64
}

// Plan says what one instance does with queries over many shards. It is immutable; with
// the zero value, the instance gathers everything itself.
type Plan struct {
	// HandsOver says that queries are handed over to one of Near and Far.
	HandsOver bool
	// Near lists the gatherers in the instance's own failure domain, Far the others.
	Near []Instance
	Far  []Instance
	// Gatherers and Instances count the gatherers and all instances of the fleet.
	Gatherers int
	Instances int
}

// Decide returns the plan of the instance self. connections is the lowest connection
// limit of the searchers of gathered routes; zero sets no bound. Instances that see the
// same fleet choose the same gatherers. An instance that its fleet lacks is one more.
func Decide(fleet []Instance, self string, connections int) Plan {
	i := slices.IndexFunc(fleet, func(in Instance) bool { return in.ID == self })

	p := Plan{Gatherers: len(fleet), Instances: len(fleet)}
	if i < 0 {
		p.Gatherers, p.Instances = len(fleet)+1, len(fleet)+1

		return p
	}

	gatherers := limitByConnections(candidates(fleet), connections)
	if len(gatherers) == 0 || len(gatherers) == len(fleet) {
		return p
	}

	p.Gatherers = len(gatherers)
	p.HandsOver = !slices.ContainsFunc(gatherers, func(in Instance) bool { return in.ID == self })

	if !p.HandsOver {
		return p
	}

	for _, g := range gatherers {
		if g.FailureDomain == fleet[i].FailureDomain {
			p.Near = append(p.Near, g)
		} else {
			p.Far = append(p.Far, g)
		}
	}

	return p
}

// Share returns the share of common resources (extra attempts, connections) that this
// instance may use for gathered queries.
func (p Plan) Share() float64 {
	n, g := max(p.Instances, 1), max(p.Gatherers, 1)

	switch {
	case g >= n:
		return 1 / float64(n)
	case p.HandsOver:
		return fallbackShare / float64(n-g)
	default:
		return (1 - fallbackShare) / float64(g)
	}
}

// candidates returns the instances that can gather for others.
func candidates(fleet []Instance) []Instance {
	var cores, link, total float64

	for _, in := range fleet {
		cores, link, total = max(cores, in.Cores), max(link, in.LinkMbps), total+in.Cores
	}

	var (
		out            []Instance
		candidateCores float64
	)

	for _, in := range fleet {
		if in.Address != "" && in.Cores >= minRelativeSize*cores && in.LinkMbps >= minRelativeSize*link {
			out = append(out, in)
			candidateCores += in.Cores
		}
	}

	if candidateCores >= minTotalCoresShare*total {
		return out
	}

	return slices.DeleteFunc(slices.Clone(fleet), func(in Instance) bool { return in.Address == "" })
}

// limitByConnections returns as many instances as the searchers' connections allow,
// spread evenly over the failure domains.
func limitByConnections(list []Instance, connections int) []Instance {
	limit := connections / minConnectionsPerGatherer
	if connections <= 0 || len(list) <= max(limit, 1) {
		return list
	}

	type ranked struct {
		Instance
		hash uint64
		rank int
	}

	all := make([]ranked, len(list))
	for i, in := range list {
		all[i] = ranked{Instance: in, hash: xxhash.Sum64String(in.ID)}
	}

	byHash := func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(all, byHash)

	seen := make(map[string]int)
	for i := range all {
		all[i].rank = seen[all[i].FailureDomain]
		seen[all[i].FailureDomain]++
	}

	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), byHash(a, b)) })

	out := make([]Instance, max(limit, 1))
	for i := range out {
		out[i] = all[i].Instance
	}

	return out
}
