package gatherer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/refusal"
	"primrosespring.example/internal/serving"
	"primrosespring.example/primrosed/internal/frame"
)

// Engine executes queries.
type Engine interface {
	// Prepare admits a request that another instance hands over; serve executes it.
	// fingerprint is that of the route there; Prepare fails if it differs here.
	Prepare(r *serving.Request, fingerprint uint64) (serve func(ctx context.Context) (*serving.Response, error), err error)
}

// Server serves queries that other instances hand over. It is safe for concurrent
// use.
type Server struct {
	log    zerolog.Logger
	self   string
	engine Engine
	// limit bounds the queries in progress for others.
	limit int

	queries sync.WaitGroup

	mu          sync.Mutex // Guards the fields below.
	outstanding int
	stopping    bool
}

// NewServer returns a server of the instance self for at most limit queries at a
// time.
func NewServer(log zerolog.Logger, self string, e Engine, limit int) *Server {
	return &Server{log: log, self: self, engine: e, limit: limit}
}

// Stop declines new queries and waits for those in progress until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()

	done := make(chan struct{})

	go func() {
		s.queries.Wait()
		close(done)
	}()

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return domain.Errorf(domain.FateUnknown, domain.CodeDeadline, "stop", "queries of other instances are still in progress")
	}
}

// Handle serves one query, whose offer has been read.
func (s *Server) Handle(ctx context.Context, peer string, offer *pb.HandoverOffer, stream *yamux.Stream) {
	r := decodeOffer(offer)

	serve, err := s.accept(offer, r)
	if err != nil {
		declined.Inc()
		s.log.Info().Str("event", "handover_declined").Str("request_id", r.ID).Str("handed_over_by", r.HandedOverBy).
			Str("reason", err.Error()).Send()
		s.answer(stream, r.ID, nil, err)

		return
	}
	defer s.release()

	if s.awaitStart(peer, stream) {
		taken.Inc()

		// The query is cancelled when the sender closes the stream.
		ctx, done := frame.CancelOnClose(ctx, stream)
		resp, err := serve(ctx)

		done()
		s.answer(stream, r.ID, resp, err)
	}
}

// accept checks an offer and counts its query in; the caller must call release unless
// it fails.
func (s *Server) accept(o *pb.HandoverOffer, r *serving.Request) (func(context.Context) (*serving.Response, error), error) {
	if o.GetInstanceId() != s.self {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "accept query", "this is instance %s, not %s", s.self, o.GetInstanceId())
	}

	if err := s.acquire(); err != nil {
		return nil, err
	}

	serve, err := s.engine.Prepare(r, o.GetRouteFingerprint())
	if err != nil {
		s.release()
	}

	return serve, err
}

func (s *Server) acquire() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.stopping:
		return domain.Errorf(domain.FateNotRun, domain.CodeStopping, "accept query", "the instance is stopping")
	case s.outstanding >= s.limit:
		return domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "accept query", "%d queries of other instances are in progress", s.outstanding)
	}

	s.outstanding++
	s.queries.Add(1)

	return nil
}

func (s *Server) release() {
	s.mu.Lock()
	s.outstanding--
	s.mu.Unlock()

	s.queries.Done()
}

// awaitStart sends the acceptance and reports whether the sender starts the query.
func (s *Server) awaitStart(from string, stream *yamux.Stream) bool {
	accept := &pb.PeerFrame{Body: &pb.PeerFrame_HandoverAccept{HandoverAccept: &pb.HandoverAccept{}}}
	if err := frame.Write(stream, accept, frame.MaxRelayBytes); err != nil {
		return false
	}

	_ = stream.SetReadDeadline(time.Now().Add(startTimeout)) // A closed stream fails below.

	f, err := frame.Read(stream, from, maxStartBytes, nil)
	if err != nil || f.GetHandoverStart() == nil {
		return false
	}

	_ = stream.SetReadDeadline(time.Time{})

	return true
}

// answer sends the result. A failure to send is only logged: the sender has closed the
// stream or, if the answer is too large for a frame, sees it end.
func (s *Server) answer(stream *yamux.Stream, requestID string, resp *serving.Response, err error) {
	a := &pb.HandoverAnswer{RequestId: requestID}

	if err != nil {
		a.Refusal = refusal.ToProto(err)
	} else {
		a.Body, a.Signatures, a.Missing = resp.Body, resp.Signatures, uint32(resp.Missing)
	}

	if err := frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_HandoverAnswer{HandoverAnswer: a}}, frame.MaxRelayBytes); err != nil {
		s.log.Debug().Str("event", "handover_answer_failed").Str("request_id", requestID).Err(err).Send()
	}
}
