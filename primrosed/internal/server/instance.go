package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/logline"
	"primrosespring.example/internal/membership"
	"primrosespring.example/internal/memory"
	"primrosespring.example/primrosed/internal/balancer"
	"primrosespring.example/primrosed/internal/caller"
	"primrosespring.example/primrosed/internal/execute"
	"primrosespring.example/primrosed/internal/operator"
	"primrosespring.example/primrosed/internal/peer"
	"primrosespring.example/primrosed/internal/platform"
	"primrosespring.example/primrosed/internal/query"
	"primrosespring.example/primrosed/internal/rpc"
	"primrosespring.example/primrosed/internal/searcher"
	"primrosespring.example/primrosed/internal/settings"
)

const (
	// maxCallerBytes and maxOperatorBytes bound the body of a request; an
	// operator's holds a whole service, and the store accepts up to one megabyte.
	maxCallerBytes   = 256 << 10
	maxOperatorBytes = 2 << 20
	// bodyMemory bounds the bodies of all requests together, and maxHeaderBytes the headers
	// of each.
	bodyMemory        = 256 << 20
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	// statusShutdownTimeout bounds the shutdown of the health and debug servers.
	statusShutdownTimeout = time.Second
)

// Instance is an entry instance with all of its parts.
type Instance struct {
	log      zerolog.Logger
	logs     *logline.Writer
	settings settings.Settings
	health   *balancer.Health
	parts    parts
	// stopping is closed when the graceful shutdown begins.
	stopping chan struct{}
}

// parts are what an instance runs; the container fills them in.
type parts struct {
	dig.In

	Keeper   *configuration.Keeper
	Caller   *caller.Handler
	Operator *operator.Handler
	Watcher  *operator.Watcher
	Poller   *query.Poller
	Runner   *query.Runner
	Pool     *searcher.Pool
	Executor *execute.Executor
	Expirer  *execute.Expirer
	Mesh     *peer.Mesh
	Table    *membership.Table
	Client   *platform.Client
}

func newInstance(log zerolog.Logger, logs *logline.Writer, s settings.Settings, h *balancer.Health, p parts) *Instance {
	p.Mesh.SetHandlers(p.Runner, p.Executor)

	return &Instance{log: log, logs: logs, settings: s, health: h, parts: p, stopping: make(chan struct{})}
}

// Run serves until ctx ends and then shuts down gracefully: it reports not ready
// to the balancer, tells the peers that it is leaving, waits until requests in
// progress have finished, relayed ones included, and the outcomes of non-repeatable
// ones are stored, releases the claim-expiry lease if it has it, and closes the
// sessions. No request is interrupted within the limit of the settings.
func (i *Instance) Run(ctx context.Context) error {
	defer func() { _ = i.logs.Close() }()

	i.health.Set("start", "no configuration from the store or a peer yet")

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	if err := i.parts.Mesh.Listen(ctx, i.settings.PeerBindAddress()); err != nil {
		return err
	}

	servers, err := i.startServers()
	if err != nil {
		return err
	}

	var wg sync.WaitGroup

	wg.Go(func() { i.parts.Mesh.Run(background) })
	wg.Go(func() { i.parts.Poller.Run(background) })
	wg.Go(func() { i.parts.Expirer.Run(background) })
	wg.Go(func() { i.parts.Watcher.Run(background) })
	wg.Go(func() { i.awaitReady(background) })

	i.log.Info().Str("event", "started").Str("caller_address", i.settings.CallerAddress).Send()
	<-ctx.Done()
	i.drain(background, servers)

	stop()
	wg.Wait()

	statusCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusShutdownTimeout)
	defer cancel()

	servers.shutdown(statusCtx, i.log, servers.status)
	i.parts.Pool.Close()
	i.parts.Client.Close()
	i.log.Info().Str("event", "stopped").Send()

	return nil
}

// awaitReady makes the instance ready once it has a configuration and has polled
// the searchers for the snapshots that they hold.
func (i *Instance) awaitReady(ctx context.Context) {
	if !i.awaitConfiguration(ctx) {
		return
	}

	i.health.Set("start", "the searchers haven't been asked for their snapshots yet")

	select {
	case <-ctx.Done():
	case <-i.parts.Poller.Polled():
		i.health.Set("start", "")
		i.parts.Mesh.SetReady()
		i.log.Info().Str("event", "ready").Send()
	}
}

