package server

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/logline"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
	"primrosespring.example/primrosed/internal/balancer"
	"primrosespring.example/primrosed/internal/caller"
	"primrosespring.example/primrosed/internal/execute"
	"primrosespring.example/primrosed/internal/operator"
	"primrosespring.example/primrosed/internal/platform"
	"primrosespring.example/primrosed/internal/query"
	"primrosespring.example/primrosed/internal/searcher"
	"primrosespring.example/primrosed/internal/settings"
)

// provide registers the constructors of an instance's parts.
func provide(c *dig.Container, s settings.Settings, logOut io.Writer) error {
	constructors := []any{
		func() settings.Settings { return s },
		func() *logline.Writer { return logline.New(logOut) },
		newLogger,
		func() *configuration.Holder { return &configuration.Holder{} },
		func() *routing.Table { return &routing.Table{Random: rand.Uint64} },
		func() *snapshot.Table { return &snapshot.Table{} },
		func() *searcher.Pool { return &searcher.Pool{} },
		func() *balancer.Health { return &balancer.Health{} },
		func() *platform.Client {
			return platform.NewClientWithOptions(platform.Options{Address: s.PlatformAddress, Jitter: jitter})
		},
		newRunner,
		newPoller,
		newExecutor,
		newExpirer,
		newCallerHandler,
		newOperatorHandler,
		operator.NewWatcher,
		newInstance,
	}

	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return err
		}
	}

	return nil
}

func newLogger(w *logline.Writer, s settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.Logger{}, err
	}

	return w.Logger().Level(level).With().Str("instance", s.ID).Logger(), nil
}

func newRunner(log zerolog.Logger, s settings.Settings, h *configuration.Holder, p *searcher.Pool,
	rt *routing.Table, st *snapshot.Table,
) *query.Runner {
	r := query.NewRunner(log, s.Instance(), p, rt, st, s.Log.Routing)
	r.Current = h.Configuration

	return r
}

func newPoller(log zerolog.Logger, p *searcher.Pool, h *configuration.Holder, st *snapshot.Table, rt *routing.Table) *query.Poller {
	return query.NewPoller(log, p, h, st, rt)
}

func newExecutor(log zerolog.Logger, s settings.Settings, c *platform.Client, p *searcher.Pool, rt *routing.Table, st *snapshot.Table) *execute.Executor {
	return execute.New(execute.Options{
		Log: log, Instance: s.Instance(), Store: c, Searchers: p, Router: rt, Snapshots: st, Jitter: jitter,
	})
}

func newExpirer(log zerolog.Logger, s settings.Settings, c *platform.Client) *execute.Expirer {
	return execute.NewExpirer(log, s.Instance(), c, jitter)
}

// jitter returns a random duration from zero up to limit.
func jitter(limit time.Duration) time.Duration { return rand.N(limit + 1) }

func newCallerHandler(h *configuration.Holder, r *query.Runner, x *execute.Executor) *caller.Handler {
	return caller.NewHandler(h, r, x)
}

func newOperatorHandler(log zerolog.Logger, s settings.Settings, h *configuration.Holder, p *platform.Client,
	r *query.Runner,
) *operator.Handler {
	return operator.NewHandler(log, s.Instance(), h, operator.NewStoreChanger(p, h), soloFleet{s.Instance(), h}, r)
}

// soloFleet is the fleet of an instance that knows no other.
type soloFleet struct {
	instance domain.Instance
	holder   *configuration.Holder
}

// Instances implements operator.Fleet.
func (f soloFleet) Instances() []operator.InstanceStatus {
	return []operator.InstanceStatus{{
		Instance: f.instance, State: "alive", ConfigurationVersion: f.holder.Configuration().Version,
	}}
}

// StoreAvailable implements operator.Fleet.
func (f soloFleet) StoreAvailable() bool { return true }
