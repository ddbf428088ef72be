// Package peer connects entry instances with each other: protobuf frames on
// yamux sessions over TCP. A Mesh keeps sessions with the overlay neighbours for
// heartbeats, membership and the configuration, and opens others on demand to
// relay requests.
package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/quota"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// sessionGrace is how long a dialled session to an instance that isn't a
	// neighbour stays open: the first exchange of state takes less.
	sessionGrace = 5 * time.Second
	// sessionTimeout is the time without received data after which a control session
	// is closed. It is longer than the membership table's timeout, so that the table
	// probes first.
	sessionTimeout = membership.HeartbeatTimeout + membership.HeartbeatInterval
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// seedInterval is the mean time between dials of an instance that isn't live,
	// by which the sides of a partition find each other.
	seedInterval = 3 * time.Second
	// isolatedDials is how many instances are dialled at once while there is no
	// session.
	isolatedDials = 3
	// listInterval is the longest time between two reads of the platform's list
	// by a watcher. Leaving instances must be known within 3 s.
	listInterval = 2 * time.Second
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
)

// QueryRunner runs a query on this instance.
type QueryRunner interface {
	Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Executor runs non-repeatable requests.
type Executor interface {
	Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error)
	// Apply applies an operation on a claim in a bucket that this instance owns.
	Apply(ctx context.Context, op claims.Operation) (claims.Result, error)
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Instances returns the list, or a List of version 0 if the list hasn't changed
	// since version after.
	Instances(ctx context.Context, after uint64) (platform.List, error)
}

// Options are the settings and dependencies of a mesh.
type Options struct {
	Log    zerolog.Logger
	Table  *membership.Table
	Keeper *configuration.Keeper
	// Seeds are the addresses of the instances to dial first.
	Seeds []string
	// Lister may be nil.
	Lister Lister
	// Frames bounds the frames that are being read; nil sets no bound.
	Frames *memory.Budget
	// SetLeaving receives the searchers that the platform lists as leaving; it
	// may be nil.
	SetLeaving func(searchers []string)
	// Quota asks for permits at other instances, and gives them; nil does neither. OnLimits,
	// which may be nil, is called with the changes of limits that another instance told.
	Quota    *quota.Table
	OnLimits func(from string, changes []quota.Learned)
	// Jitter returns a random duration from zero up to limit.
	Jitter func(limit time.Duration) time.Duration
}

// Mesh keeps the sessions with other instances. It is safe for concurrent use.
type Mesh struct {
	options  Options
	listener net.Listener
	runner   QueryRunner
	executor Executor
	fetching atomic.Bool
	nextID   atomic.Uint64

	// leavingMu is held while a list of leaving searchers is stored and passed to
	// SetLeaving, so that an older list isn't applied last. It is locked before mu.
	leavingMu sync.Mutex

	mu sync.Mutex // Guards the fields below.
	// sessions has the control sessions by instance id, the latest one last.
	sessions map[string][]*session
	// relays has the dialled relay sessions by instance id.
	relays   map[string]*session
	backoffs map[string]*backoff
	all      map[*session]bool
	// seeds are the instances to dial from the platform's list: unknown or dead
	// here.
	seeds  []domain.Instance
	closed bool
	// listVersion is the version of the platform's list that this instance read
	// last.
	listVersion uint64
	leaving     leavingSearchers
	// relayDials has a channel for each instance to which a relay session is being
	// dialled; it is closed when the dial ends.
	relayDials map[string]chan struct{}
	// inProgress counts the relayed requests that run here; drained is closed
	// when it reaches zero after draining began.
	inProgress int
	ready      bool
	draining   bool
	drained    chan struct{}

	wg sync.WaitGroup
}

// backoff is the state of dialling one peer.
type backoff struct {
	dialling bool
	wait     time.Duration
	next     time.Time
}

// NewMesh returns a mesh that isn't running.
func NewMesh(o Options) *Mesh {
	return &Mesh{
		options: o, sessions: make(map[string][]*session), relays: make(map[string]*session),
		backoffs: make(map[string]*backoff), all: make(map[*session]bool),
		relayDials: make(map[string]chan struct{}), drained: make(chan struct{}),
	}
}

// SetHandlers sets what runs relayed requests here; call it before Listen.
func (m *Mesh) SetHandlers(r QueryRunner, e Executor) { m.runner, m.executor = r, e }

// SetReady makes the mesh accept relayed requests.
func (m *Mesh) SetReady() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.ready = true
}

