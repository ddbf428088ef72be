package replica

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/memory"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/primrosed/internal/frame"
	"primrosespring.example/primrosed/internal/mux"
)

const (
	// noticeTimeout bounds the delivery of one notice, a new session included.
	noticeTimeout = 250 * time.Millisecond
	// maxNotified bounds the instances that are told at a time. In a larger fleet, those that
	// learn something tell maxRandom others, which spreads it fast, and the maxNext that follow
	// them by address, so that nobody is left out.
	maxNotified = 24
	maxRandom   = 4
	maxNext     = 4
	// noticePause is the time between two rounds of notices.
	noticePause = 50 * time.Millisecond
	// maxTold bounds the suspects in a message.
	maxTold = 128
)

var (
	noticesSent   = metrics.NewCounter(`primrose_suspect_notices_total`)
	noticesFailed = metrics.NewCounter(`primrose_suspect_notices_failed_total`)
)

// Suspects is what an instance knows of requests that end searchers.
type Suspects interface {
	// All returns the suspects to tell, the most important first.
	All(now time.Time) []quarantine.Suspect
	// Learn takes suspects that another instance told, and reports whether they were new.
	Learn(from string, suspects []quarantine.Suspect) bool
	// Cleared returns the strikes that came before an answer, to tell others.
	Cleared(now time.Time) []quarantine.Suspect
	// LearnCleared takes such strikes from another instance, and reports whether any of them
	// counted here.
	LearnCleared(from string, cleared []quarantine.Suspect) bool
}

// Notifier tells other instances at once what this one has learned of suspects. It is safe for
// concurrent use.
type Notifier struct {
	Log zerolog.Logger
	// Self and Address are this instance's id and peer address.
	Self, Address string
	Suspects      Suspects
	// Peers returns the peer addresses of the other instances.
	Peers func() []string
	// Send delivers a notice to the instance at an address, and returns its answer.
	Send func(ctx context.Context, address string, n *pb.SuspectNotice) (*pb.SuspectNotice, error)

	work sync.WaitGroup

	mu sync.Mutex // Guards the fields below.
	// next is closed at the end of the next round; nil if none is wanted.
	next chan struct{}
	// own says that the round is for something that this instance saw itself.
	own     bool
	running bool
	closed  bool
}

// Ask learns what a few other instances know, for an instance that has just started.
func (n *Notifier) Ask() {
	n.work.Go(func() {
		peers := n.targets(true)
		n.exchange(peers[:min(len(peers), maxFetches)], &pb.SuspectNotice{InstanceId: n.Self})
	})
}

// Notify starts a round of notices, or has another one follow that in progress. The channel is
// closed once the instances of that round know.
func (n *Notifier) Notify() <-chan struct{} { return n.notify(true) }

func (n *Notifier) notify(own bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.next == nil {
		n.next = make(chan struct{})
	}

	n.own = n.own || own

	if !n.running && !n.closed {
		n.running = true

		n.work.Go(n.run)
	}

	return n.next
}

// Close waits for the round in progress and starts no other.
func (n *Notifier) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()

	n.work.Wait()
}

// run does rounds until none is wanted.
func (n *Notifier) run() {
	for {
		n.mu.Lock()
		done, own := n.next, n.own
		n.next, n.own = nil, false

		if done == nil || n.closed {
			n.running = false
			n.mu.Unlock()

			return
		}
		n.mu.Unlock()

		n.round(n.targets(own))
		close(done)
		time.Sleep(noticePause)
	}
}

// targets returns the instances to tell. own says that this instance saw something itself.
func (n *Notifier) targets(own bool) []string {
	peers := n.Peers()

	if own || len(peers) <= maxNotified {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })

		return peers[:min(len(peers), maxNotified)]
	}

	slices.Sort(peers)

	next, _ := slices.BinarySearch(peers, n.Address)
	out := make([]string, 0, maxNext+maxRandom)

	for i := range maxNext {
		out = append(out, peers[(next+i)%len(peers)])
	}

	for range maxRandom {
		out = append(out, peers[rand.IntN(len(peers))])
	}

	slices.Sort(out)

	return slices.Compact(out)
}

// round tells instances.
func (n *Notifier) round(targets []string) {
	if notice := n.notice(); len(notice.GetSuspects())+len(notice.GetCleared()) > 0 {
		n.exchange(targets, notice)
	}
}

// notice returns what this instance knows.
func (n *Notifier) notice() *pb.SuspectNotice {
	now := time.Now()

	return &pb.SuspectNotice{
		InstanceId: n.Self, Suspects: encodeSuspects(n.Suspects.All(now)), Cleared: encodeSuspects(n.Suspects.Cleared(now)),
	}
}

// exchange sends instances a notice and learns what they know.
func (n *Notifier) exchange(targets []string, notice *pb.SuspectNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()

	var wg sync.WaitGroup

	for _, address := range targets {
		wg.Go(func() {
			noticesSent.Inc()

			answer, err := n.Send(ctx, address, notice)
			if err != nil {
				noticesFailed.Inc()
				n.Log.Info().Str("event", "notice_failed").Str("peer", address).Err(err).Send()

				return
			}

			n.learn(address, answer)
		})
	}

	wg.Wait()
}

