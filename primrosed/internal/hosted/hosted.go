// Package hosted builds an entry instance that runs on the users' platform and
// runs it until it is told to stop. The adapters come from module platform; the
// decisions and the state are the product's.
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
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/logline"
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
	// gcPercent trades processor time for memory: the live heap is a few MB, and
	// hosts of entry instances are small.
	gcPercent = 50
	// memoryShare is the part of the memory limit that the runtime keeps to.
	memoryShare = 0.7
	// balancerDelay is how long an instance goes on taking connections after it
	// says that it isn't ready: the balancer asks each second and needs two
	// misses.
	balancerDelay = 2500 * time.Millisecond
	// graceReserve is kept of the grace time for the final answers and the end of
	// the process, on a machine with a fifth of a core.
	graceReserve = 1200 * time.Millisecond
	// lastAnswers is how long callers are given to take the final answers.
	lastAnswers = 400 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout bound callers
	// where the configuration doesn't.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// longestWait is the HTTP server's own timeout for callers, which can't change
	// while it runs. The configured timeouts are lower; http1.IdleTimer keeps them.
	longestWait = time.Hour
	// reportAge is how long a reported queue length counts. An instance
	// hears from each a few times a second, since several instances share it.
	reportAge        = 100 * time.Millisecond
	settingsInterval = 2 * time.Second
	// handoversPerCore bounds the queries that an instance gathers for others at a
	// time, for each core of its processor share. A query over a hundred shards
	// takes some 10 ms of a core, so that more would wait for the processor longer
	// than a latency objective of 100 ms allows.
	handoversPerCore = 40
)

// Instance is a hosted entry instance.
type Instance struct {
	log      zerolog.Logger
	logs     *logline.Writer
	settings hosting.Settings
	parts    parts
	health   balancer.Health
	// stopping is closed when a planned stop begins.
	stopping chan struct{}
	fleet    fleet
	// copies gives copies of the store's collections to other instances.
	copies replica.Server
}

// suspicions holds at most one suspicion that the list of searchers is out of date.
type suspicions chan struct{}

// raise adds a suspicion unless there is one.
func (d suspicions) raise() {
	select {
	case d <- struct{}{}:
	default:
	}
}

// parts are what an instance runs, for the container to fill in.
type parts struct {
	dig.In

	Directory *directory.Directory
	Table     *routing.Table
	Group     *http1.Group
	Engine    *serving.Engine
	Store     *platform.Store
	Roster    *roster.Roster
	Gatherers *gatherer.Client
	Gatherer  *gatherer.Server
	Replicas  *replica.Client
	Followers *followers
	Shares    *shares
}

// Provide registers the constructors of an instance's parts.
func Provide(c *dig.Container, s hosting.Settings, logOut io.Writer) error {
	for _, f := range []any{
		func() hosting.Settings { return s },
		func() *logline.Writer { return logline.New(logOut) },
		func(w *logline.Writer) zerolog.Logger { return w.Logger() },
		func() *directory.Directory { return &directory.Directory{} },
		func() *routing.Table { return &routing.Table{Random: rand.Uint64, MaxReportAge: reportAge} },
		func() *http1.Group { return &http1.Group{} },
		func(log zerolog.Logger, s hosting.Settings) *platform.Store {
			return platform.NewStore(log, s.StoreAddress)
		},
		func() suspicions { return make(suspicions, 1) },
		newShares,
		newRoster,
		newSearchers,
		newGatherers,
		newEngine,
		newGatherer,
		newReplicas,
		newFollowers,
		newInstance,
	} {
		if err := c.Provide(f); err != nil {
			return errors.Annotate(err, "build the instance")
		}
	}

	return nil
}

// newSearchers divides each searcher's connections among the instances.
func newSearchers(g *http1.Group, sh *shares) *platform.Searchers {
	return &platform.Searchers{Group: g, Limit: func(sr *domain.Searcher) http1.Limit { return connectionLimit(sr, sh.get()) }}
}

func newRoster(log zerolog.Logger, s hosting.Settings, st *platform.Store) *roster.Roster {
	return roster.New(log, st, roster.Entry{
		ID: s.Instance.ID, FailureDomain: s.Instance.FailureDomain, Started: time.Now().UnixMilli(),
		PeerAddress: s.Instance.PeerAddress, Cores: s.Cores, LinkMbps: s.LinkMbps,
	})
}

func newGatherers(log zerolog.Logger, s hosting.Settings) *gatherer.Client {
	return gatherer.NewClient(log, s.Instance.ID, http1.DialTCP)
}

func newGatherer(log zerolog.Logger, s hosting.Settings, e *serving.Engine) *gatherer.Server {
	return gatherer.NewServer(log, s.Instance.ID, e, max(int(handoversPerCore*s.Cores), 1))
}

func newEngine(log zerolog.Logger, s hosting.Settings, d *directory.Directory, sr *platform.Searchers, t *routing.Table,
	g *gatherer.Client, ds suspicions,
) *serving.Engine {
	return serving.New(log, serving.Settings{
		Instance: s.Instance, Cores: s.Cores, ExtraAttempts: s.Bounds.ExtraAttempts, LogPlacement: true, OnStaleList: ds.raise, Gatherers: g,
	}, d, sr, t)
}

func newInstance(log zerolog.Logger, logs *logline.Writer, s hosting.Settings, p parts) *Instance {
	i := &Instance{log: log, logs: logs, settings: s, parts: p, stopping: make(chan struct{})}
	p.Roster.OnChange = i.setFleet
	p.Roster.Peers = replica.Peers[roster.Entry]{Client: p.Replicas, Collection: replica.Instances}
	i.copies = replica.Server{Log: log, Collections: i.collections(), Callers: p.Replicas}
	p.Followers.configuration.Sink = configurationSink{i}
	p.Followers.registrations.Sink = registrationSink{i}

	return i
}

