package hosted

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/roster"
	"primrosespring.example/platform"
	"primrosespring.example/primrosed/internal/replica"
)

// pauseShare is the pause between two watches, as a share of the bounds on draining and
// on configuration changes; changes in quick succession then cost one call. Two pauses
// and the store's response stay well within the bounds.
const pauseShare = 0.3

const (
	// proofShare is the share of the bound on revocations for which a configuration counts as
	// the newest one; the rest is for the rounding of ages.
	proofShare = 0.95
	// proofPauseShare is the pause between two watches of a configuration that has to be proven,
	// as a share of its proof.
	proofPauseShare = 0.1
)

// followers keep local copies of the store's collections.
type followers struct {
	configuration follower.Follower[*domain.RouteTable]
	registrations follower.Follower[domain.Registration]
	// evacuations is followed if its Bound is set.
	evacuations follower.Follower[domain.Evacuation]
}

// newFollowers returns followers without sinks.
func newFollowers(log zerolog.Logger, s hosting.Settings, st *platform.Store, c *replica.Client, hints restartHints, d *directory.Directory,
	r *roster.Roster,
) *followers {
	bound, pause := s.Bounds.ConfigurationDelay, pauseFor(s.Bounds.ConfigurationDelay)
	proof := time.Duration(proofShare * float64(s.Bounds.Revocation))

	if proof > 0 {
		bound, pause = min(bound, proof), min(pause, time.Duration(proofPauseShare*float64(proof)))
	}

	link := &follower.Link{}

	var settlement *follower.Settlement
	if proof > 0 {
		settlement = &follower.Settlement{Log: log, Records: eraRecords{Store: st, self: s.Instance.ID, started: r.Started()}}
	}

	return &followers{
		configuration: follower.Follower[*domain.RouteTable]{
			Link: link, Log: log, Name: replica.Configuration, Source: platform.Configurations{Store: st},
			Bound: bound, Pause: pause, Proof: proof, Peers: configurationPeers{c}, FollowOthers: true,
			ItemName: func(*domain.RouteTable) string { return platform.ConfigurationName },
			SameItem: func(a, b *domain.RouteTable) bool { return a.Version == b.Version }, Settlement: settlement,
			InForce: func(t *domain.RouteTable) bool {
				v := d.View()

				return v == nil || t.Version >= v.Table.Version
			},
		},
		registrations: follower.Follower[domain.Registration]{
			Link: link, Log: log, Name: replica.Registrations, Source: platform.Registrations{Store: st},
			Bound: s.Bounds.Drain, Pause: pauseFor(s.Bounds.Drain), RestartHints: hints, FollowOthers: true,
			ItemName: func(r domain.Registration) string { return r.ID },
			SameItem: func(a, b domain.Registration) bool { return a == b },
			Peers:    replica.Peers[domain.Registration]{Client: c, Collection: replica.Registrations},
		},
		evacuations: follower.Follower[domain.Evacuation]{
			Link: link, Log: log, Name: replica.Evacuations, Source: platform.Evacuations{Store: st},
			Bound: s.Bounds.Evacuation, Pause: pauseFor(s.Bounds.Evacuation), FollowOthers: true,
			ItemName: func(e domain.Evacuation) string { return e.FailureDomain },
			SameItem: func(a, b domain.Evacuation) bool { return a == b },
			Peers:    replica.Peers[domain.Evacuation]{Client: c, Collection: replica.Evacuations},
		},
	}
}

// registerCollectionMetrics registers gauges that tell an instance that lacks a change
// from one that has it, and a collection without changes from one whose watch is lost.
func (i *Instance) registerCollectionMetrics() {
	f := i.parts.Followers

	for name, position := range map[string]func() follower.Position{
		replica.Configuration: f.configuration.Position, replica.Registrations: f.registrations.Position,
	} {
		label := fmt.Sprintf("{collection=%q}", name)
		metrics.NewGauge("primrose_collection_revision"+label, func() float64 { return float64(position().Revision.Number) })
		metrics.NewGauge("primrose_collection_age_seconds"+label, func() float64 { return position().Age.Seconds() })
	}

	metrics.NewGauge("primrose_store_era", func() float64 { return float64(i.parts.Era.Current()) })

	if settlement := f.configuration.Settlement; settlement != nil {
		metrics.NewGauge("primrose_store_era_settled", func() float64 {
			if _, _, settled := settlement.Settled(); settled {
				return 1
			}

			return 0
		})
	}

	metrics.NewGauge("primrose_configuration_version", func() float64 { return float64(configurationSink{i}.version()) })
}

