// Package peer speaks to the other entry instances: yamux sessions over TCP
// that carry protobuf frames. A Mesh keeps sessions with the overlay
// neighbours for heartbeats, membership and the configuration, and opens
// others on demand to relay requests.
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
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// sessionGrace is how long a session stays that this instance dialled and
	// doesn't want: the first exchange of state takes less.
	sessionGrace = 5 * time.Second
	// silentSession is longer than the silence that the table acts on, so that
	// the table probes first.
	silentSession = membership.HeartbeatTimeout + membership.HeartbeatInterval
	minRedial     = 100 * time.Millisecond
	maxRedial     = 2 * time.Second
	// seedInterval is how often one instance that isn't live is tried, so that
	// the sides of a partition find each other.
	seedInterval = 3 * time.Second
	// lonelyTries is how many instances are tried at once without a session.
	lonelyTries = 3
	// listInterval is how often a watcher reads the platform's list. Leaving
	// instances must be known within 3 s.
	listInterval = 2 * time.Second
	// reportInterval is how often the gauges are set.
	reportInterval = time.Second
)

// Searcher runs a query on this instance.
type Searcher interface {
	Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error)
}

// Executor runs requests that must not be repeated.
type Executor interface {
	Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error)
	// Apply applies an operation on a claim in a bucket that this instance owns.
	Apply(ctx context.Context, op claims.Operation) (claims.Result, error)
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Instances returns a List of version 0 if the list is still at version
	// after.
	Instances(ctx context.Context, after uint64) (platform.List, error)
}

// Options are what a mesh depends on.
type Options struct {
	Log    zerolog.Logger
	Table  *membership.Table
	Holder *configuration.Holder
	// Seeds are the addresses of instances to ask first.
	Seeds []string
	// Lister may be nil.
	Lister Lister
	// SetLeaving takes the searchers that the platform's list calls leaving; it
	// may be nil.
	SetLeaving func(searchers []string)
	// Jitter returns a random duration from zero up to limit.
	Jitter func(limit time.Duration) time.Duration
}

// Mesh keeps the sessions with other instances. It is safe for concurrent use.
type Mesh struct {
	options  Options
	listener net.Listener
	local    Searcher
	executor Executor
	fetching atomic.Bool
	nextID   atomic.Uint64

	// applying is held from taking a list of leaving searchers to acting on it,
	// so that an older list isn't acted on last. It is taken before mu.
	applying sync.Mutex

	mu       sync.Mutex // Guards all below.
	sessions map[string][]*session
	relays   map[string]*session
	redial   map[string]*backoff
	all      map[*session]bool
	seeds    []domain.Instance
	closed   bool
	// listed is the version of the list that this instance has read itself.
	listed  uint64
	leaving leavingSearchers
	// relayDials has a channel for each relay session being opened; it is
	// closed when that is over.
	relayDials map[string]chan struct{}
	// working counts the relayed requests at work here; drained is closed when
	// it reaches zero after draining began.
	working  int
	ready    bool
	draining bool
	drained  chan struct{}

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
		redial: make(map[string]*backoff), all: make(map[*session]bool),
		relayDials: make(map[string]chan struct{}), drained: make(chan struct{}),
	}
}

// Serve sets what answers relayed requests; it is called before Listen.
func (m *Mesh) Serve(s Searcher, e Executor) { m.local, m.executor = s, e }

// SetReady lets the mesh run relayed requests.
func (m *Mesh) SetReady() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.ready = true
}

// Listen takes connections at address until Run ends.
func (m *Mesh) Listen(ctx context.Context, address string) error {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Annotate(err, "listen for peers")
	}

	m.listener = l

	return nil
}

// Run keeps the sessions until ctx ends, and then closes them.
func (m *Mesh) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	m.goRun(func() { m.acceptLoop(ctx) })
	m.goRun(func() { m.spreadLoop(ctx) })
	m.goRun(func() { m.listLoop(ctx) })
	m.tickLoop(ctx)

	_ = m.listener.Close()

	m.mu.Lock()
	m.closed = true
	open := m.all
	m.all = make(map[*session]bool)
	m.mu.Unlock()

	for s := range open {
		s.close()
	}

	m.wg.Wait()
}

// Leave tells the connected peers that this instance stops.
func (m *Mesh) Leave() {
	m.perform(m.options.Table.Leave(time.Now()))
}

// goRun starts f unless the mesh is closed, and reports whether it did.
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

			// Accept fails for a while when descriptors run out.
			m.pause(ctx, minRedial)

			continue
		}

		if !m.goRun(func() { m.serve(ctx, raw) }) {
			_ = raw.Close()

			return
		}
	}
}

func (m *Mesh) serve(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	s, err := m.accept(raw)
	if err != nil {
		m.logFrameError(err)

		return
	}

	m.runSession(ctx, s)
}

func (m *Mesh) pause(ctx context.Context, d time.Duration) {
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
		m.options.Table.SetLoad(m.workingCount())
		m.perform(m.options.Table.Tick(now))
		m.closeStale(ctx, now)
		m.dialNeighbours(ctx, now)

		if now.After(nextSeed) {
			nextSeed = now.Add(m.dialSeed(ctx))
		}

		if now.After(nextReport) {
			nextReport = now.Add(reportInterval)
			m.report()
		}

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// perform carries out what the table decided.
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

// closeStale closes sessions that went silent, that nobody wants any more, or
// that were left idle.
func (m *Mesh) closeStale(ctx context.Context, now time.Time) {
	wanted := make(map[string]bool)
	for _, n := range m.options.Table.View().Neighbours {
		wanted[n.ID] = true
	}

	m.mu.Lock()
	open := make([]*session, 0, len(m.all))

	for s := range m.all {
		open = append(open, s)
	}
	m.mu.Unlock()

	for _, s := range open {
		if s.kind != pb.SessionKind_SESSION_KIND_CONTROL {
			m.checkRelay(ctx, s, now)

			continue
		}

		switch {
		case s.conn.silence(now) > silentSession:
			silentSessions.Inc()
			m.options.Log.Warn().Str("event", "session_silent").Str("peer", s.id()).Send()
			s.close()
		case s.dialled && !wanted[s.id()] && now.Sub(s.opened) > sessionGrace:
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