// Run serves until ctx ends and then stops in order: not ready for the
// balancer, new connections still served until it has noticed, open requests
// finished, connections closed. reload reads the settings again.
func (i *Instance) Run(ctx context.Context, hangup <-chan os.Signal, reload func() (hosting.Settings, error)) error {
	defer func() { _ = i.logs.Close() }()

	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(i.settings.MemoryBytes)))
	i.health.Set("start", "no configuration or no list of searchers yet")

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	requests, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()

	callers, state, err := i.serve(requests)
	if err != nil {
		return err
	}

	peers, err := net.Listen("tcp", i.settings.Instance.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", i.settings.Instance.PeerAddress)
	}

	sessions := mux.NewServer(i.log, i.servePeer)
	metrics.NewGauge("primrose_peer_sessions", func() float64 { return float64(sessions.Sessions()) })

	var wg sync.WaitGroup

	wg.Go(func() { i.parts.Followers.configuration.Run(background) })
	wg.Go(func() { i.parts.Roster.Run(background) })
	wg.Go(func() { i.parts.Followers.registrations.Run(background) })
	wg.Go(func() { i.watchSettings(background, hangup, reload) })
	wg.Go(func() { i.servePeers(requests, sessions, peers) })

	i.log.Info().Str("event", "started").Str("instance", i.settings.Instance.ID).
		Str("caller_address", i.settings.CallerAddress).Str("failure_domain", i.settings.Instance.FailureDomain).Send()
	<-ctx.Done()
	i.stop(callers, endRequests) //nolint:contextcheck // ctx has ended; the stop has the grace time.
	stop()
	_ = peers.Close()
	sessions.Close()
	i.parts.Gatherers.Close() //nolint:contextcheck // An empty plan connects to nobody.
	wg.Wait()

	for _, s := range state {
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

	last := i.settings.Bounds.Grace - graceReserve

	ctx, cancel := context.WithDeadline(context.Background(), began.Add(last))
	defer cancel()

	// Other instances gather their queries themselves from now on.
	others := make(chan error, 1)

	go func() { others <- i.parts.Gatherer.Stop(ctx) }()

	// Answers from now on ask callers to open their next connection elsewhere.
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(min(balancerDelay, i.settings.Bounds.Grace/2))

	err := errors.Trace(callers.Shutdown(ctx))
	if failure := <-others; err == nil {
		err = failure
	}

	if err == nil {
		return
	}

	i.log.Warn().Str("event", "stop_incomplete").Str("reason", "requests are still open at the end of the grace time").Err(err).Send()
	endRequests()

	ctx, cancel = context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()

	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
	}
}

// serve opens the listeners; state serves the balancer and metrics.
func (i *Instance) serve(requests context.Context) (callers *http.Server, state []*http.Server, err error) {
	ingress := chi.NewRouter()
	ingress.Handle("/*", &platform.Ingress{
		Server: i.parts.Engine, Limits: i.limits, Ended: requests,
	})

	metricsHandler := chi.NewRouter()
	metricsHandler.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })

	waits := &http1.IdleTimer{Timeout: func() time.Duration {
		l := i.limits()

		return l.IdleTimeout + l.HeaderTimeout
	}}
	callers = &http.Server{
		Addr: i.settings.CallerAddress, Handler: ingress, ConnState: waits.ConnState,
		ReadHeaderTimeout: longestWait, IdleTimeout: longestWait,
	}

	if err := i.listen(callers); err != nil {
		return nil, nil, err
	}

	for address, h := range map[string]http.Handler{
		i.settings.HealthAddress:  platform.ReadyHandler(i.health.NotReady),
		i.settings.MetricsAddress: metricsHandler,
	} {
		s := &http.Server{
			Addr: address, Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			MaxHeaderBytes: defaultHeaderBytes,
		}
		if err := i.listen(s); err != nil {
			return nil, nil, err
		}

		state = append(state, s)
	}

	return callers, state, nil
}

// limits returns the limits on callers in force, with a default for each that the
// configuration leaves open or that isn't known yet. Bodies have none.
func (i *Instance) limits() domain.CallerLimits {
	var l domain.CallerLimits
	if v := i.parts.Directory.View(); v != nil {
		l = v.Table.Limits
	}

	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)

	return l
}

func (i *Instance) listen(s *http.Server) error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", s.Addr)
	}

	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "serve_failed").Str("address", s.Addr).Err(err).Send()
		}
	}()

	return nil
}

// changed takes note of a new view.
func (i *Instance) changed() {
	if i.parts.Directory.Ready() && i.health.NotReady() != "" {
		select {
		case <-i.stopping:
		default:
			i.health.Set("start", "")
			i.log.Info().Str("event", "ready").Send()
		}
	}

	i.parts.Group.Retain(i.parts.Directory.Usable)
	i.parts.Table.Retain(i.parts.Directory.Usable)
}

// watchSettings reloads the settings on a signal, and when they have changed
// without one.
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

// apply takes changed settings. Addresses are bound once and need a restart.
func (i *Instance) apply(from, to hosting.Settings, cause string) {
	i.parts.Engine.SetExtraAttempts(to.Bounds.ExtraAttempts)
	i.parts.Replicas.SetSeeds(to.Peers)
	i.log.Info().Str("event", "reload").Str("cause", cause).Bool("changed", true).
		Bool("restart_needed", from.CallerAddress != to.CallerAddress || from.HealthAddress != to.HealthAddress ||
			from.StoreAddress != to.StoreAddress).Send()
}
