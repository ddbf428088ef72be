package replica

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/leaving"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/quota"
	"primrosespring.example/primrosed/internal/allocator"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/mux"
)

const (
	// askTimeout bounds one exchange. The longest round trip between failure domains
	// takes 10 ms and a new session three of them; the rest allows for a busy CPU.
	askTimeout = 300 * time.Millisecond
	// avoidTime is how long a reader that didn't answer isn't asked again. Processes
	// are restarted within a second or two.
	avoidTime = 2 * time.Second
)

var (
	positionsAsked  = metrics.NewCounter(`primrose_positions_asked_total`)
	positionsFailed = metrics.NewCounter(`primrose_positions_failed_total`)
)

// Followed is a collection whose position instances confirm to one another; see
// follower.Follower.
type Followed interface {
	Confirm(p follower.Position, asked time.Time) bool
	Rely() follower.Position
	Revision() follower.Revision
	// Tell adds the changes after a revision to this instance's position.
	Tell(p *pb.CollectionPosition, revision follower.Revision) error
	// Take passes on the changes after the revision from that another instance told, with its
	// position, in answer to a question sent at the time asked.
	Take(p *pb.CollectionPosition, from follower.Revision, position follower.Position, asked time.Time) error
}

// LeavingSigns is what an instance knows of searchers that leave.
type LeavingSigns interface {
	// All returns the signs to tell.
	All(now time.Time) []leaving.Sign
	// Learn takes the signs that another instance told.
	Learn(from string, signs []leaving.Sign)
}

// Positions asks a reader at intervals how far it has followed the collections, and
// answers the instances that ask this one. Readers come from package placement. The same
// exchange carries the questions of package quota; the reader is the allocator.
type Positions struct {
	Log zerolog.Logger
	// Self is this instance's id.
	Self string
	Dial http1.DialFunc
	// Frames bounds the answers that are being read; nil sets no bound.
	Frames *memory.Budget
	// Interval is the time between two questions.
	Interval time.Duration
	// Era learns the eras of the store that other instances know of; nil if nobody wants them.
	Era *follower.Era
	// Followed holds the collections by name.
	Followed map[string]Followed
	// InForce returns the version of the configuration in force here, and CatchUp takes the one of
	// another instance, which is later; nil if versions aren't told.
	InForce func() uint64
	CatchUp func(ctx context.Context, address string)
	// Settlement knows whether the store holds all that it had acknowledged; nil if nobody asks.
	Settlement *follower.Settlement
	// Evacuations takes and tells the evacuations that the store may have lost; nil if there are none.
	Evacuations EvacuationKeeper
	// Budgets takes and tells what was used of the budgets of extra attempts; nil if nobody asks.
	Budgets BudgetKeeper
	// Others returns the peer addresses of other instances; nil if only the readers are known.
	Others func() []string
	// Quota asks the first reader that answers for permits; nil asks for none.
	Quota *quota.Table
	// Signs takes and tells which searchers leave; nil if there is none.
	Signs LeavingSigns
	// Suspects takes and tells which requests end searchers; nil if there is none.
	Suspects Suspects
	// OnLimits is called with the changes of searchers' limits that other instances know of;
	// from is the instance that told them.
	OnLimits func(from string, changes []quota.Learned)

	readers atomic.Pointer[[]domain.Instance]
	// The fields below belong to Run.
	sessions map[string]*yamux.Session
	avoided  map[string]time.Time
	// silent holds the peer addresses that didn't answer askWitnesses, with the time until which they aren't
	// asked again.
	silent map[string]time.Time
	// reader is the id of the reader that answered last; empty if none did.
	reader string
	// ahead is the version in force at a reader that was later than this instance's in the last
	// round; 0 if there was none.
	ahead uint64
	// evacuationAnswers and budgetAnswers count the answers of other instances about these.
	evacuationAnswers, budgetAnswers int
}

// SetReaders replaces the instances to ask, in their order.
func (p *Positions) SetReaders(readers []domain.Instance) { p.readers.Store(&readers) }