// Listen opens the listener at address; Run accepts its connections and closes it.
func (m *Mesh) Listen(ctx context.Context, address string) error {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Annotate(err, "listen for peers")
	}

	m.listener = l

	return nil
}

// Run maintains the sessions until ctx ends, and then closes them.
func (m *Mesh) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	m.goRun(func() { m.acceptLoop(ctx) })
	m.goRun(func() { m.pushLoop(ctx) })
	m.goRun(func() { m.listLoop(ctx) })

	if m.options.Quota != nil {
		m.goRun(func() { m.permitLoop(ctx) })
	}

	m.tickLoop(ctx)

	_ = m.listener.Close()

	m.mu.Lock()
	m.closed = true
	sessions := m.all
	m.all = make(map[*session]bool)
	m.mu.Unlock()

	for s := range sessions {
		s.close()
	}

	m.wg.Wait()
}

// Leave tells the connected peers that this instance is leaving.
func (m *Mesh) Leave() {
	m.perform(m.options.Table.Leave(time.Now()))
}

// goRun starts f in a goroutine unless the mesh is closed, and reports whether it
// did.
func (m *Mesh) goRun(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.closed {
		return false
	}

	m.wg.Go(f)

	return true
}

func (m *Mesh) acceptLoop(ctx context.Context) {
	for {
		raw, err := m.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}

			// Accept fails temporarily when file descriptors run out.
			m.sleep(ctx, minBackoff)

			continue
		}

		if !m.goRun(func() { m.serveConn(ctx, raw) }) {
			_ = raw.Close()

			return
		}
	}
}

func (m *Mesh) serveConn(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	s, err := m.accept(raw)
	if err != nil {
		m.logFrameError(err)

		return
	}

	m.runSession(ctx, s)
}

func (m *Mesh) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (m *Mesh) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	var nextSeed, nextReport time.Time

	for {
		now := time.Now()
		m.options.Table.SetLoad(m.inProgressCount())
		m.perform(m.options.Table.Tick(now))
		m.closeStale(ctx, now)
		m.dialNeighbours(ctx, now)

		if now.After(nextSeed) {
			nextSeed = now.Add(m.dialSeed(ctx))
		}

		if now.After(nextReport) {
			nextReport = now.Add(gaugeInterval)
			m.setGauges()
		}

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// perform carries out what the membership table decided.
func (m *Mesh) perform(r membership.Result) {
	for _, c := range r.Changes {
		e := m.options.Log.Info().Str("event", "member_changed").Str("member", c.Record.Instance.ID).
			Stringer("state", c.Record.State).Uint64("incarnation", c.Record.Incarnation)
		if c.Known {
			e = e.Stringer("from", c.From)
		}

		e.Send()
	}

	for _, id := range r.Reset {
		for _, s := range m.sessionsOf(id) {
			silentSessions.Inc()
			m.options.Log.Warn().Str("event", "session_silent").Str("peer", id).Send()
			s.close()
		}
	}

	for _, o := range r.Send {
		if all := m.sessionsOf(o.To); len(all) > 0 {
			all[len(all)-1].send(o.Frame)
		}
	}
}

func (m *Mesh) sessionsOf(id string) []*session {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.Clone(m.sessions[id])
}

func (m *Mesh) sessionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return len(m.all)
}

// closeStale closes control sessions that are silent, or that were dialled and
// whose peer isn't a neighbour, and checks the relay sessions.
func (m *Mesh) closeStale(ctx context.Context, now time.Time) {
	neighbours := make(map[string]bool)
	for _, n := range m.options.Table.View().Neighbours {
		neighbours[n.ID] = true
	}

	m.mu.Lock()
	sessions := make([]*session, 0, len(m.all))

	for s := range m.all {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()

	for _, s := range sessions {
		if s.kind != pb.SessionKind_SESSION_KIND_CONTROL {
			m.checkRelay(ctx, s, now)

			continue
		}

		switch {
		case s.conn.sinceLastRead(now) > sessionTimeout:
			silentSessions.Inc()
			m.options.Log.Warn().Str("event", "session_silent").Str("peer", s.id()).Send()
			s.close()
		case s.dialled && !neighbours[s.id()] && now.Sub(s.opened) > sessionGrace:
			s.close()
		}
	}
}

func (m *Mesh) logFrameError(err error) {
	var fe *frame.Error
	if errors.As(err, &fe) {
		badFrames.Inc()
		m.options.Log.Warn().Str("event", "bad_frame").Str("peer", fe.Peer).Err(err).Send()
	}
}