// awaitConfiguration waits for a configuration; it returns false if ctx ends first.
func (i *Instance) awaitConfiguration(ctx context.Context) bool {
	for {
		changed := i.parts.Keeper.Changed()

		if i.parts.Keeper.Loaded() {
			i.log.Info().Str("event", "configuration_loaded").Uint64("version", i.parts.Keeper.Configuration().Version).Send()

			return true
		}

		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// drain announces the shutdown and waits until the last request has finished.
func (i *Instance) drain(ctx context.Context, servers *servers) {
	i.log.Info().Str("event", "stopping").Send()
	i.health.Set("server", "stopping")
	close(i.stopping)
	i.parts.Mesh.Leave()

	// The balancer and the callers learn that the instance isn't ready while it
	// still accepts requests.
	delay := time.NewTimer(time.Duration(i.settings.Stop.BalancerDelayMS) * time.Millisecond)
	defer delay.Stop()

	<-delay.C

	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.settings.Stop.MaxWaitMS)*time.Millisecond)
	defer cancel()

	servers.shutdown(ctx, i.log, servers.requests)

	if err := i.parts.Mesh.Drain(ctx); err != nil {
		i.log.Error().Str("event", "stop_incomplete").Err(err).Send()
	}

	if err := i.parts.Executor.Close(ctx); err != nil {
		i.log.Error().Str("event", "stop_incomplete").Err(err).Send()
	}
}

// servers are the HTTP servers of an instance. Those for requests shut down
// first, and those for health checks and debugging last.
type servers struct {
	requests []*http.Server
	status   []*http.Server
}

// shutdown shuts the servers in list down, and closes those that don't finish
// before ctx ends.
func (s *servers) shutdown(ctx context.Context, log zerolog.Logger, list []*http.Server) {
	var wg sync.WaitGroup

	for _, h := range list {
		wg.Go(func() {
			if err := h.Shutdown(ctx); err != nil {
				log.Error().Str("event", "stop_incomplete").Str("address", h.Addr).Err(err).Send()

				_ = h.Close()
			}
		})
	}

	wg.Wait()
}

func (i *Instance) startServers() (*servers, error) {
	callers, operators := chi.NewRouter(), chi.NewRouter()
	callers.Use(i.closeWhenStopping)
	operators.Use(i.closeWhenStopping, i.endWatchesWhenStopping)

	bodies := &memory.Budget{Max: bodyMemory}
	path, h := primrosespringv1connect.NewSearchServiceHandler(i.parts.Caller, rpc.Options(maxCallerBytes))
	callers.Mount(path, rpc.LimitBody(maxCallerBytes, bodies, h))

	path, h = primrosespringv1connect.NewAdminServiceHandler(i.parts.Operator, rpc.Options(maxOperatorBytes))
	operators.Mount(path, rpc.LimitBody(maxOperatorBytes, bodies, h))

	out := &servers{}

	for _, l := range []struct {
		address string
		handler http.Handler
		list    *[]*http.Server
	}{
		{i.settings.CallerAddress, callers, &out.requests},
		{i.settings.OperatorAddress, operators, &out.requests},
		{i.settings.HealthAddress, i.health.Handler(), &out.status},
		{i.settings.DebugAddress, debugHandler(), &out.status},
	} {
		s, err := i.listenAndServe(l.address, l.handler)
		if err != nil {
			return nil, err
		}

		*l.list = append(*l.list, s)
	}

	return out, nil
}

// closeWhenStopping asks HTTP/1 clients to close their connections during the
// shutdown, so that the next ones go to other instances. HTTP/2 has GOAWAY for
// this.
func (i *Instance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-i.stopping:
			if r.ProtoMajor == 1 {
				w.Header().Set("Connection", "close")
			}
		default:
		}

		next.ServeHTTP(w, r)
	})
}

// endWatchesWhenStopping ends operators' watches at the shutdown, since they don't
// end by themselves.
func (i *Instance) endWatchesWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != primrosespringv1connect.AdminServiceWatchConfigurationProcedure {
			next.ServeHTTP(w, r)

			return
		}

		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()

		done := make(chan struct{})
		defer close(done)

		go func() {
			select {
			case <-i.stopping:
				cancel()
			case <-done:
			}
		}()

		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (i *Instance) listenAndServe(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	s := &http.Server{Addr: address, Handler: h, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}

	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "serve_failed").Str("address", address).Err(err).Send()
		}
	}()

	return s, nil
}

func debugHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)

	return r
}
