package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
	"primrosespring.example/primrosed/internal/frame"
)

// maxVersionWait bounds a holder's wait for the configuration version that the
// sender of a relayed request used.
const maxVersionWait = 500 * time.Millisecond

// RelaySearch sends a whole query to another instance, which runs it within
// timeout on configuration version or a later one, and returns its answer. Errors
// are of type *domain.Error; the fate is not run if the request wasn't sent.
func (m *Mesh) RelaySearch(ctx context.Context, to domain.Instance, version uint64, timeout time.Duration,
	queryID string, req *pb.SearchRequest,
) (*pb.SearchResponse, error) {
	f, err := m.request(ctx, to, &pb.PeerFrame{Body: &pb.PeerFrame_RelaySearch{RelaySearch: &pb.RelaySearch{
		Request: req, TimeoutUs: uint64(max(timeout, 0).Microseconds()), ConfigurationVersion: version, QueryId: queryID,
	}}})
	if err != nil {
		return nil, err
	}

	a := f.GetRelaySearchAnswer()

	content, err := checkAnswer(to, queryID, a.GetQueryId(), a.GetRefusal(), a.GetResponse(), a.GetChecksum())
	if err != nil {
		return nil, err
	}

	resp := &pb.SearchResponse{}
	if err := proto.Unmarshal(content, resp); err != nil {
		return nil, corruptAnswer(to, err)
	}

	if resp.GetRequestId() != req.GetRequestId() {
		return nil, corruptAnswer(to, errors.New("the answer is for another request"))
	}

	return resp, nil
}

// RelayExecute sends a non-repeatable request to another instance, which runs it
// within timeout. Errors are of type *domain.Error; the fate is not run only if the
// request wasn't sent or the other instance reports that fate.
func (m *Mesh) RelayExecute(ctx context.Context, to domain.Instance, version uint64, timeout time.Duration,
	queryID string, req *pb.ExecuteRequest,
) (*pb.ExecuteResponse, error) {
	f, err := m.request(ctx, to, &pb.PeerFrame{Body: &pb.PeerFrame_RelayExecute{RelayExecute: &pb.RelayExecute{
		Request: req, TimeoutUs: uint64(max(timeout, 0).Microseconds()), ConfigurationVersion: version, QueryId: queryID,
	}}})
	if err != nil {
		return nil, err
	}

	a := f.GetRelayExecuteAnswer()

	content, err := checkAnswer(to, queryID, a.GetQueryId(), a.GetRefusal(), a.GetResponse(), a.GetChecksum())
	if err != nil {
		return nil, err
	}

	resp := &pb.ExecuteResponse{}
	if err := proto.Unmarshal(content, resp); err != nil {
		return nil, corruptAnswer(to, err)
	}

	if resp.GetKey() != req.GetKey() {
		return nil, corruptAnswer(to, errors.New("the answer is for another key"))
	}

	return resp, nil
}

// ApplyClaim sends an operation on a claim to the owner of its bucket and
// returns the owner's decision. The fate of an error is not run only if the
// operation wasn't sent or the owner reports that fate.
func (m *Mesh) ApplyClaim(ctx context.Context, owner domain.Instance, op claims.Operation) (claims.Result, error) {
	data, err := json.Marshal(op)
	if err != nil {
		return claims.Result{}, domain.Errorf(domain.FateNotRun, domain.CodeInternal, "forward claim", "%v", err)
	}

	timeout := requestTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = time.Until(d)
	}

	f, err := m.request(ctx, owner, &pb.PeerFrame{Body: &pb.PeerFrame_ClaimApply{ClaimApply: &pb.ClaimApply{
		Operation: data, TimeoutUs: uint64(max(timeout, 0).Microseconds()), QueryId: op.ClaimID,
	}}})
	if err != nil {
		return claims.Result{}, err
	}

	a := f.GetClaimApplyAnswer()

	content, err := checkAnswer(owner, op.ClaimID, a.GetQueryId(), a.GetRefusal(), a.GetResult(), a.GetChecksum())
	if err != nil {
		return claims.Result{}, err
	}

	var result claims.Result
	if err := json.Unmarshal(content, &result); err != nil {
		return claims.Result{}, corruptAnswer(owner, err)
	}

	return result, nil
}

