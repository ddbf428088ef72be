package searcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// historyStep is the resolution of a lagging status.
const historyStep = 5 * time.Millisecond

// GetStatus implements SearcherService.
func (s *Server) GetStatus(context.Context, *pb.GetStatusRequest) (*pb.GetStatusResponse, error) {
	o := s.options.Load()
	now := s.status()

	switch o.StatusMode {
	case StatusHealthy:
		now.Load = &pb.SearcherLoad{Slots: now.GetLoad().GetSlots()}

		return now, nil
	case StatusUnhealthy:
		now.Healthy = false

		return now, nil
	case StatusTrue:
	}

	if o.StatusLagMS == 0 {
		return now, nil
	}

	s.history.add(time.Now(), now)

	return s.history.at(time.Now().Add(-milliseconds(o.StatusLagMS))), nil
}

// Ping implements SearcherService.
func (s *Server) Ping(context.Context, *pb.PingRequest) (*pb.PingResponse, error) {
	return &pb.PingResponse{}, nil
}

func (s *Server) status() *pb.GetStatusResponse {
	held := *s.held.Load()
	r := &pb.GetStatusResponse{
		Searcher: s.options.Load().ID, Healthy: true, Load: s.load(), Held: make([]*pb.HeldSnapshot, 0, len(held)),
	}

	for p := range held {
		r.Held = append(r.Held, &pb.HeldSnapshot{
			Service: p.service, Shard: p.shard,
			Snapshot: &pb.Snapshot{
				IndexVersion: p.snapshot.IndexVersion, PartitionMapVersion: p.snapshot.PartitionMapVersion,
			},
		})
	}

	return r
}

func (s *Server) load() *pb.SearcherLoad {
	o := s.options.Load()
	running, queued := s.queue.load()

	s.mu.Lock()
	defer s.mu.Unlock()

	return &pb.SearcherLoad{
		Slots: uint32(o.Slots), Running: uint32(running), Queued: uint32(queued),
		Draining: !s.drain.began.IsZero() && !s.drain.quiet, Cold: s.coldRuns < o.ColdRequests, HeldVersion: s.heldVersion.Load(),
		Limited: o.RateLimit > 0, RateLimit: o.RateLimit,
	}
}

// recordStatus records the state for a lagging GetStatus.
func (s *Server) recordStatus(o *Options) {
	if o.StatusLagMS > 0 {
		s.history.add(time.Now(), s.status())
	}
}

// history holds past states, at most one for each historyStep.
type history struct {
	mu      sync.Mutex // Guards entries.
	entries []pastStatus
}

type pastStatus struct {
	at     time.Time
	status *pb.GetStatusResponse
}

func (h *history) add(now time.Time, r *pb.GetStatusResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if n := len(h.entries); n > 0 && now.Sub(h.entries[n-1].at) < historyStep {
		h.entries[n-1].status = r

		return
	}

	h.entries = append(h.entries, pastStatus{now, r})
}

// at returns the state as of t, or the oldest one, and drops older ones. There
// must be at least one entry.
func (h *history) at(t time.Time) *pb.GetStatusResponse {
	h.mu.Lock()
	defer h.mu.Unlock()

	for len(h.entries) > 1 && !h.entries[1].at.After(t) {
		h.entries = h.entries[1:]
	}

	return h.entries[0].status
}

type counters struct {
	runs             atomic.Int64
	sheds            atomic.Int64
	cancelled        atomic.Int64
	expired          atomic.Int64
	drainRefusals    atomic.Int64
	snapshotRefusals atomic.Int64
}

// Stats are the counts of one searcher since its start, and its current state.
// Times are in milliseconds.
type Stats struct {
	// Runs counts the runs that began, even if they were cancelled or expired.
	Runs int64 `json:"runs"`
	// Sheds counts the requests refused because of QueueLimit or ShedLate.
	Sheds int64 `json:"sheds"`
	// Cancelled and Expired count both queued and running requests.
	Cancelled        int64 `json:"cancelled"`
	Expired          int64 `json:"expired"`
	DrainRefusals    int64 `json:"drain_refusals"`
	SnapshotRefusals int64 `json:"snapshot_refusals"`
	Running          int   `json:"running"`
	Queued           int   `json:"queued"`
	Connections      int   `json:"connections"`
	ConnectionsPeak  int   `json:"connections_peak"`
	ConnectionsTotal int   `json:"connections_total"`
	// ConnectionsRefused counts those closed on accept because of the limit.
	ConnectionsRefused int `json:"connections_refused"`
	// Limited has the requests that arrived since RateLimit was last changed.
	Limited  LimitStats `json:"limited"`
	Draining bool       `json:"draining"`
	// NewAfterDrain counts the requests that arrived since the drain began,
	// run or refused.
	NewAfterDrain int `json:"new_after_drain"`
	// LastNewAfterDrainMS is the time from the start of the drain to the
	// arrival of the latest of them.
	LastNewAfterDrainMS float64 `json:"last_new_after_drain_ms"`
}

func (s *Server) stats() Stats {
	r := Stats{
		Runs: s.counts.runs.Load(), Sheds: s.counts.sheds.Load(), Cancelled: s.counts.cancelled.Load(),
		Expired: s.counts.expired.Load(), DrainRefusals: s.counts.drainRefusals.Load(),
		SnapshotRefusals: s.counts.snapshotRefusals.Load(),
	}
	r.Running, r.Queued = s.queue.load()

	s.mu.Lock()
	defer s.mu.Unlock()

	r.Limited = s.arrivals.stats()
	r.Draining = !s.drain.began.IsZero()
	r.NewAfterDrain = s.drain.arrivals

	if r.NewAfterDrain > 0 {
		r.LastNewAfterDrainMS = float64(s.drain.last.Sub(s.drain.began)) / float64(time.Millisecond)
	}

	return r
}
