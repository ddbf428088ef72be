package hosted

import (
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/gathering"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/placement"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/roster"
	"primrosespring.example/internal/serving"
)

// connectionShare is the share of a searcher's connections that the instances divide;
// the rest is for connections that are being replaced.
const connectionShare = 0.9

// shares holds the instance's current shares of limits that all instances share.
type shares struct {
	current atomic.Pointer[serving.Shares]
}

func newShares() *shares {
	assumed := serving.AssumedShares()

	s := &shares{}
	s.current.Store(&assumed)

	return s
}

func (s *shares) get() serving.Shares { return *s.current.Load() }

// connectionLimit returns this instance's share of a searcher's connections, or one if
// their number isn't known. If the share is less than one, one may be open, but isn't
// kept idle: the searcher resets connections beyond its limit, and requests with them.
func connectionLimit(sr *domain.Searcher, s serving.Shares) http1.Limit {
	share := s.Direct
	if sr.Gathered {
		share = s.Gathered
	}

	part := connectionShare * share * float64(sr.Connections)

	return http1.Limit{MaxOpen: max(int(part), 1), CloseIdle: sr.Connections > 0 && part < 1}
}

// fleet holds what the gathering plan depends on, and the plan.
type fleet struct {
	mu        sync.Mutex // Guards the fields below; locked before those of the parts.
	instances []gathering.Instance
	// connections is MinGatherConnections of the configuration; 0 before the first one.
	connections int
	plan        gathering.Plan
	// listed says that a list has been received.
	listed bool
	// If the first list had an entry of an earlier process of this instance, the others count
	// on this one already, and the plans until knownUntil aren't new to them. In a new fleet
	// nobody has counted on other plans.
	knownUntil time.Time
}

// startTime is how long an instance takes, at most, to have the list of instances and the
// configuration.
const startTime = 3 * time.Second

const (
	// togetherTime is the time, in Unix milliseconds, within which the instances of a new fleet
	// start, and newFleetTime for how long it counts as new.
	togetherTime = 5000
	newFleetTime = 30 * time.Second
)

// startedTogether reports whether all instances started when this one did, in Unix milliseconds:
// none had a share before that it might still use.
func startedTogether(entries []roster.Entry, started int64) bool {
	return !slices.ContainsFunc(entries, func(e roster.Entry) bool {
		return e.Started < started-togetherTime || e.Started > started+togetherTime
	})
}

// setInstances handles a new list of instances from the roster.
func (i *Instance) setInstances(entries []roster.Entry) {
	list := make([]gathering.Instance, len(entries))
	addresses := make([]string, 0, len(entries))
	peers := make([]domain.Instance, 0, len(entries))

	for j, e := range entries {
		if e.PeerAddress != "" {
			addresses = append(addresses, e.PeerAddress)
			peers = append(peers, domain.Instance{ID: e.ID, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain})
		}

		list[j] = gathering.Instance{
			ID: e.ID, FailureDomain: e.FailureDomain, Address: e.PeerAddress, Cores: e.Cores, LinkMbps: e.LinkMbps,
		}
	}

	i.parts.ReplicaClient.SetInstances(addresses)
	i.parts.Positions.SetReaders(placement.NewSet(peers).Readers(i.settings.Instance.ID))
	// A new instance learns at once which searchers have limits.
	i.parts.Quota.Prompt()

	i.fleet.mu.Lock()
	if !i.fleet.listed && slices.ContainsFunc(entries, func(e roster.Entry) bool {
		return e.ID == i.settings.Instance.ID && e.Started != i.parts.Roster.Started()
	}) {
		i.fleet.knownUntil = time.Now().Add(startTime)
	}

	if startedTogether(entries, i.parts.Roster.Started()) && time.Since(i.started) < newFleetTime {
		i.fleet.knownUntil = time.Now().Add(startTime)
	}

	first := !i.fleet.listed
	i.fleet.listed, i.fleet.instances = true, list
	i.fleet.mu.Unlock()

	if first {
		i.parts.Notifier.Ask()
	}

	i.replan()
}

// replan updates the gathering plan after a change of the fleet or of the
// configuration.
func (i *Instance) replan() {
	f := &i.fleet

	f.mu.Lock()
	defer f.mu.Unlock()

	if v := i.parts.Directory.View(); v != nil {
		f.connections = v.Table.MinGatherConnections()
	}

	if len(f.instances) == 0 {
		return
	}

	p := gathering.Decide(f.instances, i.settings.Instance.ID, f.connections)
	if reflect.DeepEqual(p, f.plan) {
		return
	}

	f.plan = p
	s := serving.Shares{Gathered: p.Share(), Direct: 1 / float64(p.Instances)}

	i.log.Info().Str("event", "gathering").Int("instances", p.Instances).Int("gatherers", p.Gatherers).
		Bool("hands_over", p.HandsOver).Int("near", len(p.Near)).Int("far", len(p.Far)).
		Int("connections", f.connections).Float64("share", p.Share()).Send()
	i.parts.Shares.current.Store(&s)
	i.parts.Engine.SetShares(s)
	i.parts.Quota.SetShares(time.Now(), quota.Shares{Gathered: s.Gathered, Direct: s.Direct}, time.Now().Before(f.knownUntil))
	i.parts.GathererClient.SetPlan(p)
}