var storeRestores = metrics.NewCounter("primrose_store_restores_total")

// storeRestored handles a return of the store from an older copy.
func (i *Instance) storeRestored(era, before uint64) {
	storeRestores.Inc()
	i.log.Warn().Str("event", "store_restored").Uint64("era", era).Uint64("before", before).Send()
	i.parts.Roster.Restored()
}

func pauseFor(bound time.Duration) time.Duration { return time.Duration(pauseShare * float64(bound)) }

// configurationPeers reads the configuration from other instances.
type configurationPeers struct{ client *replica.Client }

// Newer implements follower.Peers.
func (p configurationPeers) Newer(ctx context.Context, revision follower.Revision) ([]*domain.RouteTable, follower.Revision) {
	tables, at := replica.Peers[domain.RouteTable]{Client: p.client, Collection: replica.Configuration}.Newer(ctx, revision)
	out := make([]*domain.RouteTable, len(tables))

	for i := range tables {
		out[i] = &tables[i]
	}

	return out, at
}

// configurationSink applies configurations from the store.
type configurationSink struct{ *Instance }

// Replace implements follower.Sink.
func (s configurationSink) Replace(items []*domain.RouteTable) {
	for _, t := range items {
		s.configure(t)
	}
}

// Apply implements follower.Sink. A configuration is never removed.
func (s configurationSink) Apply(changes []follower.Change[*domain.RouteTable]) {
	for _, c := range changes {
		if !c.Removed {
			s.configure(c.Item)
		}
	}
}

// StoreRecovered implements follower.Sink.
func (s configurationSink) StoreRecovered() {}

// StoreRestored implements follower.Sink. The configuration in force stays so, as versions only
// increase.
func (s configurationSink) StoreRestored() {}

// catchUp takes the configuration in force at another instance.
func (s configurationSink) catchUp(ctx context.Context, address string) {
	tables, err := replica.Peers[domain.RouteTable]{Client: s.parts.ReplicaClient, Collection: replica.Configuration}.From(ctx, address)
	if err != nil {
		s.log.Info().Str("event", "copy_failed").Str("collection", replica.Configuration).Str("peer", address).Err(err).Send()

		return
	}

	for i := range tables {
		s.configure(&tables[i]) //nolint:contextcheck // The sessions of a plan outlast this exchange.
	}
}

// version returns the version in force, or 0 if there is none.
func (s configurationSink) version() uint64 {
	v := s.parts.Directory.View()
	if v == nil {
		return 0
	}

	return v.Table.Version
}

// configure puts a configuration in force if it is newer. The store's and other instances' may come at
// the same time.
func (s configurationSink) configure(t *domain.RouteTable) {
	s.configuring.Lock()
	defer s.configuring.Unlock()

	inForce := s.parts.Directory.Configure(t)
	s.log.Info().Str("event", "configuration").Uint64("version", t.Version).Int("routes", len(t.Routes)).
		Int("pools", len(t.Pools)).Bool("in_force", inForce).Send()

	if inForce {
		s.setCaps(t)
		s.viewChanged()
		s.replan()
	}
}

// setCaps puts the caps of a configuration's member organisations in force.
func (s configurationSink) setCaps(t *domain.RouteTable) {
	caps := make(map[string]domain.Cap, len(t.Members))

	for i := range t.Members {
		if m := &t.Members[i]; m.Cap.Limited() {
			caps[m.Name] = m.Cap
		}
	}

	b := s.settings.Bounds.Caps
	s.parts.Quota.SetCaps(caps, quota.Tolerance{Window: b.Window, Overage: b.Overage, Slack: b.Slack})
}

// evacuationSink applies the evacuations from the store.
type evacuationSink struct{ *Instance }