// request sends a frame on the relay session with an instance and returns the
// answer.
func (m *Mesh) request(ctx context.Context, to domain.Instance, req *pb.PeerFrame) (*pb.PeerFrame, error) {
	s, err := m.relaySession(ctx, to)
	if err != nil {
		return nil, unavailable(ctx, to, domain.FateNotRun, "connect to peer", err)
	}

	s.outstanding.Add(1)
	s.lastUsed.Store(time.Now().UnixNano())

	defer func() {
		s.outstanding.Add(-1)
		s.lastUsed.Store(time.Now().UnixNano())
	}()

	f, sent, err := m.exchange(ctx, s, req, frame.MaxRelayBytes)
	if err == nil {
		return f, nil
	}

	fate := domain.FateNotRun
	if sent {
		fate = domain.FateUnknown
	}

	return nil, unavailable(ctx, to, fate, "relay request", err)
}

func unavailable(ctx context.Context, to domain.Instance, fate domain.Fate, step string, cause error) error {
	code := domain.CodePeerUnavailable

	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = domain.CodeDeadline
	case ctx.Err() != nil:
		code = domain.CodeCancelled
	}

	return &domain.Error{Fate: fate, Code: code, Step: step, Peer: to.ID, Message: "no answer", Cause: cause}
}

// checkAnswer returns content if the answer belongs to query want and its checksum
// matches; a refusal becomes the error.
func checkAnswer(from domain.Instance, want, got string, r *pb.Refusal, content []byte, checksum uint64) ([]byte, error) {
	switch {
	case want != got:
		return nil, corruptAnswer(from, errors.New("the answer is for query "+got))
	case r != nil:
		e := refusal.FromProto(r)
		if e.Peer == "" {
			e.Peer = from.ID
		}

		return nil, e
	case integrity.RelayChecksum(want, content) != checksum:
		return nil, corruptAnswer(from, errors.New("the checksum differs"))
	}

	return content, nil
}

func corruptAnswer(from domain.Instance, cause error) error {
	return &domain.Error{
		Fate: domain.FateUnknown, Code: domain.CodeCorrupt, Step: "check relayed answer", Peer: from.ID,
		Message: "corrupt answer", Cause: cause,
	}
}

// answerRelay runs a relayed request and sends its answer. The request is
// cancelled when the peer closes the stream.
func (m *Mesh) answerRelay(ctx context.Context, s *session, stream *yamux.Stream, f *pb.PeerFrame) error {
	ctx, done := frame.CancelOnClose(ctx, stream)
	defer done()

	answer := &pb.PeerFrame{Id: f.GetId()}
	start := time.Now()

	switch b := f.GetBody().(type) {
	case *pb.PeerFrame_RelaySearch:
		content, err := m.runSearch(ctx, s, b.RelaySearch)
		a := &pb.RelaySearchAnswer{QueryId: b.RelaySearch.GetQueryId(), ElapsedUs: uint64(time.Since(start).Microseconds())}
		a.Response, a.Refusal, a.Checksum = answerFields(a.GetQueryId(), content, err)
		answer.Body = &pb.PeerFrame_RelaySearchAnswer{RelaySearchAnswer: a}
	case *pb.PeerFrame_RelayExecute:
		content, err := m.runExecute(ctx, s, b.RelayExecute)
		a := &pb.RelayExecuteAnswer{QueryId: b.RelayExecute.GetQueryId()}
		a.Response, a.Refusal, a.Checksum = answerFields(a.GetQueryId(), content, err)
		answer.Body = &pb.PeerFrame_RelayExecuteAnswer{RelayExecuteAnswer: a}
	case *pb.PeerFrame_ClaimApply:
		content, err := m.runClaim(ctx, b.ClaimApply)
		a := &pb.ClaimApplyAnswer{QueryId: b.ClaimApply.GetQueryId()}
		a.Result, a.Refusal, a.Checksum = answerFields(a.GetQueryId(), content, err)
		answer.Body = &pb.PeerFrame_ClaimApplyAnswer{ClaimApplyAnswer: a}
	}

	err := frame.Write(stream, answer, frame.MaxRelayBytes)

	var fe *frame.Error
	if !errors.As(err, &fe) {
		return err
	}

	// The answer is too large for a frame: send an error in its place.
	tooLarge := domain.Errorf(domain.FateRan, domain.CodeInternal, "answer relayed request", "%v", fe)
	a := &pb.RelaySearchAnswer{QueryId: f.GetRelaySearch().GetQueryId(), Refusal: refusal.ToProto(tooLarge)}
	answer.Body = &pb.PeerFrame_RelaySearchAnswer{RelaySearchAnswer: a}

	return frame.Write(stream, answer, frame.MaxRelayBytes)
}

