package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

const (
	simulatedStep = 50 * time.Millisecond
	oneWayDelay   = 4 * time.Millisecond
	// sessionGrace is how long a session stays that neither end wants.
	sessionGrace = 5 * time.Second
	// redialDelay is the time to a new session after a silent one was closed.
	redialDelay = time.Second
	// frameOverhead is the length of a frame and the yamux header.
	frameOverhead = 4 + 12
)

// simulated is one instance of a simulated fleet.
type simulated struct {
	*Table

	silent bool                 // Neither sends nor receives, and connections to it hang.
	side   int                  // Sides of a partition don't reach each other.
	links  map[string]time.Time // By peer, with the time of opening.
	redial map[string]time.Time
	frames int
	bytes  int
	// states counts the changes to each state that this instance saw.
	states map[State]int
}

func (s *simulated) linked(peer string) bool {
	_, ok := s.links[peer]

	return ok
}

type delivery struct {
	at   time.Time
	seq  int
	call func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]

	return x
}

// fleet drives tables the way the peer adapter does, on a simulated clock.
type fleet struct {
	now   time.Time
	rng   *rand.Rand
	all   map[string]*simulated
	order []string
	queue deliveries
	seq   int
	// badLink names two instances that don't reach each other.
	badLink [2]string
	loss    float64 // The share of frames that are lost.
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), all: make(map[string]*simulated)}
	for i := range n {
		f.add(fmt.Sprintf("entry-%03d", i), i%6, 1)
	}

	return f
}

func (f *fleet) add(id string, domainNumber int, incarnation uint64) *simulated {
	in := domain.Instance{
		ID: id, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+len(f.order)),
		FailureDomain: fmt.Sprintf("fd-%d", domainNumber), Region: fmt.Sprintf("region-%d", domainNumber/3),
	}
	s := &simulated{
		Table: New(in, incarnation, rand.New(rand.NewPCG(uint64(len(f.order)), 2))),
		links: make(map[string]time.Time), redial: make(map[string]time.Time), states: make(map[State]int),
	}
	f.all[id] = s
	f.order = append(f.order, id)

	return s
}

func (f *fleet) reaches(a, b string) bool {
	x, y := f.all[a], f.all[b]

	bad := f.badLink == [2]string{a, b} || f.badLink == [2]string{b, a}

	return !x.silent && !y.silent && x.side == y.side && !bad
}

func (f *fleet) after(d time.Duration, call func()) {
	f.seq++
	heap.Push(&f.queue, delivery{f.now.Add(d), f.seq, call})
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simulatedStep) {
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			heap.Pop(&f.queue).(delivery).call()
		}

		for _, id := range f.order {
			s := f.all[id]
			if s.silent {
				continue
			}

			f.perform(id, s.Tick(f.now))
			f.dial(id)
		}
	}
}

// dial opens the sessions that are missing: to neighbours, or to the first
// instance as the seed. It closes those that neither end wants.
func (f *fleet) dial(id string) {
	want := f.all[id].View().Neighbours

	for peer, opened := range f.all[id].links {
		if f.now.Sub(opened) > sessionGrace && !wants(f.all[id], peer) && f.reaches(id, peer) && !wants(f.all[peer], id) {
			f.disconnect(id, peer)
		}
	}

	if len(want) == 0 {
		want = []domain.Instance{f.all[f.order[0]].Self().Instance}
	}

	for _, n := range want {
		if n.ID == id || f.all[id].linked(n.ID) || !f.reaches(id, n.ID) || f.now.Before(f.all[id].redial[n.ID]) {
			continue
		}

		f.connect(id, n.ID)
	}
}

func wants(s *simulated, peer string) bool {
	return slices.ContainsFunc(s.View().Neighbours, func(in domain.Instance) bool { return in.ID == peer })
}

func (f *fleet) connect(a, b string) {
	x, y := f.all[a], f.all[b]
	x.links[b], y.links[a] = f.now, f.now
	xs, ys, xd, yd := x.Self(), y.Self(), x.Digest(), y.Digest()
	f.perform(a, x.Connected(f.now, ys, yd, true))
	f.perform(b, y.Connected(f.now, xs, xd, false))
}

func (f *fleet) disconnect(a, b string) {
	delete(f.all[a].links, b)
	f.all[a].Disconnected(b)

	if f.reaches(a, b) {
		delete(f.all[b].links, a)
		f.all[b].Disconnected(a)
	}
}

func (f *fleet) perform(id string, r Result) {
	s := f.all[id]
	for _, c := range r.Changes {
		s.states[c.Record.State]++
	}

	for _, peer := range r.Reset {
		f.disconnect(id, peer)
		s.redial[peer] = f.now.Add(redialDelay)
	}

	for _, o := range r.Send {
		s.frames++
		s.bytes += proto.Size(o.Frame) + frameOverhead

		if f.rng.Float64() < f.loss {
			continue
		}

		f.after(oneWayDelay, func() { f.receive(id, o) })
	}
}

func (f *fleet) receive(from string, o Outbound) {
	s := f.all[o.To]
	if !f.reaches(from, o.To) || !s.linked(from) {
		return
	}

	switch b := o.Frame.GetBody().(type) {
	case *pb.PeerFrame_Heartbeat:
		f.perform(o.To, s.Heartbeat(f.now, from, b.Heartbeat))
	case *pb.PeerFrame_Membership:
		r, err := s.Delta(f.now, from, b.Membership)
		if err != nil {
			panic(err)
		}

		f.perform(o.To, r)
	case *pb.PeerFrame_Sync:
		f.perform(o.To, s.Sync(from, b.Sync))
	case *pb.PeerFrame_Probe:
		target := b.Probe.GetInstance()
		f.after(2*oneWayDelay, func() {
			reached := f.reaches(o.To, target)
			f.after(oneWayDelay, func() { f.all[from].Probed(f.now, target, reached) })
		})
	}
}

// agree reports whether every instance that isn't silent sees others as want
// says.
func (f *fleet) agree(want map[string]State) bool {
	for _, id := range f.order {
		if f.all[id].silent {
			continue
		}

		seen := make(map[string]State)
		for _, r := range f.all[id].Records() {
			seen[r.Instance.ID] = r.State
		}

		for other, state := range want {
			if s, ok := seen[other]; other != id && (!ok || s != state) {
				return false
			}
		}
	}

	return true
}

// everyone returns the wish that every instance be alive.
func (f *fleet) everyone() map[string]State {
	want := make(map[string]State)
	for _, id := range f.order {
		want[id] = Alive
	}

	return want
}

// until runs until every instance agrees, and returns the time it took; it
// gives up at limit.
func (f *fleet) until(want map[string]State, limit time.Duration) time.Duration {
	start := f.now
	for !f.agree(want) && f.now.Sub(start) < limit {
		f.run(simulatedStep)
	}

	return f.now.Sub(start)
}
