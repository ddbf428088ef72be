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

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
)

const (
	// maxRelayTries bounds the holders that one query is sent to.
	maxRelayTries = 3
	// minRelayTime is the time left below which a relay can't bring an answer.
	minRelayTime = 2 * time.Millisecond
	// avoidTime is how long a holder that failed is tried last.
	avoidTime = time.Second
	// networkWeight is the weight of the latest network time in its average.
	networkWeight = 0.2
)

// Relay runs queries here if this instance is a holder of the service, and
// sends them to a holder otherwise. It is safe for concurrent use.
type Relay struct {
	log       zerolog.Logger
	mesh      *Mesh
	table     *membership.Table
	placement *Placement
	local     Searcher
	jitter    func(time.Duration) time.Duration
	prefix    string
	next      atomic.Uint64

	mu    sync.Mutex // Guards peers.
	peers map[string]*relayPeer
}

// relayPeer is what is known of relaying to one holder.
type relayPeer struct {
	open       int
	avoidUntil time.Time
	// network is the average time that a relay takes beyond the holder's own.
	network time.Duration
}

// NewRelay returns a relay around the local searcher.
func NewRelay(log zerolog.Logger, m *Mesh, p *Placement, local Searcher) *Relay {
	var nonce [6]byte

	_, _ = rand.Read(nonce[:])

	return &Relay{
		log: log, mesh: m, table: m.options.Table, placement: p, local: local, jitter: m.options.Jitter,
		prefix: m.options.Table.Self().Instance.ID + "-" + hex.EncodeToString(nonce[:]) + "-r",
		peers:  make(map[string]*relayPeer),
	}
}

// Search implements caller.Searcher.
func (r *Relay) Search(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest) (*pb.SearchResponse, error) {
	svc, ok := cfg.Service(req.GetService())
	if !ok || r.placement.Holds(cfg, svc.Name) {
		return r.local.Search(ctx, cfg, req)
	}

	start := time.Now()

	timeout := svc.Rules.Timeout()
	if t := time.Duration(req.GetTimeoutMs()) * time.Millisecond; t > 0 && t < timeout {
		timeout = t
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	resp, err := r.relay(ctx, cfg, req, r.order(cfg, svc.Name))
	if err != nil {
		return nil, err
	}

	resp.ElapsedUs = uint64(max(time.Since(start), 0).Microseconds())

	return resp, nil
}

func (r *Relay) relay(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest, holders []domain.Instance) (*pb.SearchResponse, error) {
	fate := domain.FateNotRun
	last := domain.Errorf(domain.FateNotRun, domain.CodePeerUnavailable, "relay", "no holder of %s is known", req.GetService())
	deadline, _ := ctx.Deadline()

	for try, h := range holders[:min(len(holders), maxRelayTries)] {
		left := time.Until(deadline) - r.networkTime(h.ID)
		if left < minRelayTime {
			if try == 0 {
				last = domain.Errorf(domain.FateNotRun, domain.CodeDeadline, "relay", "the time left can't suffice")
			}

			break
		}

		resp, err := r.try(ctx, cfg, req, h, try, left)
		if err == nil {
			return resp, nil
		}

		if !errors.As(err, &last) {
			return nil, err
		}

		if last.Fate != domain.FateNotRun {
			fate = last.Fate
		}

		if !elsewhere(last.Code) {
			break
		}
	}

	return nil, last.WithFate(fate)
}

// elsewhere reports whether another holder may answer after an error.
func elsewhere(c domain.Code) bool {
	switch c {
	case domain.CodePeerUnavailable, domain.CodeCorrupt, domain.CodeStopping, domain.CodeNotReady:
		return true
	default:
		return false
	}
}

func (r *Relay) try(ctx context.Context, cfg *domain.Configuration, req *pb.SearchRequest, h domain.Instance,
	try int, left time.Duration,
) (*pb.SearchResponse, error) {
	id := r.prefix + strconv.FormatUint(r.next.Add(1), 36)

	r.log.Info().Str("event", "relay").Str("query_id", id).Str("service", req.GetService()).Str("holder", h.ID).
		Str("failure_domain", h.FailureDomain).Int("try", try+1).Int64("left_us", left.Microseconds()).Send()

	r.begin(h.ID)

	start := time.Now()
	resp, err := r.mesh.RelaySearch(ctx, h, cfg.Version, left, id, req)
	r.end(h.ID, time.Since(start), resp, err)

	outcome := "answered"

	if err != nil {
		outcome = "failed"

		r.log.Warn().Str("event", "relay_failed").Str("query_id", id).Str("holder", h.ID).Err(err).Send()
	}

	metrics.GetOrCreateCounter(`primrosed_relays_total{outcome="` + outcome + `"}`).Inc()

	return resp, err
}

// order returns the holders to try: those that are well before those under
// suspicion or that just failed, then those in the own failure domain, in the
// own region and elsewhere, and among equals the one with the fewest relayed
// queries under way.
func (r *Relay) order(cfg *domain.Configuration, service string) []domain.Instance {
	type candidate struct {
		instance domain.Instance
		tier     int
		open     int
		random   time.Duration
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
			c.open = p.open

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
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.open, b.open), cmp.Compare(a.random, b.random))
	})

	out := make([]domain.Instance, len(all))
	for i, c := range all {
		out[i] = c.instance
	}

	return out
}

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

	r.peer(id).open++
}

func (r *Relay) end(id string, took time.Duration, resp *pb.SearchResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	p := r.peer(id)
	p.open--

	if err != nil {
		var e *domain.Error
		if errors.As(err, &e) && (elsewhere(e.Code) || e.Code == domain.CodeDeadline) {
			p.avoidUntil = time.Now().Add(avoidTime)
		}

		return
	}

	network := max(took-time.Duration(resp.GetElapsedUs())*time.Microsecond, 0)
	if p.network == 0 {
		p.network = network
	}

	p.network += time.Duration(networkWeight * float64(network-p.network))
}

// Owner tells package execute who owns a bucket of claims.
func (r *Relay) Owner(bucket uint32) (bool, func(context.Context, claims.Operation) (claims.Result, error)) {
	owner, self := r.placement.BucketOwner(bucket)
	if self {
		return true, nil
	}

	return false, func(ctx context.Context, op claims.Operation) (claims.Result, error) {
		return r.mesh.ApplyClaim(ctx, owner, op)
	}
}

// Explain adds the holders of a service, and where a query would be relayed to
// from here, to e.
func (r *Relay) Explain(cfg *domain.Configuration, service string, e *pb.ExplainResponse) {
	for _, h := range r.placement.Holders(cfg, service) {
		e.Holders = append(e.Holders, h.ID)
	}

	if order := r.order(cfg, service); !r.placement.Holds(cfg, service) && len(order) > 0 {
		e.Relay = order[0].ID
	}
}
