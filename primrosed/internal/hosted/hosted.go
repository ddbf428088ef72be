// Package hosted assembles an entry instance for the users' platform and runs it until
// it is told to stop. The adapters come from module platform; routing, serving and
// their state are those of module internal.
package hosted

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/leaving"
	"primrosespring.example/internal/logline"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/roster"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/serving"
	"primrosespring.example/platform"
	"primrosespring.example/primrosed/internal/balancer"
	"primrosespring.example/primrosed/internal/gatherer"
	"primrosespring.example/primrosed/internal/mux"
	"primrosespring.example/primrosed/internal/replica"
)

const (
	// gcPercent trades CPU time for memory: the live heap is a few MB, and
	// hosts of entry instances are small.
	gcPercent = 50
	// memoryShare is the share of the memory limit that is set as the runtime's soft
	// limit.
	memoryShare = 0.7
	// maxPartBytes bounds the answer of one shard, to 65,536 records: a query reads the
	// answers of hundreds of shards.
	maxPartBytes = 1 << 20
	// balancerDelay is how long an instance goes on accepting connections after it
	// reports that it isn't ready: the balancer checks every second and acts on the
	// second failure.
	balancerDelay = 2500 * time.Millisecond
	// graceReserve is the part of the grace time reserved for the final answers and
	// the exit of the process, on a machine with a fifth of a core.
	graceReserve = 1200 * time.Millisecond
	// finalAnswerTimeout bounds how long callers take to read the final answers.
	finalAnswerTimeout = 400 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply to callers
	// where the configuration sets no limit.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the configured limit: the server's own can't change while it
	// runs.
	maxHeaderBytes = 256 << 10
	// serverTimeout is the HTTP server's own timeout for callers, which can't change
	// while it runs. The configured timeouts are lower; http1.IdleTimer enforces them.
	serverTimeout = time.Hour
	// maxReportAge is how long a reported queue length is used. An instance receives
	// a few reports a second from each searcher, since several instances share it.
	maxReportAge = 100 * time.Millisecond
	// shareDelay is how long after a change of the list of instances all of them know it:
	// package roster reads it every 10 s.
	shareDelay = 12 * time.Second
	// settingsInterval is how often the settings file is checked for changes.
	settingsInterval = 2 * time.Second
	// handoversPerCore bounds the queries that an instance gathers for others at a
	// time, for each core of its CPU share. A query over a hundred shards
	// takes about 10 ms of a core, so more would wait for the CPU longer than
	// a latency objective of 100 ms allows.
	handoversPerCore = 40
)

// Instance is a hosted entry instance.
type Instance struct {
	log      zerolog.Logger
	logs     *logline.Writer
	settings hosting.Settings
	parts    parts
	health   balancer.Health
	started  time.Time
	// configuring is held while a configuration is put in force.
	configuring sync.Mutex
	// evacuationsListed says that the evacuations in force are known.
	evacuationsListed atomic.Bool
	// ready reports the first complete view.
	ready sync.Once
	// stopping is closed when a graceful shutdown begins.
	stopping chan struct{}
	// idle closes callers' connections that wait for a request.
	idle  *http1.IdleTimer
	fleet fleet
	// replicaServer serves copies of the store's collections to other instances.
	replicaServer replica.Server
}

// restartHints holds at most one hint that the list of searchers is out of date.
type restartHints chan struct{}

// add adds a hint unless one is pending.
func (h restartHints) add() {
	select {
	case h <- struct{}{}:
	default:
	}
}

// parts are the components of an instance, filled in by the container.
type parts struct {
	dig.In

	Directory      *directory.Directory
	Table          *routing.Table
	Quota          *quota.Table
	Signs          *serving.SignKeeper
	Budgets        *budgets
	Group          *http1.Group
	Engine         *serving.Engine
	Store          *platform.Store
	Era            *follower.Era
	Roster         *roster.Roster
	GathererClient *gatherer.Client
	GathererServer *gatherer.Server
	ReplicaClient  *replica.Client
	Quarantine     *quarantine.Table
	Notifier       *replica.Notifier
	Followers      *followers
	Positions      *replica.Positions
	Shares         *shares
}