// Run asks until ctx ends. Without an Interval it doesn't ask.
func (p *Positions) Run(ctx context.Context) {
	if p.Interval <= 0 {
		return
	}

	p.sessions, p.avoided, p.silent = make(map[string]*yamux.Session), make(map[string]time.Time), make(map[string]time.Time)

	defer func() {
		for _, s := range p.sessions {
			_ = s.Close()
		}
	}()

	// Spreads the questions of instances that start together.
	t := time.NewTimer(rand.N(max(p.Interval, 1)))
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-p.wake():
		case <-ctx.Done():
			return
		}

		if reader := p.round(ctx); reader != p.reader {
			p.reader = reader
			p.Log.Info().Str("event", "reader").Str("reader", reader).Send()
		}

		t.Reset(p.interval())
	}
}

// wake receives when permits are wanted before the interval is over.
func (p *Positions) wake() <-chan struct{} {
	if p.Quota == nil {
		return nil
	}

	return p.Quota.Wake()
}

// interval returns the time until the next question.
func (p *Positions) interval() time.Duration {
	if p.Quota != nil && p.Quota.Busy() {
		return min(p.Interval, quota.AskInterval)
	}

	return p.Interval
}

// round asks the readers until one confirms every collection, and returns its id. It
// returns an empty id if none does, or if this instance is the first that can.
func (p *Positions) round(ctx context.Context) string {
	readers := p.readers.Load()
	if readers == nil {
		return ""
	}

	p.dropOthers(*readers)
	p.askWitnesses(ctx, *readers)

	// allocated says that a reader has answered a question for permits.
	allocated := p.Quota == nil

	var unbacked func()

	defer func() {
		switch {
		case allocated:
		case unbacked != nil:
			unbacked()
		default:
			p.allocate()
		}
	}()

	confirmedBy, ahead := "", uint64(0)
	defer func() { p.ahead = ahead }()

	for _, r := range *readers {
		if r.ID == p.Self {
			return confirmedBy
		}

		if time.Now().Before(p.avoided[r.ID]) {
			continue
		}

		asked := time.Now()
		request := &pb.PositionRequest{Leaving: p.leavingSigns(), Known: p.known()}
		request.Suspects, request.Cleared = p.suspects()

		if !allocated {
			question := p.Quota.Ask(asked, r.ID)
			request.Permits = allocator.EncodeQuestion(&question)
		}

		answer, err := p.ask(ctx, r.PeerAddress, request)
		if err == nil && !allocated && answer.GetPermits() != nil {
			if answer.GetPermits().GetBacked() || !p.Quota.Capped() {
				allocated, err = true, p.takePermits(r, asked, answer.GetPermits())
			} else if unbacked == nil {
				// One that lacks the loans of others leaves the question to the next, which
				// may have them, and gets this one's if none has.
				unbacked = func() { _ = p.takePermits(r, asked, answer.GetPermits()) }
			}
		}

		if err != nil {
			p.avoid(ctx, r, err)

			continue
		}

		p.learnLeaving(r.PeerAddress, r.ID, answer.GetLeaving())
		p.learnSuspects(r.PeerAddress, r.ID, answer.GetSuspects(), answer.GetCleared())

		p.learnRecovery(ctx, r.PeerAddress, answer, asked)

		ahead = max(ahead, p.catchUp(ctx, r.PeerAddress, answer.GetConfigurationVersion()))

		if p.confirm(answer, request.GetKnown(), asked) && confirmedBy == "" {
			confirmedBy = r.ID
		}

		if confirmedBy != "" && allocated {
			return confirmedBy
		}
	}

	return confirmedBy
}

// catchUp takes the configuration of another instance if a later version than this one's has been in
// force there since the last round. It isn't among the changes that the store has: the store has come
// back from an older copy, and this instance has started since. It returns the version if that is so, or
// may be.
func (p *Positions) catchUp(ctx context.Context, address string, version uint64) (ahead uint64) {
	if p.InForce == nil || version <= p.InForce() {
		return 0
	}

	if p.ahead >= version {
		p.CatchUp(ctx, address)
	}

	return version
}

// allocate gives this instance permits of its own share, which it uses itself if no reader
// before it answers.
func (p *Positions) allocate() {
	now := time.Now()
	answer, _ := p.Quota.Grant(now, p.Quota.Ask(now, p.Self)) // It knows nothing else.
	p.Quota.Apply(now, now, p.Self, answer)
}

