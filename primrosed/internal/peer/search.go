package peer

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
)

const (
	// maxRelayTries bounds the number of holders that a request is sent to.
	maxRelayTries = 3
	// minRelayTime is the time left below which no holder is tried: its answer would
	// come too late.
	minRelayTime = 2 * time.Millisecond
	// avoidTime is how long a holder ranks lower after it failed.
	avoidTime = time.Second
	// networkWeight is the weight of a new sample in the average network time.
	networkWeight = 0.2
)

// Relay runs requests here if this instance is a holder of the service, and
// sends them to a holder otherwise. It is safe for concurrent use.
type Relay struct {
	log       zerolog.Logger
	mesh      *Mesh
	table     *membership.Table
	placement *Placement
	runner    QueryRunner
	executor  Executor
	jitter    func(time.Duration) time.Duration
	idPrefix  string
	nextID    atomic.Uint64

	mu    sync.Mutex // Guards peers.
	peers map[string]*relayPeer
}

// relayPeer is the state of relaying to one holder.
type relayPeer struct {
	outstanding int
	avoidUntil  time.Time
	// network is the average time that a relay takes beyond the holder's work.
	network time.Duration
}

// NewRelay returns a relay that runs requests held here with the given runner and
// executor.
func NewRelay(log zerolog.Logger, m *Mesh, p *Placement, local QueryRunner, executor Executor) *Relay {
	var nonce [6]byte

	_, _ = rand.Read(nonce[:])

	return &Relay{
		log: log, mesh: m, table: m.options.Table, placement: p, runner: local, executor: executor, jitter: m.options.Jitter,
		idPrefix: m.options.Table.Self().Instance.ID + "-" + hex.EncodeToString(nonce[:]) + "-r",
		peers:    make(map[string]*relayPeer),
	}
}

// Search implements caller.QueryRunner.
func (r *Relay) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	svc, ok := cfg.Service(req.GetService())
	if !ok || r.placement.Holds(cfg, svc.Name) {
		return r.runner.Search(ctx, cfg, req)
	}

	start := time.Now()

	ctx, cancel := context.WithTimeout(ctx, svc.Rules.TimeoutFor(req.GetTimeoutMs()))
	defer cancel()

	var resp *pb.SearchResponse

	err := r.relay(ctx, cfg, svc.Name, func(h domain.Instance, left time.Duration, id string) (time.Duration, error) {
		var err error

		resp, err = r.mesh.RelaySearch(ctx, h, cfg.Version, left, id, req)

		return time.Duration(resp.GetElapsedUs()) * time.Microsecond, err
	})
	if err != nil {
		return nil, err
	}

	resp.ElapsedUs = uint64(max(time.Since(start), 0).Microseconds())

	return resp, nil
}

// Execute implements caller.Executor. A request goes to a second holder only if
// it didn't run at the first. The fate of a repeated request is not run only if a
// holder has read the key's claim: an earlier request with the key may have run.
func (r *Relay) Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	svc, ok := cfg.Service(req.GetService())
	if !ok || r.placement.Holds(cfg, svc.Name) {
		return r.executor.Execute(ctx, cfg, req)
	}

	start := time.Now()

	ctx, cancel := context.WithTimeout(ctx, svc.Rules.TimeoutFor(req.GetTimeoutMs()))
	defer cancel()

	var resp *pb.ExecuteResponse

	err := r.relay(ctx, cfg, svc.Name, func(h domain.Instance, left time.Duration, id string) (time.Duration, error) {
		var err error

		resp, err = r.mesh.RelayExecute(ctx, h, cfg.Version, left, id, req)

		var e *domain.Error
		if errors.As(err, &e) && e.Fate != domain.FateNotRun {
			return 0, finalError{e}
		}

		return time.Duration(resp.GetElapsedUs()) * time.Microsecond, err
	})
	if err != nil {
		return nil, unknownIfRepeated(req, err)
	}

	resp.ElapsedUs = uint64(max(time.Since(start), 0).Microseconds())

	return resp, nil
}

// unknownIfRepeated changes the fate of a repeated request from not run to
// unknown, unless the key's claim was read.
func unknownIfRepeated(req *pb.ExecuteRequest, err error) error {
	var e *domain.Error
	if !req.GetRepeated() || !errors.As(err, &e) || e.Fate != domain.FateNotRun || e.Code == domain.CodeAlreadyClaimed {
		return err
	}

	return e.WithFate(domain.FateUnknown)
}

// finalError marks an error after which no other holder may be tried.
type finalError struct{ cause *domain.Error }

// Error implements error.
func (f finalError) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f finalError) Unwrap() error { return f.cause }

// sendFunc sends a request to a holder and returns how long the holder worked on
// it.
type sendFunc func(h domain.Instance, left time.Duration, id string) (time.Duration, error)

