package peer

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/yamux"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/frame"
)

const (
	// fetchTimeout bounds one fetch, so that another peer can be asked.
	fetchTimeout = time.Second
	// wantWhole, sent as the version that this instance has, requests the whole
	// configuration: no peer has this version.
	wantWhole = math.MaxUint64
)

// pushLoop pushes each newer configuration to the connected peers.
func (m *Mesh) pushLoop(ctx context.Context) {
	for {
		changed := m.options.Keeper.Changed()
		m.options.Table.SetConfigurationVersion(m.options.Keeper.Configuration().Version)
		m.push()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// push sends the configuration in force to the peers that aren't known to have
// it: the changes, or only the version to a peer that needs the whole
// configuration. That peer fetches it once instead of getting it from each
// neighbour.
func (m *Mesh) push() {
	version := m.options.Keeper.Configuration().Version
	frames := make(map[uint64]*pb.PeerFrame)

	for _, s := range m.controlSessions() {
		have := s.version.Load()
		if have >= version {
			continue
		}

		f, ok := frames[have]
		if !ok {
			u, err := m.options.Keeper.UpdateFrom(have)
			if err != nil {
				m.options.Log.Error().Str("event", "push_failed").Err(err).Send()

				return
			}

			u.Whole = nil
			f = &pb.PeerFrame{Body: &pb.PeerFrame_Configuration{Configuration: pushMessage(u, true)}}
			frames[have] = f
		}

		s.version.Store(version)
		s.send(f)
	}
}

func pushMessage(u configuration.Update, loaded bool) *pb.ConfigurationPush {
	return &pb.ConfigurationPush{
		FromVersion: u.From, Version: u.Version, Whole: u.Whole, Changes: u.Changes, Checksum: u.Checksum, Loaded: loaded,
	}
}

// handlePush applies a pushed configuration, or fetches it if it can't.
func (m *Mesh) handlePush(ctx context.Context, s *session, p *pb.ConfigurationPush) {
	s.version.Store(max(s.version.Load(), p.GetVersion()))

	if len(p.GetChanges()) == 0 {
		m.catchUp(ctx, s)

		return
	}

	have := m.options.Keeper.Configuration().Version

	err := m.applyPush(s, p)
	if err == nil {
		return
	}

	var behind *configuration.BehindError
	if !errors.As(err, &behind) {
		m.options.Log.Warn().Str("event", "push_refused").Str("peer", s.id()).Err(err).Send()

		have = wantWhole
	}

	m.fetch(ctx, s, have)
}

func (m *Mesh) applyPush(s *session, p *pb.ConfigurationPush) error {
	applied, err := m.options.Keeper.ApplyUpdate(configuration.Update{
		From: p.GetFromVersion(), Version: p.GetVersion(), Whole: p.GetWhole(), Changes: p.GetChanges(), Checksum: p.GetChecksum(),
	})
	if applied {
		m.options.Log.Info().Str("event", "configuration_taken").Str("peer", s.id()).Uint64("version", p.GetVersion()).
			Int("changes", len(p.GetChanges())).Int("whole_bytes", len(p.GetWhole())).Send()
	}

	return err
}

// catchUp fetches the configuration if the peer has a newer version, or if none
// is loaded here.
func (m *Mesh) catchUp(ctx context.Context, s *session) {
	have := m.options.Keeper.Configuration().Version
	if s.version.Load() > have || !m.options.Keeper.Loaded() {
		m.fetch(ctx, s, have)
	}
}

// fetch asks a peer for its configuration in the background. One fetch runs at
// a time; after a failure the next heartbeat starts another.
func (m *Mesh) fetch(ctx context.Context, s *session, have uint64) {
	if !m.fetching.CompareAndSwap(false, true) {
		return
	}

	started := m.goRun(func() {
		defer m.fetching.Store(false)

		if err := m.fetchFrom(ctx, s, have); err != nil {
			m.options.Log.Warn().Str("event", "fetch_failed").Str("peer", s.id()).Err(err).Send()
		}
	})
	if !started {
		m.fetching.Store(false)
	}
}

func (m *Mesh) fetchFrom(ctx context.Context, s *session, have uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	f, _, err := m.exchange(ctx, s, &pb.PeerFrame{Body: &pb.PeerFrame_Fetch{Fetch: &pb.ConfigurationFetch{HaveVersion: have}}}, frame.MaxControlBytes)
	if err != nil {
		return err
	}

	p := f.GetConfiguration()
	if p == nil || !p.GetLoaded() {
		return nil
	}

	// The peer has loaded the empty configuration, so it counts as loaded here too.
	if p.GetVersion() == 0 {
		m.options.Keeper.SetIfNewer(&configuration.Stored{})

		return nil
	}

	err = m.applyPush(s, p)
	if err != nil && have != wantWhole {
		return m.fetchFrom(ctx, s, wantWhole)
	}

	return err
}

// answerFetch sends the update from the peer's version to the one in force.
func (m *Mesh) answerFetch(stream *yamux.Stream, f *pb.PeerFrame) error {
	loaded := m.options.Keeper.Loaded()

	u, err := m.options.Keeper.UpdateFrom(f.GetFetch().GetHaveVersion())
	if err != nil {
		return err
	}

	return frame.Write(stream, &pb.PeerFrame{
		Id: f.GetId(), Body: &pb.PeerFrame_Configuration{Configuration: pushMessage(u, loaded)},
	}, frame.MaxControlBytes)
}

// awaitVersion waits until the configuration in force is at least version, and
// fetches it from s, the peer that requires that version.
func (m *Mesh) awaitVersion(ctx context.Context, s *session, version uint64) error {
	for {
		changed := m.options.Keeper.Changed()

		have := m.options.Keeper.Configuration().Version
		if have >= version {
			return nil
		}

		m.fetch(ctx, s, have)

		select {
		case <-changed:
		case <-ctx.Done():
			return domain.Errorf(domain.FateNotRun, domain.CodeNotReady, "await configuration",
				"version %d is in force here; the request needs %d", have, version)
		}
	}
}
