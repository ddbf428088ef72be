// Package searcher implements a fake backend server: it runs requests in a fixed
// number of slots, with log-normal service times and stragglers, supports
// cancellation and deadlines, sheds load, drains, starts cold, and injects the
// faults that its control API sets.
package searcher

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
)

// Server is one searcher. It is safe for concurrent use.
type Server struct {
	options atomic.Pointer[Options]
	faults  atomic.Pointer[Faults]
	// held maps the held snapshots to their hit ids.
	held atomic.Pointer[map[shardSnapshot]string]
	// heldVersion counts the changes of held.
	heldVersion atomic.Uint64
	queue       queue
	counts      counters
	history     history

	mu           sync.Mutex // Guards the fields below.
	rand         *rand.Rand
	coldRuns     int            // Runs since the last cold start, up to Options.ColdRequests.
	runs         map[string]int // Runs by the request's key.
	drain        drain
	arrivals     arrivals
	lastResponse *pb.RunResponse // The latest one that crossResponse replaced.
}

// shardSnapshot is a snapshot of one shard.
type shardSnapshot struct {
	service  string
	shard    uint32
	snapshot domain.Snapshot
}

type drain struct {
	began time.Time // Zero when not draining.
	grace time.Duration
	// quiet drains aren't reported in the load: callers have to learn of them
	// in another way.
	quiet bool
	// arrivals counts the requests since the drain began; last is the time of
	// the latest.
	arrivals int
	last     time.Time
}

// New returns a searcher.
func New(o Options) (*Server, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}

	h := fnv.New64a()
	_, _ = h.Write([]byte(o.ID))

	s := &Server{rand: rand.New(rand.NewPCG(o.Seed, h.Sum64())), runs: make(map[string]int)}
	s.options.Store(&o)
	s.faults.Store(&Faults{})
	s.held.Store(&map[shardSnapshot]string{})
	s.SetSnapshots(o.Service, o.Shard, o.Snapshots)

	return s, nil
}

// SetSnapshots replaces the snapshots that the searcher holds of one shard.
func (s *Server) SetSnapshots(service string, shard uint32, snapshots []domain.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()

	held := maps.Clone(*s.held.Load())
	maps.DeleteFunc(held, func(p shardSnapshot, _ string) bool { return p.service == service && p.shard == shard })

	for _, v := range snapshots {
		held[shardSnapshot{service, shard, v}] = HitID(service, shard, v)
	}

	s.held.Store(&held)
	s.heldVersion.Add(1)
}

// HitID returns the id of the hit that a searcher responds with; it names the
// shard and the snapshot that were searched.
func HitID(service string, shard uint32, v domain.Snapshot) string {
	return service + "/" + strconv.FormatUint(uint64(shard), 10) + "@" +
		strconv.FormatUint(v.PartitionMapVersion, 10) + "." + strconv.FormatUint(v.IndexVersion, 10)
}

// SetOptions replaces the options except for the id, the address, the service and
// the shard. The held snapshots stay.
func (s *Server) SetOptions(o Options) {
	old := s.options.Load()
	o.ID, o.Address, o.Service, o.Shard = old.ID, old.Address, old.Service, old.Shard
	s.options.Store(&o)

	if o.RateLimit != old.RateLimit {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.arrivals.set(time.Now(), o.RateLimit)
	}
}

// Drain starts a drain: the searcher reports it at once, unless quiet is set, and
// refuses new requests after grace. It finishes the requests that it has.
func (s *Server) Drain(grace time.Duration, quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.drain = drain{began: time.Now(), grace: grace, quiet: quiet}
}

// Restart ends a drain and makes the searcher cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.drain = drain{}
	s.coldRuns = 0
}

// Run implements SearcherService.
func (s *Server) Run(ctx context.Context, req *pb.RunRequest) (*pb.RunResponse, error) {
	resp, err := s.run(ctx, req)
	if err != nil {
		return nil, refusal.ToConnect(err)
	}

	return resp, nil
}

func (s *Server) run(ctx context.Context, req *pb.RunRequest) (*pb.RunResponse, error) {
	arrived := time.Now()
	o := s.options.Load()

	if !s.admit(arrived) {
		s.counts.drainRefusals.Add(1)

		return nil, domain.Errorf(domain.FateNotRun, domain.CodeSearcherDraining, "run", "searcher is draining")
	}

	if o.PauseMS > 0 {
		s.counts.sheds.Add(1)

		refusal := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "run", "searcher wants no requests")
		refusal.RetryAfter = milliseconds(o.PauseMS)

		return nil, refusal
	}

	if s.hitID(req) == "" {
		return nil, s.refuseSnapshot()
	}

	timeLeft := time.Duration(req.GetTimeoutUs()) * time.Microsecond

	err := s.queue.acquire(ctx, limits{slots: o.Slots, queueLimit: o.QueueLimit, shedLate: o.ShedLate, timeLeft: timeLeft})
	s.recordStatus(o)

	if err != nil {
		return nil, s.queueRefusal(err)
	}

	// The snapshot may have been dropped while the request was queued.
	hit := s.hitID(req)
	if hit == "" {
		s.queue.release(o.Slots, 0)

		return nil, s.refuseSnapshot()
	}

	serviceTime, err := s.simulate(ctx, o, req, arrived)
	s.queue.release(s.options.Load().Slots, serviceTime)
	s.recordStatus(o)

	if err != nil {
		return nil, err
	}

	return s.respond(ctx, req, hit, serviceTime)
}

