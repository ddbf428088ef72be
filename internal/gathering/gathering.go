// Package gathering decides which instances gather queries over many shards, and
// to whom the others hand such queries over.
//
// The load pattern that it answers: many small instances before hundreds of
// searchers. A small instance sends and reads a hundred parts slowly, hears from
// each searcher once in seconds, so that it can't know which are slow, and has
// hardly a connection to each, since the instances outnumber the connections that
// a searcher accepts. A few instances that gather for all hear from every
// searcher several times a second.
package gathering

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelativeSize is the part of the greatest processor share and link in the fleet
	// that an instance needs in order to gather for others.
	minRelativeSize = 0.5
	// minTotalCoresShare is the least part of the fleet's processors that the strong
	// instances must have together; otherwise they would be the bottleneck, and
	// every instance counts as strong.
	minTotalCoresShare = 0.2
	// minConnectionsPerGatherer is the least number of connections to each searcher with which an
	// instance can gather queries that overlap.
	minConnectionsPerGatherer = 2
	// fallbackShare is the part of budgets and connections that the instances that
	// hand queries over keep for those that they have to gather themselves.
	fallbackShare = 0.15
)

// Instance is an entry instance as far as gathering is concerned.
type Instance struct {
	ID            string
	FailureDomain string
	// Address takes queries that are handed over; empty if it takes none.
	Address string
	// Cores is the processor share in cores, LinkMbps the bandwidth of the link;
	// zero if unknown.
	Cores    float64
	LinkMbps float64
}

// Plan says what one instance does with queries over many shards. It is
// immutable; the zero value gathers everything itself.
type Plan struct {
	// HandsOver says that queries go to one of the targets.
	HandsOver bool
	// Near are the instances that gather in the own failure domain, Far the others.
	Near []Instance
	Far  []Instance
	// Gatherers and Instances count the fleet.
	Gatherers int
	Instances int
}

// Decide makes the plan of the instance self. connections is the least number of
// connections that a searcher of a gathered route accepts; zero sets no bound.
// Instances that see the same fleet decide on the same gatherers.
func Decide(fleet []Instance, self string, connections int) Plan {
	p := Plan{Gatherers: max(len(fleet), 1), Instances: max(len(fleet), 1)}

	gatherers := limitByConnections(candidates(fleet), connections)
	if len(gatherers) == 0 || len(gatherers) == len(fleet) {
		return p
	}

	i := slices.IndexFunc(fleet, func(in Instance) bool { return in.ID == self })
	if i < 0 {
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

// Share is the part of what all instances share (extra attempts, connections)
// that this one may use for gathered queries.
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

// limitByConnections returns as many instances as the searchers' connections allow, spread
// evenly over the failure domains.
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
