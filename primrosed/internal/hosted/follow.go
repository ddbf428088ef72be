package hosted

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	"primrosespring.example/internal/hosting"
	"primrosespring.example/platform"
	"primrosespring.example/primrosed/internal/replica"
)

// pauseShare is the part of the bounds for draining searchers and for changes that
// is kept between two watches, so that changes in quick succession cost one call.
// Twice that and the store's answer stay well within the bounds.
const pauseShare = 0.3

// followers keep copies of the collections that others write.
type followers struct {
	configuration follower.Follower[*domain.RouteTable]
	registrations follower.Follower[domain.Registration]
}

// newFollowers returns followers without sinks.
func newFollowers(log zerolog.Logger, s hosting.Settings, st *platform.Store, c *replica.Client, ds suspicions) *followers {
	return &followers{
		configuration: follower.Follower[*domain.RouteTable]{
			Log: log, Name: replica.Configuration, Source: platform.Configurations{Store: st},
			Pause: pauseFor(s.Bounds.ConfigurationDelay), Peers: configurationPeers{c},
		},
		registrations: follower.Follower[domain.Registration]{
			Log: log, Name: replica.Registrations, Source: platform.Registrations{Store: st},
			Pause: pauseFor(s.Bounds.Drain), RestartHints: ds,
			Peers: replica.Peers[domain.Registration]{Client: c, Collection: replica.Registrations},
		},
	}
}

func pauseFor(bound time.Duration) time.Duration { return time.Duration(pauseShare * float64(bound)) }

// configurationPeers are the other instances as holders of the configuration.
type configurationPeers struct{ client *replica.Client }

// Newer implements follower.Peers.
func (p configurationPeers) Newer(ctx context.Context, revision uint64) ([]*domain.RouteTable, uint64) {
	tables, at := replica.Peers[domain.RouteTable]{Client: p.client, Collection: replica.Configuration}.Newer(ctx, revision)
	out := make([]*domain.RouteTable, len(tables))

	for i := range tables {
		out[i] = &tables[i]
	}

	return out, at
}

// configurationSink takes configurations from the store.
type configurationSink struct{ *Instance }

// Replace implements follower.Sink.
func (s configurationSink) Replace(items []*domain.RouteTable) {
	for _, t := range items {
		s.take(t)
	}
}

// Apply implements follower.Sink. A configuration is never removed.
func (s configurationSink) Apply(changes []follower.Change[*domain.RouteTable]) {
	for _, c := range changes {
		if !c.Removed {
			s.take(c.Item)
		}
	}
}

// StoreRecovered implements follower.Sink.
func (s configurationSink) StoreRecovered() {}

func (s configurationSink) take(t *domain.RouteTable) {
	took := s.parts.Directory.Configure(t)
	s.log.Info().Str("event", "configuration").Uint64("version", t.Version).Int("routes", len(t.Routes)).
		Int("pools", len(t.Pools)).Bool("in_force", took).Send()

	if took {
		s.changed()
		s.replan()
	}
}

// registrationSink takes the searchers' registrations from the store.
type registrationSink struct{ *Instance }

// Replace implements follower.Sink.
func (s registrationSink) Replace(items []domain.Registration) {
	changed := s.parts.Directory.ReplaceSearchers(items)
	s.log.Info().Str("event", "searchers_listed").Int("searchers", len(items)).Bool("changed", changed).Send()
	s.changed()
}

// Apply implements follower.Sink.
func (s registrationSink) Apply(changes []follower.Change[domain.Registration]) {
	list := make([]directory.SearcherChange, len(changes))
	for i, c := range changes {
		list[i] = directory.SearcherChange{ID: c.Name, Registration: c.Item, Removed: c.Removed}
	}

	for i, took := range s.parts.Directory.ApplySearchers(list) {
		if took {
			s.logSearcher(list[i])
		}
	}

	s.changed()
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
	time.AfterFunc(directory.RegistrationGrace, func() {
		s.parts.Directory.Expire()
		s.changed()
	})
}