// Replace implements follower.Sink.
func (s evacuationSink) Replace(items []domain.Evacuation) { s.set(items) }

// Apply implements follower.Sink.
func (s evacuationSink) Apply(changes []follower.Change[domain.Evacuation]) {
	list := s.parts.Directory.StatedEvacuations()

	for _, c := range changes {
		list = slices.DeleteFunc(list, func(e domain.Evacuation) bool { return e.FailureDomain == c.Name })
		if !c.Removed {
			list = append(list, c.Item)
		}
	}

	s.set(list)
}

// set puts the evacuations that the store states in force.
func (s evacuationSink) set(list []domain.Evacuation) {
	before := s.parts.Directory.Evacuations()
	s.changed(before, s.parts.Directory.SetEvacuations(list))
	s.evacuationsListed.Store(true)
	s.viewChanged()
}

// changed logs a change of the evacuations in force. Load returns slowly to searchers that are used
// again, which may have become cold.
func (s evacuationSink) changed(before []domain.Evacuation, returned []string) {
	for _, id := range returned {
		s.parts.Table.SlowStart(id)
	}

	now := s.parts.Directory.Evacuations()
	if slices.Equal(before, now) {
		return
	}

	names := make([]string, len(now))
	for i, e := range now {
		names[i] = e.FailureDomain
	}

	s.log.Info().Str("event", "evacuations").Strs("failure_domains", names).Int("searchers_returned", len(returned)).Send()
}

// StoreRecovered implements follower.Sink.
func (s evacuationSink) StoreRecovered() {}

// StoreRestored implements follower.Sink.
func (s evacuationSink) StoreRestored() {
	s.parts.Directory.RetainEvacuations()
	s.expireRetained()
}

// expireRetained ends the evacuations that are retained now when they are no longer.
func (s evacuationSink) expireRetained() {
	time.AfterFunc(directory.EvacuationGrace, func() {
		before := s.parts.Directory.Evacuations()
		s.changed(before, s.parts.Directory.ExpireEvacuations())
		s.viewChanged()
	})
}

// registrationSink applies the searchers' registrations from the store.
type registrationSink struct{ *Instance }

// Replace implements follower.Sink.
func (s registrationSink) Replace(items []domain.Registration) {
	changed := s.parts.Directory.ReplaceSearchers(items)
	s.parts.Signs.ApplyLeaving()
	s.log.Info().Str("event", "searchers_listed").Int("searchers", len(items)).Bool("changed", changed).Send()
	s.viewChanged()
}

// Apply implements follower.Sink.
func (s registrationSink) Apply(changes []follower.Change[domain.Registration]) {
	list := make([]directory.SearcherChange, len(changes))
	for i, c := range changes {
		list[i] = directory.SearcherChange{ID: c.Name, Registration: c.Item, Removed: c.Removed}
	}

	for i, changed := range s.parts.Directory.ApplySearchers(list) {
		if changed {
			s.logSearcher(list[i])
		}
	}

	s.parts.Signs.ApplyLeaving()

	s.viewChanged()
}

func (s registrationSink) logSearcher(c directory.SearcherChange) {
	ev := s.log.Info().Str("event", "searcher").Str("searcher", c.ID)

	if c.Removed {
		ev.Str("state", "removed").Send()

		return
	}

	ev.Str("state", "registered").Str("pool", c.Registration.Pool).Str("address", c.Registration.Address).
		Bool("draining", c.Registration.Draining).Uint64("sequence", c.Registration.Sequence).
		Int64("started", c.Registration.Started).Send()
}

// StoreRecovered implements follower.Sink.
func (s registrationSink) StoreRecovered() {
	s.parts.Directory.StoreRecovered()
	s.expireAfter(directory.RegistrationGrace)
}

// StoreRestored implements follower.Sink.
func (s registrationSink) StoreRestored() {
	s.parts.Directory.StoreRestored()
	s.expireAfter(directory.RegistrationGrace)
	s.expireAfter(directory.RestoreTime)
}

func (s registrationSink) expireAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		s.parts.Directory.Expire()
		s.viewChanged()
	})
}
