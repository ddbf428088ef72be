package gatherer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/gathering"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/refusal"
	"primrosespring.example/internal/serving"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/mux"
)

// Client hands queries over to other instances. It implements
// serving.GathererClient and is safe for concurrent use.
type Client struct {
	log    zerolog.Logger
	self   string
	dial   http1.DialFunc
	frames *memory.Budget

	work sync.WaitGroup // Dials and pings; waited for by Close.

	mu    sync.Mutex // Guards the fields below and the peers.
	plan  gathering.Plan
	peers map[string]*peer
	// retired are the peers that have left the plan with queries in progress.
	retired map[*peer]bool
	closed  bool
}

// peer is one instance that gathers. The client's lock guards it.
type peer struct {
	instance gathering.Instance
	session  *yamux.Session
	dialling bool
	// outstanding counts this client's queries in progress there.
	outstanding int
	// A peer that failed gets no offers until avoidUntil; backoff is the last wait.
	avoidUntil time.Time
	backoff    time.Duration
}

// NewClient returns a client of the instance self, which hands nothing over until
// SetPlan is called. frames bounds the answers that are being read; nil sets no bound.
func NewClient(log zerolog.Logger, self string, dial http1.DialFunc, frames *memory.Budget) *Client {
	return &Client{log: log, self: self, dial: dial, frames: frames, peers: make(map[string]*peer), retired: make(map[*peer]bool)}
}

// SetPlan sets the instances that queries are handed over to and connects to the
// near ones. Queries in progress at instances that leave the plan finish there.
func (c *Client) SetPlan(p gathering.Plan) {
	for _, s := range c.applyPlan(p) {
		_ = s.Close()
	}
}

// applyPlan replaces the plan and returns the sessions that are no longer needed.
func (c *Client) applyPlan(p gathering.Plan) []*yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()

	var unused []*yamux.Session

	c.plan = p
	previous := c.peers
	c.peers = make(map[string]*peer)

	for _, list := range [][]gathering.Instance{p.Near, p.Far} {
		for _, in := range list {
			c.peers[in.ID] = previous[in.ID]

			if old := previous[in.ID]; old == nil || old.instance.Address != in.Address {
				c.peers[in.ID] = &peer{instance: in}
			}
		}
	}

	for id, old := range previous {
		switch {
		case c.peers[id] == old || old.session == nil:
		case old.outstanding > 0:
			c.retired[old] = true
		default:
			unused = append(unused, old.session)
		}
	}

	for _, in := range p.Near {
		c.connect(c.peers[in.ID])
	}

	return unused
}

// Close ends all sessions.
func (c *Client) Close() {
	unused := c.applyPlan(gathering.Plan{})

	c.mu.Lock()
	c.closed = true

	for p := range c.retired {
		unused = append(unused, p.session)
	}
	c.mu.Unlock()

	for _, s := range unused {
		_ = s.Close()
	}

	c.work.Wait()
}

// Gather implements serving.GathererClient.
func (c *Client) Gather(ctx context.Context, r *serving.Request, route *domain.Route) (*serving.Response, string, bool, error) {
	for _, p := range c.choose(time.Now()) { //nolint:contextcheck // A session outlives the query that it is opened for.
		resp, begun, err := c.handOver(ctx, p, r, route)
		if begun {
			handedOver.Inc()

			return resp, p.instance.ID, true, err
		}

		// The other instance knows that the request ends searchers.
		var e *domain.Error
		if errors.As(err, &e) && e.Code == domain.CodeQuarantined {
			return nil, p.instance.ID, true, err
		}

		c.logNotBegun(r, p, err)

		if ctx.Err() != nil {
			break
		}
	}

	return nil, "", false, nil //nolint:nilerr // Why nothing was begun is logged; the caller gathers the query itself.
}

// logNotBegun logs why a peer hasn't started a request.
func (c *Client) logNotBegun(r *serving.Request, p *peer, cause error) {
	notBegun.Inc()
	c.log.Info().Str("event", "handover_not_begun").Str("request_id", r.ID).Str("gatherer", p.instance.ID).
		Int64("at_ms", time.Since(r.Received).Milliseconds()).Str("reason", cause.Error()).Send()
}