// Handle takes a notice and returns the answer. If the notice has news for this instance and the
// sender hasn't told all of the fleet, others are told too.
func (n *Notifier) Handle(peer string, notice *pb.SuspectNotice) *pb.SuspectNotice {
	if n.learn(peer, notice) && len(n.Peers()) > maxNotified {
		n.notify(false)
	}

	return n.notice()
}

// learn takes another instance's notice and reports whether it was news.
func (n *Notifier) learn(peer string, notice *pb.SuspectNotice) bool {
	return learnSuspects(n.Log, n.Suspects, peer, notice.GetInstanceId(), notice.GetSuspects(), notice.GetCleared())
}

// SendNotice returns a function that delivers a notice over a session of its own. frames bounds
// the answers that are being read; nil sets no bound.
func SendNotice(dial http1.DialFunc, frames *memory.Budget) func(ctx context.Context, address string, notice *pb.SuspectNotice) (*pb.SuspectNotice, error) {
	return func(ctx context.Context, address string, notice *pb.SuspectNotice) (*pb.SuspectNotice, error) {
		session, err := mux.Dial(ctx, dial, address)
		if err != nil {
			return nil, err
		}

		stop := context.AfterFunc(ctx, func() { _ = session.Close() })

		defer func() {
			if stop() {
				_ = session.Close()
			}
		}()

		stream, err := session.OpenStream()
		if err != nil {
			return nil, err
		}

		f := &pb.PeerFrame{Body: &pb.PeerFrame_SuspectNotice{SuspectNotice: notice}}
		if err := frame.Write(stream, f, frame.MaxControlBytes); err != nil {
			return nil, err
		}

		if f, err = frame.Read(stream, address, frame.MaxControlBytes, frames); err != nil {
			return nil, err
		}

		if f.GetSuspectNotice() == nil {
			return nil, &frame.Error{Peer: address, Reason: "not an answer to a notice"}
		}

		return f.GetSuspectNotice(), nil
	}
}

// ServeNotice answers a notice.
func (n *Notifier) ServeNotice(peer string, notice *pb.SuspectNotice, stream io.Writer) {
	answer := &pb.PeerFrame{Body: &pb.PeerFrame_SuspectNotice{SuspectNotice: n.Handle(peer, notice)}}
	if err := frame.Write(stream, answer, frame.MaxControlBytes); err != nil {
		n.Log.Info().Str("event", "notice_not_answered").Str("peer", peer).Err(err).Send()
	}
}

func encodeSuspects(suspects []quarantine.Suspect) []*pb.Suspect {
	out := make([]*pb.Suspect, min(len(suspects), maxTold))

	for i := range out {
		s := &suspects[i]
		out[i] = &pb.Suspect{Content: s.Content[:], Route: s.Route, Strikes: make([]*pb.Strike, len(s.Strikes))}

		for j, k := range s.Strikes {
			out[i].Strikes[j] = &pb.Strike{InstanceId: k.Instance, Sequence: k.Sequence, AgeMs: uint64(k.Age.Milliseconds())}
		}
	}

	return out
}

// decodeSuspects returns the suspects of a message, or an error if one of them is invalid.
func decodeSuspects(list []*pb.Suspect) ([]quarantine.Suspect, error) {
	if len(list) > maxTold {
		return nil, errors.New("too many suspects")
	}

	out := make([]quarantine.Suspect, len(list))

	for i, s := range list {
		if len(s.GetContent()) != len(out[i].Content) {
			return nil, errors.New("the content of a suspect has another length")
		}

		out[i] = quarantine.Suspect{Content: quarantine.Digest(s.GetContent()), Route: s.GetRoute(), Strikes: make([]quarantine.Strike, len(s.GetStrikes()))}

		for j, k := range s.GetStrikes() {
			// An age that overflows is as good as none.
			age := time.Duration(min(k.GetAgeMs(), uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
			out[i].Strikes[j] = quarantine.Strike{Instance: k.GetInstanceId(), Sequence: k.GetSequence(), Age: age}
		}

		if err := out[i].Validate(); err != nil {
			return nil, err
		}
	}

	return out, nil
}

// learnSuspects takes what the instance from, at an address, has told, and reports whether it was
// news. It takes nothing of a message that is invalid.
func learnSuspects(log zerolog.Logger, known Suspects, address, from string, list, clearedList []*pb.Suspect) bool {
	suspects, err := decodeSuspects(list)

	var cleared []quarantine.Suspect
	if err == nil {
		cleared, err = decodeSuspects(clearedList)
	}

	if err != nil {
		log.Warn().Str("event", "suspects_refused").Str("peer", address).Err(err).Send()

		return false
	}

	news := known.LearnCleared(from, cleared)

	return known.Learn(from, suspects) || news
}

// learnSuspects takes what another instance told in an exchange of positions.
func (p *Positions) learnSuspects(address, from string, list, cleared []*pb.Suspect) {
	if p.Suspects != nil {
		learnSuspects(p.Log, p.Suspects, address, from, list, cleared)
	}
}

// suspects returns the suspects, and the strikes that came before an answer.
func (p *Positions) suspects() (list, cleared []*pb.Suspect) {
	if p.Suspects == nil {
		return nil, nil
	}

	now := time.Now()

	return encodeSuspects(p.Suspects.All(now)), encodeSuspects(p.Suspects.Cleared(now))
}
