package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/logline"
	"primrosespring.example/primrosed/internal/balancer"
	"primrosespring.example/primrosed/internal/caller"
	"primrosespring.example/primrosed/internal/execute"
	"primrosespring.example/primrosed/internal/operator"
	"primrosespring.example/primrosed/internal/query"
	"primrosespring.example/primrosed/internal/searcher"
	"primrosespring.example/primrosed/internal/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	minStoreWait      = 200 * time.Millisecond
	maxStoreWait      = 10 * time.Second
)

// Instance is an entry instance with all of its parts.
type Instance struct {
	log      zerolog.Logger
	logs     *logline.Writer
	settings settings.Settings
	health   *balancer.Health
	caller   *caller.Handler
	operator *operator.Handler
	watcher  *operator.Watcher
	poller   *query.Poller
	pool     *searcher.Pool
	executor *execute.Executor
	expirer  *execute.Expirer
}

func newInstance(log zerolog.Logger, logs *logline.Writer, s settings.Settings, h *balancer.Health,
	c *caller.Handler, o *operator.Handler, w *operator.Watcher, p *query.Poller, pool *searcher.Pool,
	x *execute.Executor, e *execute.Expirer,
) *Instance {
	return &Instance{
		log: log, logs: logs, settings: s, health: h, caller: c, operator: o, watcher: w, poller: p, pool: pool,
		executor: x, expirer: e,
	}
}

// Run serves until ctx ends and then stops in order: not ready for the
// balancer, open requests finished, background work ended.
func (i *Instance) Run(ctx context.Context) error {
	defer func() { _ = i.logs.Close() }()

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	servers, err := i.serve()
	if err != nil {
		return err
	}

	var wg sync.WaitGroup

	wg.Go(func() { i.poller.Run(background) })
	wg.Go(func() { i.expirer.Run(background) })
	wg.Go(func() { i.watcher.Run(background, i.storeBackoff(background)) })

	i.log.Info().Str("event", "started").Str("caller_address", i.settings.CallerAddress).Send()
	<-ctx.Done()
	i.log.Info().Str("event", "stopping").Send()

	i.health.SetNotReady("stopping")
	time.Sleep(time.Duration(i.settings.Stop.BalancerDelayMS) * time.Millisecond)

	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(i.settings.Stop.MaxWaitMS)*time.Millisecond)
	defer cancel()

	for _, s := range servers {
		if err := s.Shutdown(shutdown); err != nil {
			i.log.Error().Str("event", "stop_incomplete").Err(err).Send()
		}
	}

	if err := i.executor.Close(shutdown); err != nil {
		i.log.Error().Str("event", "stop_incomplete").Err(err).Send()
	}

	stop()
	wg.Wait()
	i.pool.Close()
	i.log.Info().Str("event", "stopped").Send()

	return nil
}

func (i *Instance) serve() ([]*http.Server, error) {
	callers, operators := chi.NewRouter(), chi.NewRouter()
	path, h := primrosespringv1connect.NewSearchServiceHandler(i.caller)
	callers.Mount(path, h)

	path, h = primrosespringv1connect.NewAdminServiceHandler(i.operator)
	operators.Mount(path, h)

	var servers []*http.Server

	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{i.settings.CallerAddress, callers},
		{i.settings.OperatorAddress, operators},
		{i.settings.HealthAddress, i.health.Handler()},
		{i.settings.DebugAddress, debugHandler()},
	} {
		s, err := i.listen(l.address, l.handler)
		if err != nil {
			return nil, err
		}

		servers = append(servers, s)
	}

	return servers, nil
}

func (i *Instance) listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	s := &http.Server{Handler: h, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}

	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "serve_failed").Str("address", address).Err(err).Send()
		}
	}()

	return s, nil
}

// storeBackoff returns a function that waits longer after each failure in a
// row, with full jitter.
func (i *Instance) storeBackoff(ctx context.Context) func(error) {
	wait := minStoreWait

	return func(err error) {
		i.log.Warn().Str("event", "store_failed").Err(err).Send()

		select {
		case <-ctx.Done():
		case <-time.After(rand.N(wait)):
		}

		wait = min(2*wait, maxStoreWait)
	}
}

func debugHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)

	return r
}
