package query

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
	"primrosespring.example/internal/snapshot"
	"primrosespring.example/primrosed/internal/searcher"
)

const (
	// checkInterval is how often Run checks which searchers are due for a poll.
	checkInterval = 250 * time.Millisecond
	// pollInterval is the time between two polls of a searcher that doesn't
	// answer requests, so that its drain is noticed well within 3 s.
	pollInterval = time.Second
	pollTimeout  = 400 * time.Millisecond
)

// StatusSource asks a searcher for its status.
type StatusSource interface {
	Status(ctx context.Context, sr *domain.Searcher) (*pb.GetStatusResponse, error)
}

// Configurer is implemented by a StatusSource that follows the configuration in
// force. holders returns how many instances hold the connections of a service,
// and 0 if this one doesn't.
type Configurer interface {
	Configure(c *domain.Configuration, holders func(service string) int)
}

// HolderCounter counts the instances that hold the connections of a service.
type HolderCounter interface {
	// HolderCount returns how many instances hold the connections of a service, and
	// 0 if this one doesn't.
	HolderCount(c *domain.Configuration, service string) int
}

// Poller asks the searchers of every service that this instance holds for their
// held snapshots, health and load.
type Poller struct {
	log       zerolog.Logger
	source    StatusSource
	keeper    *configuration.Keeper
	snapshots *snapshot.Table
	routing   *routing.Table
	placement HolderCounter
	answers   *Answers
	// polled is closed after the first round of polls of a loaded configuration.
	polled chan struct{}
	once   sync.Once
	// targets are the searchers to poll, by id. They were set for the
	// configuration version and the holders of each service below.
	version uint64
	holders map[string]int
	targets map[string]*target
}

// target is one searcher with the shards that it serves.
type target struct {
	searcher *domain.Searcher
	shards   []servedShard
	// polled is when the last poll began; heldVersion is the version of the held
	// snapshots that it returned.
	polled      time.Time
	heldVersion uint64
}

type servedShard struct {
	service string
	shard   uint32
}

// NewPoller returns a poller that isn't running.
func NewPoller(log zerolog.Logger, source StatusSource, keeper *configuration.Keeper,
	snapshots *snapshot.Table, rt *routing.Table, placement HolderCounter, answers *Answers,
) *Poller {
	return &Poller{
		log: log, source: source, keeper: keeper, snapshots: snapshots, routing: rt, placement: placement, answers: answers,
		polled: make(chan struct{}),
	}
}

// Polled returns a channel that is closed once every searcher of a loaded
// configuration has been polled: before that no query can be answered, as no
// snapshot is known.
func (p *Poller) Polled() <-chan struct{} { return p.polled }

// Run polls until ctx ends. After a change of the configuration it polls new and
// changed searchers at once.
func (p *Poller) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()

	for {
		changed := p.keeper.Changed()
		loaded := p.keeper.Loaded()
		p.configure(p.keeper.Configuration())
		p.pollDue(ctx)

		if loaded {
			p.once.Do(func() { close(p.polled) })
		}

		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

func (p *Poller) configure(c *domain.Configuration) {
	holders := make(map[string]int, len(c.Services))
	for _, svc := range c.Services {
		holders[svc.Name] = p.placement.HolderCount(c, svc.Name)
	}

	if p.targets != nil && c.Version == p.version && maps.Equal(holders, p.holders) {
		return
	}

	p.version, p.holders = c.Version, holders
	previous := p.targets
	p.targets = make(map[string]*target)

	for _, svc := range c.Services {
		if holders[svc.Name] == 0 {
			continue
		}

		for _, sh := range svc.PartitionMap.Shards {
			for i := range sh.Searchers {
				sr := &sh.Searchers[i]

				t, ok := p.targets[sr.ID]
				if !ok {
					t = &target{searcher: sr}
					p.targets[sr.ID] = t
				}

				t.shards = append(t.shards, servedShard{svc.Name, sh.Number})
			}
		}
	}

	// An unchanged searcher keeps the time of its last poll: polling all of them at
	// each change of the configuration would cause a burst at every instance.
	for id, t := range p.targets {
		if old := previous[id]; old != nil && old.searcher.Address == t.searcher.Address && slices.Equal(old.shards, t.shards) {
			t.polled, t.heldVersion = old.polled, old.heldVersion
		}
	}

	p.answers.retain(p.targets)
	p.snapshots.Retain(c)
	p.routing.Configure(c)

	if s, ok := p.source.(Configurer); ok {
		s.Configure(c, func(service string) int { return holders[service] })
	}
}

// pollDue polls the searchers that are due, all at once, and waits for them.
func (p *Poller) pollDue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	var wg sync.WaitGroup

	for _, t := range p.targets {
		if !p.due(t, time.Now()) {
			continue
		}

		t.polled = time.Now()

		wg.Go(func() { p.poll(ctx, t) })
	}

	wg.Wait()
	p.snapshots.MarkPolled(p.version)
	p.routing.UpdateHealth()
}

// due reports whether to poll a searcher. Its answers carry its load and the
// version of its held snapshots, so that one that answers requests is polled
// only when that version changes.
func (p *Poller) due(t *target, now time.Time) bool {
	if t.polled.IsZero() {
		return true
	}

	a := p.answers.get(t.searcher.ID)
	if a.heldVersion != 0 && a.at.After(t.polled) {
		if a.heldVersion != t.heldVersion {
			return true
		}

		if now.Sub(a.at) < pollInterval {
			return false
		}
	}

	return now.Sub(t.polled) >= pollInterval
}

func (p *Poller) poll(ctx context.Context, t *target) {
	st, err := p.source.Status(ctx, t.searcher)
	if err != nil {
		p.log.Debug().Str("event", "status_failed").Str("searcher", t.searcher.ID).Err(err).Send()
		p.routing.SetUnreachable(t.searcher.ID)

		return
	}

	p.routing.SetStatus(time.Now(), t.searcher.ID, st.GetHealthy(), searcher.LoadOf(st.GetLoad()))

	t.heldVersion = st.GetLoad().GetHeldVersion()
	held := make(map[servedShard][]domain.Snapshot)

	for _, h := range st.GetHeld() {
		k := servedShard{h.GetService(), h.GetShard()}
		held[k] = append(held[k], domain.Snapshot{
			IndexVersion:        h.GetSnapshot().GetIndexVersion(),
			PartitionMapVersion: h.GetSnapshot().GetPartitionMapVersion(),
		})
	}

	for _, k := range t.shards {
		p.snapshots.Report(k.service, k.shard, t.searcher.ID, held[k])
	}
}
