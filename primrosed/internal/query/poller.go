package query

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/snapshot"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
)

// StatusSource asks a searcher for its status.
type StatusSource interface {
	Status(ctx context.Context, sr *domain.Searcher) (*pb.GetStatusResponse, error)
}

// Poller asks every searcher which snapshots it holds.
type Poller struct {
	log       zerolog.Logger
	source    StatusSource
	holder    *configuration.Holder
	snapshots *snapshot.Table
}

// NewPoller returns a poller that isn't running.
func NewPoller(log zerolog.Logger, source StatusSource, holder *configuration.Holder, snapshots *snapshot.Table) *Poller {
	return &Poller{log: log, source: source, holder: holder, snapshots: snapshots}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()

	for {
		changed := p.holder.Changed()
		p.round(ctx)

		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

func (p *Poller) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	var wg sync.WaitGroup

	for _, svc := range p.holder.Configuration().Services {
		for _, sh := range svc.PartitionMap.Shards {
			for i := range sh.Searchers {
				wg.Go(func() { p.poll(ctx, &sh.Searchers[i]) })
			}
		}
	}

	wg.Wait()
}

func (p *Poller) poll(ctx context.Context, sr *domain.Searcher) {
	st, err := p.source.Status(ctx, sr)
	if err != nil {
		p.log.Debug().Str("event", "status_failed").Str("searcher", sr.ID).Err(err).Send()

		return
	}

	type key struct {
		service string
		shard   uint32
	}

	held := make(map[key][]domain.Snapshot)

	for _, h := range st.GetHeld() {
		k := key{h.GetService(), h.GetShard()}
		held[k] = append(held[k], domain.Snapshot{
			IndexVersion:        h.GetSnapshot().GetIndexVersion(),
			PartitionMapVersion: h.GetSnapshot().GetPartitionMapVersion(),
		})
	}

	for k, s := range held {
		p.snapshots.Report(k.service, k.shard, sr.ID, s)
	}
}