// choose returns up to maxOffers connected peers to offer a query to, in order: random
// near ones, then far ones, and of two such the one with fewer outstanding queries of
// this instance first. It starts to connect to the peers without a session.
func (c *Client) choose(now time.Time) []*peer {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.plan.HandsOver || c.closed {
		return nil
	}

	out := make([]*peer, 0, maxOffers)

	for _, list := range [][]gathering.Instance{c.plan.Near, c.plan.Far} {
		first := len(out)

		for _, i := range rand.Perm(len(list)) {
			p := c.peers[list[i].ID]

			switch {
			case now.Before(p.avoidUntil):
			case p.session == nil || p.session.IsClosed():
				c.connect(p)
			case len(out) < maxOffers:
				out = append(out, p)

				if n := len(out) - 1; n > first && out[n].outstanding < out[first].outstanding {
					out[first], out[n] = out[n], out[first]
				}
			}
		}
	}

	return out
}

// connect opens a session in the background. The caller holds c.mu.
func (c *Client) connect(p *peer) {
	if c.closed || p.dialling || (p.session != nil && !p.session.IsClosed()) {
		return
	}

	p.dialling = true

	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()

		s, err := mux.Dial(ctx, c.dial, p.instance.Address)

		c.mu.Lock()
		defer c.mu.Unlock()

		p.dialling = false

		switch {
		case err != nil:
			c.avoid(p, "connect", err)
		case c.closed || c.peers[p.instance.ID] != p:
			// Close may block, and c.mu is held.
			c.work.Go(func() { _ = s.Close() })
		default:
			p.session = s
			c.log.Info().Str("event", "gatherer_connected").Str("gatherer", p.instance.ID).
				Str("address", p.instance.Address).Send()
		}
	})
}

// avoid stops offers to a peer that failed, for its backoff. Failures during the
// backoff, as of queries started before, don't extend it. The caller holds c.mu.
func (c *Client) avoid(p *peer, step string, cause error) {
	if time.Now().Before(p.avoidUntil) {
		return
	}

	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.avoidUntil = time.Now().Add(p.backoff)

	c.log.Warn().Str("event", "gatherer_avoided").Str("gatherer", p.instance.ID).Str("step", step).
		Int64("for_ms", p.backoff.Milliseconds()).Err(cause).Send()
}

// handleFailure handles an offer or a query without an answer: the peer gets no offers
// for a while, and a ping checks whether its session is lost. A session that answers
// stays open, since a busy CPU or one broken stream needn't fail its other queries.
func (c *Client) handleFailure(p *peer, s *yamux.Session, step string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed || p.session != s {
		return
	}

	c.avoid(p, step, cause)
	c.work.Go(func() { c.ping(p, s) })
}

// ping reports whether a session answers a ping, and drops it if not.
func (c *Client) ping(p *peer, s *yamux.Session) bool {
	if _, err := s.Ping(); err != nil {
		silent.Inc()
		c.drop(p, s, "ping", err)

		return false
	}

	return true
}

// drop closes a failed session and avoids its peer.
func (c *Client) drop(p *peer, s *yamux.Session, step string, cause error) {
	c.mu.Lock()

	if p.session == s {
		p.session = nil
		delete(c.retired, p)
		c.avoid(p, step, cause)
	}
	c.mu.Unlock()

	_ = s.Close()
}

// acquire counts a query in and returns the session for it, which is pinged while it
// has queries in progress.
func (c *Client) acquire(p *peer) (*yamux.Session, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := p.session
	if s == nil || c.closed {
		return nil, false
	}

	p.outstanding++

	if p.outstanding == 1 {
		c.work.Go(func() { c.monitor(p, s) })
	}

	return s, true
}

// release counts a query out, and closes the session of a retired peer after its last
// query.
func (c *Client) release(p *peer) {
	c.mu.Lock()

	p.outstanding--

	var unused *yamux.Session
	if p.outstanding == 0 && c.retired[p] {
		unused = p.session
		delete(c.retired, p)
	}
	c.mu.Unlock()

	if unused != nil {
		_ = unused.Close()
	}
}

// monitor pings a session until it has no queries in progress.
func (c *Client) monitor(p *peer, s *yamux.Session) {
	t := time.NewTicker(pingInterval)
	defer t.Stop()

	for range t.C {
		c.mu.Lock()
		done := p.outstanding == 0 || p.session != s || c.closed
		c.mu.Unlock()

		if done || !c.ping(p, s) {
			return
		}
	}
}