// Provide registers the constructors of an instance's parts.
func Provide(c *dig.Container, s hosting.Settings, logOut io.Writer) error {
	for _, f := range []any{
		func() hosting.Settings { return s },
		func() *logline.Writer { return logline.New(logOut) },
		func(w *logline.Writer) zerolog.Logger { return w.Logger() },
		func() *directory.Directory { return &directory.Directory{} },
		func(q *quota.Table) *routing.Table {
			return &routing.Table{Random: rand.Uint64, MaxReportAge: maxReportAge, Quota: q}
		},
		newBudgets,
		func(b *budgets) *http1.Group { return &http1.Group{Bodies: b.answers} },
		func() *follower.Era { return &follower.Era{} },
		func(log zerolog.Logger, s hosting.Settings, era *follower.Era, b *budgets) *platform.Store {
			return platform.NewStore(log, s.StoreAddress, era, b.lists)
		},
		func() restartHints { return make(restartHints, 1) },
		func(s hosting.Settings) *quota.Table {
			return quota.New(time.Now(), s.Instance.ID, rand.Uint64(), shareDelay)
		},
		func(s hosting.Settings) *quarantine.Table {
			// The start time exceeds every sequence of an earlier process, which adds one for
			// each strike to its own start time.
			return quarantine.New(s.Instance.ID, s.Quarantine, uint64(time.Now().UnixNano()))
		},
		newNotifier,
		newShares,
		newRoster,
		newSignKeeper,
		newSearcherClient,
		newGathererClient,
		newEngine,
		newGathererServer,
		newReplicaClient,
		newFollowers,
		newPositions,
		newInstance,
	} {
		if err := c.Provide(f); err != nil {
			return errors.Annotate(err, "build the instance")
		}
	}

	return nil
}

// newSearcherClient returns a client that keeps to this instance's share of each searcher's
// connections.
func newSearcherClient(g *http1.Group, sh *shares, k *serving.SignKeeper) *platform.SearcherClient {
	return &platform.SearcherClient{Group: g, Signs: k, Limit: func(sr *domain.Searcher) http1.Limit {
		l := connectionLimit(sr, sh.get())
		if sr.Gathered {
			l.MaxBodyBytes = maxPartBytes
		}

		return l
	}}
}

func newSignKeeper(log zerolog.Logger, s hosting.Settings, d *directory.Directory, t *routing.Table, q *quota.Table) *serving.SignKeeper {
	return &serving.SignKeeper{Log: log, Directory: d, Routing: t, Quota: q, Leaving: &leaving.Signs{}, Self: s.Instance.ID}
}

func newRoster(log zerolog.Logger, s hosting.Settings, st *platform.Store) *roster.Roster {
	return roster.New(log, st, roster.Entry{
		ID: s.Instance.ID, FailureDomain: s.Instance.FailureDomain, Started: time.Now().UnixMilli(),
		PeerAddress: s.Instance.PeerAddress, Cores: s.Cores, LinkMbps: s.LinkMbps,
	})
}

func newGathererClient(log zerolog.Logger, s hosting.Settings, b *budgets) *gatherer.Client {
	return gatherer.NewClient(log, s.Instance.ID, http1.DialTCP, b.frames)
}

func newGathererServer(log zerolog.Logger, s hosting.Settings, e *serving.Engine) *gatherer.Server {
	return gatherer.NewServer(log, s.Instance.ID, e, max(int(handoversPerCore*s.Cores), 1))
}

func newEngine(log zerolog.Logger, s hosting.Settings, d *directory.Directory, sc *platform.SearcherClient, t *routing.Table,
	g *gatherer.Client, hints restartHints, q *quarantine.Table, n *replica.Notifier, f *followers, caps *quota.Table,
) *serving.Engine {
	var proven func() bool
	if f.configuration.Proof > 0 {
		proven = f.configuration.Proven
	}

	return serving.New(log, serving.Settings{
		KeysProven: proven, Caps: caps, ConfigurationDue: f.configuration.Due,
		Suspects: serving.Suspects{Table: q, Ended: sc.Ended, Tell: n.Notify},
		Instance: s.Instance, Cores: s.Cores, ExtraAttempts: s.Bounds.ExtraAttempts, LogPlacement: true, OnStaleList: hints.add, Gatherers: g,
	}, d, sc, t)
}

func newInstance(log zerolog.Logger, logs *logline.Writer, s hosting.Settings, p parts) *Instance {
	i := &Instance{log: log, logs: logs, settings: s, parts: p, stopping: make(chan struct{}), started: time.Now()}
	p.Era.OnRestore = i.storeRestored
	p.Roster.OnChange = i.setInstances
	p.Roster.Peers = replica.Peers[roster.Entry]{Client: p.ReplicaClient, Collection: replica.Instances}
	i.replicaServer = replica.Server{Log: log, Collections: i.collections(), Client: p.ReplicaClient}
	p.Positions.Signs = leavingSigns{i}
	p.Positions.InForce, p.Positions.CatchUp = configurationSink{i}.version, configurationSink{i}.catchUp
	p.Positions.Suspects, p.Notifier.Suspects = suspects{i}, suspects{i}
	p.Positions.Budgets = p.Engine

	if s.Bounds.Evacuation > 0 {
		p.Positions.Evacuations = evacuationKeeper{i}
	}

	p.Followers.configuration.Sink = configurationSink{i}
	p.Followers.registrations.Sink = registrationSink{i}
	p.Followers.evacuations.Sink = evacuationSink{i}

	return i
}