// answerFields returns the content, refusal and checksum of an answer.
func answerFields(queryID string, content []byte, err error) ([]byte, *pb.Refusal, uint64) {
	if err != nil {
		return nil, refusal.ToProto(err), 0
	}

	return content, nil, integrity.RelayChecksum(queryID, content)
}

// runSearch runs a relayed query here and never relays it again.
func (m *Mesh) runSearch(ctx context.Context, s *session, r *pb.RelaySearch) ([]byte, error) {
	return m.runRelayed(ctx, s, r.GetTimeoutUs(), r.GetConfigurationVersion(),
		func(ctx context.Context, cfg *domain.Configuration) (proto.Message, error) {
			return m.runner.Search(ctx, cfg, r.GetRequest())
		})
}

func (m *Mesh) runExecute(ctx context.Context, s *session, r *pb.RelayExecute) ([]byte, error) {
	return m.runRelayed(ctx, s, r.GetTimeoutUs(), r.GetConfigurationVersion(),
		func(ctx context.Context, cfg *domain.Configuration) (proto.Message, error) {
			return m.executor.Execute(ctx, cfg, r.GetRequest())
		})
}

// runRelayed runs a relayed request on a configuration that is at least as new
// as the sender's, and returns the marshalled answer.
func (m *Mesh) runRelayed(ctx context.Context, s *session, timeoutUS, version uint64,
	run func(context.Context, *domain.Configuration) (proto.Message, error),
) ([]byte, error) {
	if err := m.begin("run relayed request"); err != nil {
		return nil, err
	}
	defer m.end()

	timeout := time.Duration(min(timeoutUS, uint64(domain.MaxTimeoutMS)*1000)) * time.Microsecond

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	wait, stop := context.WithTimeout(ctx, min(maxVersionWait, timeout/2))
	err := m.awaitVersion(wait, s, version)

	stop()

	if err != nil {
		return nil, err
	}

	resp, err := run(ctx, m.options.Keeper.Configuration())
	if err != nil {
		return nil, err
	}

	return proto.Marshal(resp)
}

func (m *Mesh) runClaim(ctx context.Context, c *pb.ClaimApply) ([]byte, error) {
	if err := m.begin("apply claim"); err != nil {
		return nil, err
	}
	defer m.end()

	var op claims.Operation
	if err := json.Unmarshal(c.GetOperation(), &op); err != nil {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "apply claim", "%v", err)
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(min(c.GetTimeoutUs(), uint64(domain.MaxTimeoutMS)*1000))*time.Microsecond)
	defer cancel()

	result, err := m.executor.Apply(ctx, op)
	if err != nil {
		return nil, err
	}

	return json.Marshal(result)
}

// begin counts a relayed request as in progress, or refuses it so that the sender
// tries another instance.
func (m *Mesh) begin(step string) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	switch {
	case m.draining:
		return domain.Errorf(domain.FateNotRun, domain.CodeStopping, step, "the instance is stopping")
	case !m.ready || m.runner == nil:
		return domain.Errorf(domain.FateNotRun, domain.CodeNotReady, step, "the instance isn't ready")
	}

	m.inProgress++

	return nil
}

func (m *Mesh) end() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.inProgress--
	if m.draining && m.inProgress == 0 {
		close(m.drained)
	}
}

func (m *Mesh) inProgressCount() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return uint32(m.inProgress)
}

// Drain refuses new relayed requests as not run and waits until those in progress
// have finished. It returns an error if ctx ends first.
func (m *Mesh) Drain(ctx context.Context) error {
	m.mu.Lock()

	if !m.draining {
		m.draining = true
		if m.inProgress == 0 {
			close(m.drained)
		}
	}
	m.mu.Unlock()

	select {
	case <-m.drained:
		return nil
	case <-ctx.Done():
		return domain.Errorf(domain.FateUnknown, domain.CodeDeadline, "drain", "%d relayed requests are still in progress", m.inProgressCount())
	}
}