// relay sends a request to the holders of the service in turn until one answers
// or an error isn't retryable.
func (r *Relay) relay(ctx context.Context, cfg *domain.Configuration, service string, send sendFunc) error {
	fate := domain.FateNotRun
	last := domain.Errorf(domain.FateNotRun, domain.CodePeerUnavailable, "relay", "no holder of %s is known", service)
	deadline, _ := ctx.Deadline()
	holders := r.order(cfg, service)

	for try, h := range holders[:min(len(holders), maxRelayTries)] {
		left := time.Until(deadline) - r.networkTime(h.ID)
		if left < minRelayTime {
			if try == 0 {
				last = domain.Errorf(domain.FateNotRun, domain.CodeDeadline, "relay", "not enough time is left")
			}

			break
		}

		err := r.try(service, h, try, left, send)
		if err == nil {
			return nil
		}

		if !errors.As(err, &last) {
			return err
		}

		if last.Fate != domain.FateNotRun {
			fate = last.Fate
		}

		var permanent finalError
		if errors.As(err, &permanent) || !retryable(last.Code) {
			break
		}
	}

	return last.WithFate(fate)
}

// retryable reports whether a request may be sent to another holder after an
// error.
func retryable(c domain.Code) bool {
	switch c {
	case domain.CodePeerUnavailable, domain.CodeCorrupt, domain.CodeStopping, domain.CodeNotReady:
		return true
	default:
		return false
	}
}

func (r *Relay) try(service string, h domain.Instance, try int, left time.Duration, send sendFunc) error {
	id := r.idPrefix + strconv.FormatUint(r.nextID.Add(1), 36)

	r.log.Info().Str("event", "relay").Str("query_id", id).Str("service", service).Str("holder", h.ID).
		Str("failure_domain", h.FailureDomain).Int("try", try+1).Int64("left_us", left.Microseconds()).Send()

	r.begin(h.ID)

	start := time.Now()
	took, err := send(h, left, id)
	r.end(h.ID, time.Since(start), took, err)

	outcome := "answered"

	if err != nil {
		outcome = "failed"

		r.log.Warn().Str("event", "relay_failed").Str("query_id", id).Str("holder", h.ID).Err(err).Send()
	}

	metrics.GetOrCreateCounter(`primrosed_relays_total{outcome="` + outcome + `"}`).Inc()

	return err
}

// order returns the holders in the order to try them: suspected ones last, and
// before them those that just failed; within each group those in the same failure
// domain, then in the same region, then the others; and among equals the one with
// the fewest outstanding relayed requests.
func (r *Relay) order(cfg *domain.Configuration, service string) []domain.Instance {
	type candidate struct {
		instance    domain.Instance
		tier        int
		outstanding int
		random      time.Duration
	}

	self := r.table.Self().Instance
	suspects := r.table.View().Suspects
	now := time.Now()

	var all []candidate

	r.mu.Lock()

	for _, h := range r.placement.Holders(cfg, service) {
		if h.ID == self.ID {
			continue
		}

		c := candidate{instance: h, tier: distance(self, h), random: r.jitter(time.Second)}

		if p := r.peers[h.ID]; p != nil {
			c.outstanding = p.outstanding

			if now.Before(p.avoidUntil) {
				c.tier += 3
			}
		}

		if suspects[h.ID] {
			c.tier += 6
		}

		all = append(all, c)
	}
	r.mu.Unlock()

	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.outstanding, b.outstanding), cmp.Compare(a.random, b.random))
	})

	out := make([]domain.Instance, len(all))
	for i, c := range all {
		out[i] = c.instance
	}

	return out
}

// distance ranks b as seen from a: 0 in the same failure domain, 1 in the same
// region, 2 in another region.
func distance(a, b domain.Instance) int {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// peer returns the state of a holder; the caller holds r.mu.
func (r *Relay) peer(id string) *relayPeer {
	p := r.peers[id]
	if p == nil {
		p = &relayPeer{}
		r.peers[id] = p
	}

	return p
}

func (r *Relay) networkTime(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.peer(id).network
}

func (r *Relay) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.peer(id).outstanding++
}

// end records the outcome of a relayed request. The network time is the whole
// time without the holder's own.
func (r *Relay) end(id string, whole, own time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	p := r.peer(id)
	p.outstanding--

	if err != nil {
		var e *domain.Error
		if errors.As(err, &e) && (retryable(e.Code) || e.Code == domain.CodeDeadline) {
			p.avoidUntil = time.Now().Add(avoidTime)
		}

		return
	}

	network := max(whole-own, 0)
	if p.network == 0 {
		p.network = network
	}

	p.network += time.Duration(networkWeight * float64(network-p.network))
}

// Explain adds to e the holders of a service and the one that a query would be
// relayed to from here.
func (r *Relay) Explain(cfg *domain.Configuration, service string, e *pb.ExplainResponse) {
	for _, h := range r.placement.Holders(cfg, service) {
		e.Holders = append(e.Holders, h.ID)
	}

	if order := r.order(cfg, service); !r.placement.Holds(cfg, service) && len(order) > 0 {
		e.Relay = order[0].ID
	}
}