// takePermits takes the answer to a question for permits.
func (p *Positions) takePermits(r domain.Instance, asked time.Time, a *pb.PermitAnswer) error {
	answer, err := allocator.DecodeAnswer(a)
	if err != nil {
		return &frame.Error{Peer: r.PeerAddress, Reason: "invalid permits", Cause: err}
	}

	p.learned(r.ID, p.Quota.Apply(time.Now(), asked, r.ID, answer))

	return nil
}

func (p *Positions) learned(from string, changes []quota.Learned) {
	if len(changes) > 0 && p.OnLimits != nil {
		p.OnLimits(from, changes)
	}
}

// dropOthers closes the sessions to instances that are readers no more.
func (p *Positions) dropOthers(readers []domain.Instance) {
	for address, s := range p.sessions {
		if !slices.ContainsFunc(readers, func(r domain.Instance) bool { return r.PeerAddress == address }) {
			_ = s.Close()

			delete(p.sessions, address)
		}
	}

	maps.DeleteFunc(p.avoided, func(id string, _ time.Time) bool {
		return !slices.ContainsFunc(readers, func(r domain.Instance) bool { return r.ID == id })
	})
}

// avoid closes the session to a reader that didn't answer.
func (p *Positions) avoid(ctx context.Context, r domain.Instance, err error) {
	if ctx.Err() != nil {
		return
	}

	positionsFailed.Inc()

	if s := p.sessions[r.PeerAddress]; s != nil {
		_ = s.Close()

		delete(p.sessions, r.PeerAddress)
	}

	p.avoided[r.ID] = time.Now().Add(avoidTime)
	p.Log.Info().Str("event", "reader_avoided").Str("reader", r.ID).Int64("for_ms", avoidTime.Milliseconds()).Err(err).Send()
}

// known returns how far this instance has followed the collections.
func (p *Positions) known() []*pb.CollectionPosition {
	out := make([]*pb.CollectionPosition, 0, len(p.Followed))

	for name, f := range p.Followed {
		at := f.Revision()
		out = append(out, &pb.CollectionPosition{Collection: name, Revision: at.Number, Era: at.Era})
	}

	return out
}

// knownOf returns the revision of a collection in a list, if it is there.
func knownOf(list []*pb.CollectionPosition, collection string) (revision follower.Revision, ok bool) {
	for _, c := range list {
		if c.GetCollection() == collection {
			return revisionOf(c), true
		}
	}

	return follower.Revision{}, false
}

// confirm passes the positions on, with the changes after the known revisions, and reports
// whether every collection was confirmed.
func (p *Positions) confirm(a *pb.PositionAnswer, known []*pb.CollectionPosition, asked time.Time) bool {
	p.learnEras(a.GetPositions())

	confirmed := 0

	for _, c := range a.GetPositions() {
		f, ok := p.Followed[c.GetCollection()]
		if !ok {
			continue
		}

		// An age that overflows is as good as none.
		age := milliseconds(c.GetAgeMs())
		position := follower.Position{
			Changed: follower.Revision{Era: c.GetChangedEra(), Number: c.GetChangedRevision()}, Age: age,
		}

		if from, ok := knownOf(known, c.GetCollection()); ok && revisionOf(c).After(from) {
			if err := f.Take(c, from, position, asked); err != nil {
				p.Log.Warn().Str("event", "changes_refused").Str("collection", c.GetCollection()).Err(err).Send()
			}
		}

		if f.Confirm(position, asked) {
			confirmed++
		}
	}

	return confirmed == len(p.Followed)
}

// learnEras takes the eras of another instance's positions, so that one that can't reach the store
// learns of its return from an older copy.
func (p *Positions) learnEras(list []*pb.CollectionPosition) {
	if p.Era == nil {
		return
	}

	for _, c := range list {
		if era := max(c.GetEra(), c.GetChangedEra()); era > 0 {
			p.Era.Learn(era)
		}
	}
}