// handOver offers the request to one peer and returns its answer. If begun is false,
// the peer hasn't started the query and err says why.
func (c *Client) handOver(ctx context.Context, p *peer, r *serving.Request, route *domain.Route,
) (resp *serving.Response, begun bool, err error) {
	s, ok := c.acquire(p)
	if !ok {
		return nil, false, errors.New("no session")
	}
	defer c.release(p)

	stream, err := s.OpenStream()
	if err != nil {
		c.drop(p, s, "open stream", err)

		return nil, false, err
	}

	// Closing the stream cancels the query at the peer.
	defer func() { _ = stream.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	if err := c.sendOffer(ctx, p, s, stream, encodeOffer(p.instance.ID, c.self, r, route.Fingerprint())); err != nil {
		return nil, false, err
	}

	if err := frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_HandoverStart{HandoverStart: &pb.HandoverStart{}}}, frame.MaxRelayBytes); err != nil {
		// A part of the frame may have arrived.
		return nil, true, c.noAnswer(ctx, p, s, "start query", err)
	}

	f, err := frame.Read(stream, p.instance.ID, frame.MaxRelayBytes, c.frames)
	if err != nil {
		return nil, true, c.noAnswer(ctx, p, s, "await answer", err)
	}

	resp, err = decodeAnswer(p.instance.ID, r.ID, f.GetHandoverAnswer())

	return resp, true, err
}

// sendOffer sends the offer and waits for its acceptance.
func (c *Client) sendOffer(ctx context.Context, p *peer, s *yamux.Session, stream *yamux.Stream, offer *pb.PeerFrame) error {
	_ = stream.SetReadDeadline(time.Now().Add(acceptTimeout)) // A closed stream fails below.

	err := frame.Write(stream, offer, frame.MaxRelayBytes)
	if err == nil {
		var f *pb.PeerFrame

		f, err = frame.Read(stream, p.instance.ID, frame.MaxRelayBytes, c.frames)
		if err == nil && f.GetHandoverAccept() == nil {
			return c.handleRefusal(p, f.GetHandoverAnswer())
		}
	}

	if ctx.Err() != nil {
		return ctx.Err()
	}

	if err != nil {
		c.handleFailure(p, s, "offer", err)

		return err
	}

	c.mu.Lock()
	p.backoff = 0
	c.mu.Unlock()

	_ = stream.SetReadDeadline(time.Time{})

	// If ctx has ended, the reset may have removed the deadline that interrupts reads.
	if ctx.Err() != nil {
		return ctx.Err()
	}

	return nil
}

// handleRefusal returns why a peer didn't accept. One that is stopping, or that is
// another instance, gets no offers for a while.
func (c *Client) handleRefusal(p *peer, a *pb.HandoverAnswer) error {
	if a.GetRefusal() == nil {
		return &frame.Error{Peer: p.instance.ID, Reason: "neither an acceptance nor a refusal of the offer"}
	}

	e := refusal.FromProto(a.GetRefusal())

	if e.Code == domain.CodeStopping || e.Code == domain.CodeNotFound {
		c.mu.Lock()
		c.avoid(p, "offer", e)
		c.mu.Unlock()
	}

	return e
}

// noAnswer returns the error of a query that was started and has no answer.
func (c *Client) noAnswer(ctx context.Context, p *peer, s *yamux.Session, step string, cause error) error {
	code := domain.CodePeerUnavailable

	if ctx.Err() != nil {
		code = domain.CodeCancelled
	} else {
		c.handleFailure(p, s, step, cause)
	}

	return domain.Errorf(domain.FateUnknown, code, step, "no answer").WithPeer(p.instance.ID).WithCause(cause)
}

// decodeAnswer checks that an answer belongs to the request and returns its result.
func decodeAnswer(gatherer, requestID string, a *pb.HandoverAnswer) (*serving.Response, error) {
	switch {
	case a == nil || a.GetRequestId() != requestID:
		return nil, domain.Errorf(domain.FateUnknown, domain.CodeCorrupt, "check answer",
			"the answer is for request %q", a.GetRequestId()).WithPeer(gatherer)
	case a.GetRefusal() != nil:
		e := refusal.FromProto(a.GetRefusal())
		if e.Peer == "" {
			e.Peer = gatherer
		}

		return nil, e
	}

	return &serving.Response{
		Status: 200, Gathered: true, Signatures: a.GetSignatures(), Missing: int(a.GetMissing()), Body: a.GetBody(),
	}, nil
}
