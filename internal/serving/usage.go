package serving

import (
	"math"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// usageDecay is the time constant with which a request loses weight in the usage of
	// its route. At current rates it covers a few requests of each route, and a burst
	// loses its influence within seconds.
	usageDecay = 5 * time.Second
	// minUsageShare is the share of the requests to the same shards from which a
	// route's objective applies to the other routes.
	minUsageShare = 0.05
	// maxWaitShare is the share of the shortest objective that a query may be expected
	// to wait at a shard with a standing queue; the rest is for its service time, and
	// for queues that grow between two load reports.
	maxWaitShare = 0.8
	// minWaitShare is the share of its own objective that a query may always wait, so
	// that an unattainable objective of one route doesn't refuse all other requests.
	minWaitShare = 0.2
)

// usage records the recent requests of each gathered route.
//
// It bounds queues when routes with different latency objectives share shards that
// are overloaded. Queues as long as the longest objective allows would make every
// answer of the route with the shortest one late, so the shortest objective sets the
// bound. That doesn't leave slots idle: a queue of one request at each slot suffices.
//
// The zero value is ready to use, and usage is safe for concurrent use.
type usage struct {
	mu     sync.Mutex // Guards routes.
	routes map[string]*routeUsage
}

// routeUsage is the usage of one route.
type routeUsage struct {
	route *domain.Route
	// weight is the number of requests, each decayed to the time at.
	weight float64
	at     time.Time
}

func (u *routeUsage) weightAt(now time.Time) float64 {
	return u.weight * math.Exp(-float64(now.Sub(u.at))/float64(usageDecay))
}

// maxWait counts a request of the route and returns the bound on its expected wait
// at a shard with a standing queue.
func (u *usage) maxWait(now time.Time, route *domain.Route) time.Duration {
	shortest := u.shortestObjective(now, route)

	return time.Duration(max(maxWaitShare*float64(shortest), minWaitShare*float64(route.LatencyObjective)))
}

// shortestObjective counts a request of the route and returns the shortest latency
// objective among this route and those that recently sent requests to the same shards.
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
		case r.weightAt(now) < minUsageShare: // Any total is at least 1, the request just counted.
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

// count records a request of the route; the caller holds mu.
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