// Run serves until ctx ends and then shuts down gracefully: it reports that it isn't
// ready, serves new connections until the balancer has noticed, finishes the requests
// in progress and closes the connections. reload reads the settings again.
func (i *Instance) Run(ctx context.Context, hangup <-chan os.Signal, reload func() (hosting.Settings, error)) error {
	defer func() { _ = i.logs.Close() }()

	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(i.settings.MemoryBytes)))
	i.health.Set("start", "no configuration or no list of searchers yet")

	background, endBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer endBackground()

	requests, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()

	callers, admin, err := i.serve(requests)
	if err != nil {
		return err
	}

	peers, err := net.Listen("tcp", i.settings.Instance.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", i.settings.Instance.PeerAddress)
	}

	sessions := mux.NewServer(i.log, i.parts.Budgets.frames, i.servePeer)
	metrics.NewGauge("primrose_peer_sessions", func() float64 { return float64(sessions.Sessions()) })
	i.registerCollectionMetrics()
	metrics.NewGauge("primrose_held_contents", func() float64 { return float64(i.parts.Quarantine.Held(time.Now())) })

	var wg sync.WaitGroup

	wg.Go(func() { i.parts.Followers.configuration.Run(background) })
	wg.Go(func() { i.parts.Roster.Run(background) })
	wg.Go(func() { i.parts.Followers.registrations.Run(background) })
	wg.Go(func() { i.parts.Positions.Run(background) })

	if i.settings.Bounds.Evacuation > 0 {
		wg.Go(func() { i.parts.Followers.evacuations.Run(background) })
	}

	wg.Go(func() { i.watchSettings(background, hangup, reload) })
	wg.Go(func() { i.watchProof(background) })
	wg.Go(func() { i.servePeers(requests, sessions, peers) })

	i.log.Info().Str("event", "started").Str("instance", i.settings.Instance.ID).
		Str("caller_address", i.settings.CallerAddress).Str("failure_domain", i.settings.Instance.FailureDomain).Send()
	<-ctx.Done()
	i.stop(callers, endRequests) //nolint:contextcheck // ctx has ended; the stop has the grace time.
	endBackground()
	_ = peers.Close()
	sessions.Close()
	i.parts.Notifier.Close()
	i.parts.GathererClient.Close() //nolint:contextcheck // An empty plan connects to nobody.
	wg.Wait()

	for _, s := range admin {
		_ = s.Close()
	}

	i.parts.Store.Close()
	i.log.Info().Str("event", "stopped").Send()

	return nil
}

func (i *Instance) stop(callers *http.Server, endRequests context.CancelFunc) {
	began := time.Now()

	i.log.Info().Str("event", "stopping").Int64("grace_ms", i.settings.Bounds.Grace.Milliseconds()).Send()
	i.health.Set("stop", "stopping")
	close(i.stopping)

	shutdownTime := i.settings.Bounds.Grace - graceReserve
	noticed := min(balancerDelay, i.settings.Bounds.Grace/2)
	i.parts.Engine.SetStop(serving.Stop{End: began.Add(shutdownTime), Late: began.Add(noticed)})

	ctx, cancel := context.WithDeadline(context.Background(), began.Add(shutdownTime))
	defer cancel()

	// Other instances gather their queries themselves from now on.
	handovers := make(chan error, 1)

	go func() { handovers <- i.parts.GathererServer.Stop(ctx) }()

	// Responses from now on close their connection, so that callers connect elsewhere.
	i.idle.CloseIdle()
	time.Sleep(noticed)

	err := errors.Trace(i.idle.Shutdown(ctx))
	if failure := <-handovers; err == nil {
		err = failure
	}

	if err == nil {
		return
	}

	i.log.Warn().Str("event", "stop_incomplete").Str("reason", "requests are still in progress at the end of the grace time").Err(err).Send()
	endRequests()

	ctx, cancel = context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()

	if err := i.idle.Shutdown(ctx); err != nil {
		_ = callers.Close()
	}
}

