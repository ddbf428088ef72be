// Package searcher is a stand-in for a backend server: it runs requests in a
// fixed number of slots, with log-normal service times and stragglers, and
// accepts cancellation and deadlines.
package searcher

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
)

// Options describe one searcher.
type Options struct {
	ID                  string
	Service             string
	Shard               uint32
	Slots               int
	Median              time.Duration
	Sigma               float64
	StragglerShare      float64
	StragglerFactor     float64
	Seed                uint64
	IndexVersion        uint64
	PartitionMapVersion uint64
}

// Server is one searcher.
type Server struct {
	options Options
	slots   chan struct{}
	queued  atomic.Int32

	mu   sync.Mutex // Guards rand.
	rand *rand.Rand
}

// New returns a searcher.
func New(o Options) (*Server, error) {
	if o.Slots < 1 {
		return nil, errors.New("slots must be at least 1")
	}

	return &Server{
		options: o, slots: make(chan struct{}, o.Slots),
		rand: rand.New(rand.NewPCG(o.Seed, uint64(o.Shard))),
	}, nil
}

// Handler serves SearcherService.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Mount(primrosespringv1connect.NewSearcherServiceHandler(s))

	return r
}

// Run implements SearcherService.
func (s *Server) Run(ctx context.Context, req *pb.RunRequest) (*pb.RunResponse, error) {
	if req.GetSnapshot().GetIndexVersion() != s.options.IndexVersion || req.GetShard() != s.options.Shard {
		return nil, refusal.ToConnect(domain.Errorf(domain.FateNotRun, domain.CodeSnapshotGone, "run", "snapshot isn't held"))
	}

	s.queued.Add(1)

	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)

		return nil, refusal.ToConnect(domain.Errorf(domain.FateNotRun, domain.CodeCancelled, "run", "cancelled in the queue"))
	}

	defer func() { <-s.slots }()

	service := s.serviceTime()

	t := time.NewTimer(service)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, refusal.ToConnect(domain.Errorf(domain.FateRan, domain.CodeCancelled, "run", "cancelled at work"))
	}

	resp := &pb.RunResponse{
		QueryId: req.GetQueryId(), Attempt: req.GetAttempt(), Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		Hits: []*pb.Hit{{Id: s.options.Service + "/" + strconv.Itoa(int(req.GetShard())), Score: 1, Body: req.GetQuery()}},
		Load: s.load(),
	}
	resp.Load.ServiceUs = uint64(service.Microseconds())
	resp.Checksum = integrity.RunChecksum(resp)

	return resp, nil
}

// GetStatus implements SearcherService.
func (s *Server) GetStatus(context.Context, *pb.GetStatusRequest) (*pb.GetStatusResponse, error) {
	return &pb.GetStatusResponse{
		Searcher: s.options.ID, Healthy: true, Load: s.load(),
		Held: []*pb.HeldSnapshot{{
			Service: s.options.Service, Shard: s.options.Shard,
			Snapshot: &pb.Snapshot{IndexVersion: s.options.IndexVersion, PartitionMapVersion: s.options.PartitionMapVersion},
		}},
	}, nil
}

// Ping implements SearcherService.
func (s *Server) Ping(context.Context, *pb.PingRequest) (*pb.PingResponse, error) {
	return &pb.PingResponse{}, nil
}

func (s *Server) load() *pb.SearcherLoad {
	return &pb.SearcherLoad{
		Slots:   uint32(s.options.Slots),
		Running: uint32(len(s.slots)),
		Queued:  uint32(max(s.queued.Load(), 0)),
	}
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	t := float64(s.options.Median) * math.Exp(s.options.Sigma*s.rand.NormFloat64())
	if s.rand.Float64() < s.options.StragglerShare {
		t *= s.options.StragglerFactor
	}

	return time.Duration(t)
}