// ask sends one question over the session to an instance, which it opens if there is none.
func (p *Positions) ask(ctx context.Context, address string, q *pb.PositionRequest) (*pb.PositionAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	positionsAsked.Inc()

	session := p.sessions[address]
	if session == nil || session.IsClosed() {
		var err error
		if session, err = mux.Dial(ctx, p.Dial, address); err != nil {
			return nil, err
		}

		p.sessions[address] = session
	}

	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}

	defer func() { _ = stream.Close() }()

	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, err
	}

	request := &pb.PeerFrame{Body: &pb.PeerFrame_PositionRequest{PositionRequest: q}}
	if err := frame.Write(stream, request, frame.MaxControlBytes); err != nil {
		return nil, err
	}

	f, err := frame.Read(stream, address, frame.MaxControlBytes, p.Frames)
	if err != nil {
		return nil, err
	}

	if f.GetPositionAnswer() == nil {
		return nil, &frame.Error{Peer: address, Reason: "not an answer to a question for positions"}
	}

	return f.GetPositionAnswer(), nil
}

// Handle answers one question.
func (p *Positions) Handle(peer string, q *pb.PositionRequest, stream io.Writer) {
	p.learnLeaving(peer, peer, q.GetLeaving())
	p.learnSuspects(peer, peer, q.GetSuspects(), q.GetCleared())
	p.learnEras(q.GetKnown())

	if q.GetRecoveryOnly() {
		a := &pb.PositionAnswer{}
		p.addRecovery(a)

		if q.GetBudgets() && p.Budgets != nil {
			a.Budgets = encodeBudgets(p.Budgets.BudgetUses())
		}

		p.answer(peer, a, stream)

		return
	}

	a := &pb.PositionAnswer{Permits: p.grant(peer, q.GetPermits()), Leaving: p.leavingSigns()}
	a.Suspects, a.Cleared = p.suspects()
	p.addRecovery(a)

	for name, f := range p.Followed {
		at := f.Rely()
		c := &pb.CollectionPosition{
			Collection: name, ChangedRevision: at.Changed.Number, ChangedEra: at.Changed.Era, AgeMs: uint64(max(at.Age, 0).Milliseconds()),
		}

		if known, ok := knownOf(q.GetKnown(), name); ok && !known.IsZero() {
			if err := f.Tell(c, known); err != nil {
				p.Log.Warn().Str("event", "changes_not_told").Str("collection", name).Str("peer", peer).Err(err).Send()
			}
		}

		a.Positions = append(a.Positions, c)
	}

	p.answer(peer, a, stream)
}

// answer sends an answer.
func (p *Positions) answer(peer string, a *pb.PositionAnswer, stream io.Writer) {
	err := frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_PositionAnswer{PositionAnswer: a}}, frame.MaxControlBytes)
	if err != nil {
		p.Log.Info().Str("event", "position_not_given").Str("peer", peer).Err(err).Send()
	}
}

// grant answers a question for permits; nil if there is none, or an invalid one.
func (p *Positions) grant(peer string, q *pb.PermitQuestion) *pb.PermitAnswer {
	if q == nil || p.Quota == nil {
		return nil
	}

	question, err := allocator.DecodeQuestion(q)
	if err != nil {
		p.Log.Warn().Str("event", "permit_question_refused").Str("peer", peer).Err(err).Send()

		return nil
	}

	answer, changes := p.Quota.Grant(time.Now(), question)
	p.learned(question.Instance, changes)

	return allocator.EncodeAnswer(&answer)
}

// leavingSigns returns what this instance tells of searchers that leave.
func (p *Positions) leavingSigns() []*pb.LeavingSign {
	if p.Signs == nil {
		return nil
	}

	return encodeLeaving(p.Signs.All(time.Now()))
}

// learnLeaving takes what the instance from, at an address, tells of searchers that leave. An
// invalid sign discards all of the message.
func (p *Positions) learnLeaving(address, from string, list []*pb.LeavingSign) {
	if p.Signs == nil || len(list) == 0 {
		return
	}

	signs, err := decodeLeaving(list)
	if err != nil {
		p.Log.Warn().Str("event", "leaving_signs_refused").Str("peer", address).Err(err).Send()

		return
	}

	p.Signs.Learn(from, signs)
}