// simulate waits for the service time of a request and returns it, or an error
// with the fate ran if the request was cancelled or its deadline passed.
func (s *Server) simulate(ctx context.Context, o *Options, req *pb.RunRequest, arrived time.Time) (time.Duration, error) {
	serviceTime := s.startRun(o, req.GetKey())
	s.counts.runs.Add(1)

	wait, late := serviceTime, false

	if us := req.GetTimeoutUs(); us > 0 {
		if timeLeft := time.Until(arrived.Add(time.Duration(us) * time.Microsecond)); timeLeft < serviceTime {
			wait, late = max(timeLeft, 0), true
		}
	}

	t := time.NewTimer(wait)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
		s.counts.cancelled.Add(1)

		return 0, domain.Errorf(domain.FateRan, domain.CodeCancelled, "run", "cancelled while running")
	}

	if late {
		s.counts.expired.Add(1)

		return 0, domain.Errorf(domain.FateRan, domain.CodeDeadline, "run", "deadline passed while running")
	}

	return serviceTime, nil
}

// respond builds the response and injects faults into it.
func (s *Server) respond(ctx context.Context, req *pb.RunRequest, hit string, serviceTime time.Duration) (*pb.RunResponse, error) {
	resp := &pb.RunResponse{
		QueryId: req.GetQueryId(), Attempt: req.GetAttempt(), Shard: req.GetShard(), Snapshot: req.GetSnapshot(),
		Hits: []*pb.Hit{{Id: hit, Score: 1, Body: req.GetQuery()}},
		Load: s.load(),
	}
	if req.GetKey() != "" {
		resp.Result = req.GetKey() + ":done"
	}

	resp.Load.ServiceUs = uint64(serviceTime.Microseconds())
	resp.Checksum = integrity.RunChecksum(resp)

	f := s.faults.Load()
	if *f == (Faults{}) {
		return resp, nil
	}

	return s.injectFaults(ctx, f, resp)
}

func (s *Server) injectFaults(ctx context.Context, f *Faults, resp *pb.RunResponse) (*pb.RunResponse, error) {
	if s.chance(f.LateShare) {
		t := time.NewTimer(milliseconds(f.LateMS))
		defer t.Stop()

		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, domain.Errorf(domain.FateRan, domain.CodeCancelled, "run", "cancelled while the response was delayed")
		}
	}

	if s.chance(f.CrossedShare) {
		return s.crossResponse(resp), nil
	}

	if s.chance(f.CorruptShare) {
		if s.chance(0.5) {
			resp.Hits[0].Body += "\x01"
		} else {
			resp.Hits = nil
		}
	}

	return resp, nil
}

// crossResponse returns the response to an earlier query in place of resp, or a
// forged one if there is none.
func (s *Server) crossResponse(resp *pb.RunResponse) *pb.RunResponse {
	s.mu.Lock()
	other := s.lastResponse
	s.lastResponse = resp
	s.mu.Unlock()

	if other != nil && other.GetQueryId() != resp.GetQueryId() {
		return other
	}

	forged := &pb.RunResponse{
		QueryId: "another-" + resp.GetQueryId(), Attempt: resp.GetAttempt() + 1, Shard: resp.GetShard(),
		Snapshot: resp.GetSnapshot(), Hits: resp.GetHits(), Load: resp.GetLoad(),
	}
	forged.Checksum = integrity.RunChecksum(forged)

	return forged
}

// admit reports whether a request is accepted, and counts it if it arrives
// during a drain.
func (s *Server) admit(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.arrivals.add(now)

	if s.drain.began.IsZero() {
		return true
	}

	s.drain.arrivals++
	s.drain.last = now

	return now.Sub(s.drain.began) < s.drain.grace
}

// startRun counts a run of key and draws its service time.
func (s *Server) startRun(o *Options, key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if key != "" {
		s.runs[key]++
	}

	t := o.MedianMS * math.Exp(o.Sigma*s.rand.NormFloat64()) * factorOrOne(o.SlowFactor)
	if s.rand.Float64() < o.StragglerShare {
		t *= factorOrOne(o.StragglerFactor)
	}

	if s.coldRuns < o.ColdRequests {
		coldness := 1 - float64(s.coldRuns)/float64(o.ColdRequests)
		t *= 1 + (factorOrOne(o.ColdFactor)-1)*coldness
		s.coldRuns++
	}

	return milliseconds(t)
}

// chance returns true with a probability of share.
func (s *Server) chance(share float64) bool {
	if share <= 0 {
		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rand.Float64() < share
}

// hitID returns the id of the hit for the requested snapshot, or "" if that isn't
// held.
func (s *Server) hitID(req *pb.RunRequest) string {
	return (*s.held.Load())[shardSnapshot{req.GetService(), req.GetShard(), domain.Snapshot{
		IndexVersion: req.GetSnapshot().GetIndexVersion(), PartitionMapVersion: req.GetSnapshot().GetPartitionMapVersion(),
	}}]
}

func (s *Server) refuseSnapshot() error {
	s.counts.snapshotRefusals.Add(1)

	return domain.Errorf(domain.FateNotRun, domain.CodeSnapshotGone, "run", "snapshot isn't held")
}

// queueRefusal returns the refusal of a request that got no slot.
func (s *Server) queueRefusal(err error) error {
	switch {
	case errors.Is(err, errFull) || errors.Is(err, errLate):
		s.counts.sheds.Add(1)

		return domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "run", "%s", err)
	case errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded):
		s.counts.expired.Add(1)

		return domain.Errorf(domain.FateNotRun, domain.CodeDeadline, "run", "%s", errDeadline)
	default:
		s.counts.cancelled.Add(1)

		return domain.Errorf(domain.FateNotRun, domain.CodeCancelled, "run", "cancelled in the queue")
	}
}
