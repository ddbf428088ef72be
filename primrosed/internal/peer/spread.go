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
	// fetchTimeout bounds one fetch; after it another peer is asked.
	fetchTimeout = time.Second
	// wantWhole asks for the whole configuration: no instance has this version.
	wantWhole = math.MaxUint64
)

// spreadLoop sends each newer configuration to the connected peers at once.
func (m *Mesh) spreadLoop(ctx context.Context) {
	for {
		changed := m.options.Holder.Changed()
		m.options.Table.SetConfigurationVersion(m.options.Holder.Configuration().Version)
		m.push()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// push sends what is in force to the peers that aren't known to have it: the
// changes, or only the version to those that need the whole. They fetch that
// once and not from each neighbour.
func (m *Mesh) push() {
	version := m.options.Holder.Configuration().Version
	frames := make(map[uint64]*pb.PeerFrame)

	for _, s := range m.controlSessions() {
		have := s.version.Load()
		if have >= version {
			continue
		}

		f, ok := frames[have]
		if !ok {
			u, err := m.options.Holder.UpdateFrom(have)
			if err != nil {
				m.options.Log.Error().Str("event", "push_failed").Err(err).Send()

				return
			}

			u.Whole = nil
			f = &pb.PeerFrame{Body: &pb.PeerFrame_Configuration{Configuration: pushOf(u, true)}}
			frames[have] = f
		}

		s.version.Store(version)
		s.send(f)
	}
}

func pushOf(u configuration.Update, loaded bool) *pb.ConfigurationPush {
	return &pb.ConfigurationPush{
		FromVersion: u.From, Version: u.Version, Whole: u.Whole, Changes: u.Changes, Checksum: u.Checksum, Loaded: loaded,
	}
}

// takePush puts a pushed configuration in force, or fetches it.
func (m *Mesh) takePush(ctx context.Context, s *session, p *pb.ConfigurationPush) {
	s.version.Store(max(s.version.Load(), p.GetVersion()))

	if len(p.GetChanges()) == 0 {
		m.catchUp(ctx, s)

		return
	}

	have := m.options.Holder.Configuration().Version

	err := m.take(s, p)
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

func (m *Mesh) take(s *session, p *pb.ConfigurationPush) error {
	took, err := m.options.Holder.ApplyUpdate(configuration.Update{
		From: p.GetFromVersion(), Version: p.GetVersion(), Whole: p.GetWhole(), Changes: p.GetChanges(), Checksum: p.GetChecksum(),
	})
	if took {
		m.options.Log.Info().Str("event", "configuration_taken").Str("peer", s.id()).Uint64("version", p.GetVersion()).
			Int("changes", len(p.GetChanges())).Int("whole_bytes", len(p.GetWhole())).Send()
	}

	return err
}

// catchUp fetches if the peer is known to have a newer version, or if nothing
// is loaded here.
func (m *Mesh) catchUp(ctx context.Context, s *session) {
	have := m.options.Holder.Configuration().Version
	if s.version.Load() > have || !m.options.Holder.Loaded() {
		m.fetch(ctx, s, have)
	}
}

// fetch asks a peer for its configuration in the background. One fetch runs at
// a time; a heartbeat starts the next if it failed.
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

	f, _, err := m.exchange(ctx, s, &pb.PeerFrame{Body: &pb.PeerFrame_Fetch{Fetch: &pb.ConfigurationFetch{HaveVersion: have}}}, frame.MaxControl)
	if err != nil {
		return err
	}

	p := f.GetConfiguration()
	if p == nil || !p.GetLoaded() {
		return nil
	}

	// A peer that has loaded the empty configuration ends the wait for one.
	if p.GetVersion() == 0 {
		m.options.Holder.SetIfNewer(&configuration.Stored{})

		return nil
	}

	err = m.take(s, p)
	if err != nil && have != wantWhole {
		return m.fetchFrom(ctx, s, wantWhole)
	}

	return err
}

// answerFetch sends what the peer needs.
func (m *Mesh) answerFetch(stream *yamux.Stream, f *pb.PeerFrame) error {
	loaded := m.options.Holder.Loaded()

	u, err := m.options.Holder.UpdateFrom(f.GetFetch().GetHaveVersion())
	if err != nil {
		return err
	}

	return frame.Write(stream, &pb.PeerFrame{
		Id: f.GetId(), Body: &pb.PeerFrame_Configuration{Configuration: pushOf(u, loaded)},
	}, frame.MaxControl)
}

// awaitVersion waits until the configuration in force is at least version. It
// fetches from s, whose instance has it.
func (m *Mesh) awaitVersion(ctx context.Context, s *session, version uint64) error {
	for {
		changed := m.options.Holder.Changed()

		have := m.options.Holder.Configuration().Version
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
