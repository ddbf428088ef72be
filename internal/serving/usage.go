package serving

import (
	"math"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// usageDecay is the time after which a request has lost two thirds of its weight
	// in the usage of its route. It covers a few requests of each kind at the rates of
	// today, and forgets a burst within seconds.
	usageDecay = 5 * time.Second
	// minUsageShare is the part of the requests over the same shards from which a kind
	// of request counts; rarer ones don't decide for the others.
	minUsageShare = 0.05
	// maxWaitShare is the part of the shortest objective that a query may be expected
	// to wait at a shard with a standing queue; the rest is for its service time, and
	// for queues that grow between two reports.
	maxWaitShare = 0.8
	// minWaitShare is the part of its own objective that a query may always wait, so
	// that an objective which can't be met doesn't turn the other kinds away.
	minWaitShare = 0.2
)

// usage knows which kinds of requests over many shards have come lately.
//
// It answers the load pattern of kinds with different objectives over the same
// shards, at more load than the slots take. Queues that suit the objective of the
// slowest kind make every answer of the quickest one late, so that the bound on
// queues follows from the shortest objective. Slots are no less busy for it: a
// queue of one request at each suffices.
//
// Its zero value is empty and ready to use, and it is safe for concurrent use.
type usage struct {
	mu     sync.Mutex // Guards what follows.
	routes map[string]*routeUsage
}

// routeUsage is the usage of one route.
type routeUsage struct {
	route *domain.Route
	// weight sums up the requests, each with the weight that it had at the time at.
	weight float64
	at     time.Time
}

func (u *routeUsage) weightAt(now time.Time) float64 {
	return u.weight * math.Exp(-float64(now.Sub(u.at))/float64(usageDecay))
}

// maxWait counts a request of the route and returns how long it may be expected to
// wait at a shard with a standing queue.
func (u *usage) maxWait(now time.Time, route *domain.Route) time.Duration {
	shortest := u.shortestObjective(now, route)

	return time.Duration(max(maxWaitShare*float64(shortest), minWaitShare*float64(route.LatencyObjective)))
}

// shortestObjective counts a request of the route and returns the shortest latency
// objective of the routes that lately sent requests to the same shards, this one
// included.
func (u *usage) shortestObjective(now time.Time, route *domain.Route) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.count(now, route)

	var (
		total  float64
		shared []*routeUsage
	)

	for name, r := range u.routes {
		switch {
		case r.weightAt(now) < minUsageShare:
			delete(u.routes, name)
		case slices.Contains(r.route.Shards, route.Shards[0]):
			total += r.weightAt(now)
			shared = append(shared, r)
		}
	}

	shortest := route.LatencyObjective

	for _, r := range shared {
		if o := r.route.LatencyObjective; o > 0 && o < shortest && r.weightAt(now) >= minUsageShare*total {
			shortest = o
		}
	}

	return shortest
}

// count adds a request; the lock is held.
func (u *usage) count(now time.Time, route *domain.Route) {
	if u.routes == nil {
		u.routes = make(map[string]*routeUsage)
	}

	r, ok := u.routes[route.Name]
	if !ok {
		r = &routeUsage{at: now}
		u.routes[route.Name] = r
	}

	r.weight, r.at, r.route = r.weightAt(now)+1, now, route
}
