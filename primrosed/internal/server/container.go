package server

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/logline"
	"primrosespring.example/internal/membership"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
	"primrosespring.example/primrosed/internal/balancer"
	"primrosespring.example/primrosed/internal/caller"
	"primrosespring.example/primrosed/internal/execute"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/operator"
	"primrosespring.example/primrosed/internal/peer"
	"primrosespring.example/primrosed/internal/platform"
	"primrosespring.example/primrosed/internal/query"
	"primrosespring.example/primrosed/internal/searcher"
	"primrosespring.example/primrosed/internal/settings"
)

// shareDelay is how long after an instance joins all others know it: a change of the members
// takes a heartbeat interval from one instance to the next.
const shareDelay = 5 * time.Second

// frameMemory bounds the frames of other instances that are being read: eight of the largest.
const frameMemory = 8 * frame.MaxRelayBytes

// provide registers the constructors of an instance's parts.
func provide(c *dig.Container, s settings.Settings, logOut io.Writer) error {
	constructors := []any{
		func() settings.Settings { return s },
		func() *logline.Writer { return logline.New(logOut) },
		newLogger,
		func() *configuration.Keeper { return &configuration.Keeper{} },
		func(s settings.Settings) *quota.Table { return quota.New(time.Now(), s.ID, rand.Uint64(), shareDelay) },
		func(q *quota.Table) *routing.Table { return &routing.Table{Random: rand.Uint64, Quota: q} },
		func(log zerolog.Logger, rt *routing.Table, q *quota.Table) *searcher.Signs {
			return &searcher.Signs{Log: log, Routing: rt, Quota: q}
		},
		func() *snapshot.Table { return &snapshot.Table{} },
		func(sg *searcher.Signs) *searcher.Pool { return &searcher.Pool{Signs: sg} },
		func() *balancer.Health { return &balancer.Health{} },
		newTable,
		func(t *membership.Table) fleetView { return fleetView{table: t} },
		func(f fleetView) *platform.Client {
			return platform.NewClientWithOptions(platform.Options{Address: s.PlatformAddress, Jitter: jitter, Fleet: f})
		},
		newRunner,
		newPoller,
		newExecutor,
		newExpirer,
		newMesh,
		newPlacement,
		peer.NewOwners,
		newRelay,
		newCallerHandler,
		newOperatorHandler,
		newWatcher,
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

func newRunner(log zerolog.Logger, s settings.Settings, k *configuration.Keeper, p *searcher.Pool,
	rt *routing.Table, st *snapshot.Table,
) *query.Runner {
	r := query.NewRunner(log, s.Instance(), p, rt, st, s.Log.Routing)
	r.Current = k.Configuration

	return r
}

func newPoller(log zerolog.Logger, p *searcher.Pool, k *configuration.Keeper, st *snapshot.Table, rt *routing.Table,
	pl *peer.Placement, r *query.Runner,
) *query.Poller {
	return query.NewPoller(log, p, k, st, rt, pl, r.Answers)
}

func newExecutor(log zerolog.Logger, s settings.Settings, c *platform.Client, p *searcher.Pool, rt *routing.Table,
	st *snapshot.Table, o *peer.Owners,
) *execute.Executor {
	return execute.New(execute.Options{
		Log: log, Instance: s.Instance(), Store: c, Searchers: p, Router: rt, Snapshots: st, Jitter: jitter,
		Forwarder: forwarder{o},
	})
}

func newExpirer(log zerolog.Logger, s settings.Settings, c *platform.Client) *execute.Expirer {
	return execute.NewExpirer(log, s.Instance(), c, jitter)
}

// jitter returns a random duration from zero up to limit.
func jitter(limit time.Duration) time.Duration { return rand.N(limit + 1) }

// newTable returns the membership table. Its first incarnation is the start time,
// so that a new process supersedes an earlier one with the same id; if the clock
// went back, the first contact with a peer corrects it.
func newTable(s settings.Settings) *membership.Table {
	return membership.New(s.Instance(), uint64(time.Now().UnixMilli()), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

func newMesh(log zerolog.Logger, s settings.Settings, t *membership.Table, k *configuration.Keeper, c *platform.Client,
	rt *routing.Table, q *quota.Table, sg *searcher.Signs,
) *peer.Mesh {
	return peer.NewMesh(peer.Options{
		Log: log, Table: t, Keeper: k, Seeds: s.Seeds, Lister: c, Frames: &memory.Budget{Max: frameMemory}, SetLeaving: rt.SetLeaving, Quota: q, OnLimits: sg.LimitsLearned,
		Jitter: jitter,
	})
}

func newPlacement(log zerolog.Logger, t *membership.Table) *peer.Placement {
	return peer.NewPlacement(log, t)
}

func newRelay(log zerolog.Logger, m *peer.Mesh, p *peer.Placement, r *query.Runner, x *execute.Executor) *peer.Relay {
	return peer.NewRelay(log, m, p, r, x)
}

func newCallerHandler(k *configuration.Keeper, r *peer.Relay) *caller.Handler {
	return caller.NewHandler(k, r, r)
}

func newWatcher(log zerolog.Logger, c *platform.Client, k *configuration.Keeper, m *peer.Mesh) *operator.Watcher {
	return operator.NewWatcher(log, c, k, m, jitter)
}

func newOperatorHandler(log zerolog.Logger, s settings.Settings, k *configuration.Keeper, p *platform.Client,
	f fleetView, q *query.Runner, r *peer.Relay,
) *operator.Handler {
	f.keeper, f.client = k, p

	return operator.NewHandler(log, s.Instance(), k, operator.NewStoreChanger(p, k), f, explainer{q, r})
}

// fleetView gives other packages a view of the membership table and the store.
type fleetView struct {
	table *membership.Table
	// keeper and client are set only for the operators' API: the client itself is
	// created with a fleetView.
	keeper *configuration.Keeper
	client *platform.Client
}

// LiveInstances implements platform.Fleet.
func (f fleetView) LiveInstances() int { return f.table.View().Live.Len() }

// Instances implements operator.Fleet.
func (f fleetView) Instances() []operator.InstanceStatus {
	records := f.table.Records()
	out := make([]operator.InstanceStatus, len(records))

	for i, r := range records {
		out[i] = operator.InstanceStatus{
			Instance: r.Instance, State: r.State.String(), ConfigurationVersion: r.ConfigurationVersion,
		}

		if r.Instance.ID == f.table.Self().Instance.ID {
			out[i].ConfigurationVersion = f.keeper.Configuration().Version
		}
	}

	return out
}

// StoreAvailable implements operator.Fleet.
func (f fleetView) StoreAvailable() bool { return f.client.Available() }

// forwarder adapts peer.Owners to execute.Forwarder.
type forwarder struct{ owners *peer.Owners }

// Owner implements execute.Forwarder.
func (f forwarder) Owner(bucket claims.BucketID) (bool, execute.ForwardFunc) {
	self, forward := f.owners.Owner(bucket)

	return self, forward
}

// explainer adds the holders and the relay to the runner's explanation.
type explainer struct {
	runner *query.Runner
	relay  *peer.Relay
}

// Explain implements operator.Explainer.
func (x explainer) Explain(cfg *domain.Configuration, service *domain.Service) *pb.ExplainResponse {
	e := x.runner.Explain(cfg, service)
	e.Holders = nil
	x.relay.Explain(cfg, service.Name, e)

	return e
}