// serve starts the HTTP servers; admin serves readiness for the balancer, and metrics.
func (i *Instance) serve(requests context.Context) (callers *http.Server, admin []*http.Server, err error) {
	ingress := chi.NewRouter()
	ingress.Use(i.closeWhenStopping)
	ingress.Handle("/*", &platform.Ingress{
		Server: i.parts.Engine, Limits: i.limits, Bodies: i.parts.Budgets.bodies, Log: i.log, Ended: requests,
	})

	metricsHandler := chi.NewRouter()
	metricsHandler.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })

	i.quarantineRoutes(metricsHandler)
	i.memberRoutes(metricsHandler)

	i.idle = &http1.IdleTimer{Heads: i.parts.Budgets.heads, Timeout: func() time.Duration {
		l := i.limits()

		return l.IdleTimeout + l.HeaderTimeout
	}}
	callers = &http.Server{
		Addr: i.settings.CallerAddress, Handler: ingress, ConnState: i.idle.ConnState,
		ReadHeaderTimeout: serverTimeout, IdleTimeout: serverTimeout, MaxHeaderBytes: maxHeaderBytes,
	}

	if err := i.listen(callers, i.idle.Listen); err != nil {
		return nil, nil, err
	}

	for address, h := range map[string]http.Handler{
		i.settings.HealthAddress:  platform.ReadyHandler(i.health.NotReadyReason),
		i.settings.MetricsAddress: metricsHandler,
	} {
		s := &http.Server{
			Addr: address, Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			MaxHeaderBytes: defaultHeaderBytes,
		}
		if err := i.listen(s, func(l net.Listener) net.Listener { return l }); err != nil {
			return nil, nil, err
		}

		admin = append(admin, s)
	}

	return callers, admin, nil
}

// limits returns the limits on callers in force, with defaults where the configuration
// sets none or isn't loaded yet. platform.Ingress has a default for the size of bodies.
func (i *Instance) limits() domain.CallerLimits {
	var l domain.CallerLimits
	if v := i.parts.Directory.View(); v != nil {
		l = v.Table.Limits
	}

	l.HeaderBytes = min(cmp.Or(l.HeaderBytes, defaultHeaderBytes), maxHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)

	return l
}

// closeWhenStopping has responses close their connection during a graceful shutdown.
func (i *Instance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-i.stopping:
			w.Header().Set("Connection", "close")
		default:
		}

		next.ServeHTTP(w, r)
	})
}

// listen serves at the server's address; wrap returns the listener to use.
func (i *Instance) listen(s *http.Server, wrap func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", s.Addr)
	}

	go func() {
		if err := s.Serve(wrap(l)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			i.log.Error().Str("event", "serve_failed").Str("address", s.Addr).Err(err).Send()
		}
	}()

	return nil
}

// viewChanged reports the instance ready once its view is complete, and drops the state
// of searchers that the view doesn't use.
func (i *Instance) viewChanged() {
	if i.parts.Directory.Ready() && (i.evacuationsListed.Load() || i.settings.Bounds.Evacuation == 0) && i.health.NotReadyReason() != "" {
		select {
		case <-i.stopping:
		default:
			i.ready.Do(func() {
				i.health.Set("start", "")
				i.log.Info().Str("event", "ready").Send()
			})
		}
	}

	i.parts.Group.Retain(i.parts.Directory.Usable)
	i.parts.Table.Retain(i.parts.Directory.Usable)
	i.parts.Quota.Retain(i.parts.Directory.Usable)
}

// watchSettings reloads the settings on a signal, and checks them for changes every
// settingsInterval.
func (i *Instance) watchSettings(ctx context.Context, hangup <-chan os.Signal, reload func() (hosting.Settings, error)) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()

	current := i.settings

	for {
		cause := "file"

		select {
		case <-ctx.Done():
			return
		case <-hangup:
			cause = "signal"
		case <-t.C:
		}

		s, err := reload()

		switch {
		case err != nil:
			i.log.Error().Str("event", "reload_refused").Str("cause", cause).Err(err).Send()
		case reflect.DeepEqual(s, current):
			if cause == "signal" {
				i.log.Info().Str("event", "reload").Str("cause", cause).Bool("changed", false).Send()
			}
		default:
			i.apply(current, s, cause)
			current = s
		}
	}
}

// apply puts changed settings in force. The listeners and the store's client keep their
// addresses; changed ones need a restart.
func (i *Instance) apply(from, to hosting.Settings, cause string) {
	i.parts.Engine.SetExtraAttempts(to.Bounds.ExtraAttempts)
	i.parts.ReplicaClient.SetSeeds(to.Peers)
	i.log.Info().Str("event", "reload").Str("cause", cause).Bool("changed", true).
		Bool("restart_needed", from.CallerAddress != to.CallerAddress || from.HealthAddress != to.HealthAddress ||
			from.StoreAddress != to.StoreAddress).Send()
}
