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
	// sessionGrace is how long a session that neither end wants stays open.
	sessionGrace = 5 * time.Second
	// redialDelay is the time to a new session after a silent one was closed.
	redialDelay = time.Second
	// frameOverhead is the length of a frame and the yamux header.
	frameOverhead = 4 + 12
)

// simInstance is one instance of a simulated fleet.
type simInstance struct {
	*Table

	silent    bool                 // Neither sends nor receives, and connections to it hang.
	partition int                  // Instances in different partitions don't reach each other.
	sessions  map[string]time.Time // By peer, with the time of opening.
	redial    map[string]time.Time
	frames    int
	bytes     int
	// states counts the changes to each state that this instance saw.
	states map[State]int
}

func (s *simInstance) hasSession(peer string) bool {
	_, ok := s.sessions[peer]

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

// fleet drives tables the way package peer does, on a simulated clock.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	instances map[string]*simInstance
	ids       []string
	queue     deliveries
	seq       int
	// badLink names two instances that don't reach each other.
	badLink [2]string
	loss    float64 // The share of frames that are lost.
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), instances: make(map[string]*simInstance)}
	for i := range n {
		f.add(fmt.Sprintf("entry-%03d", i), i%6, 1)
	}

	return f
}

func (f *fleet) add(id string, domainNumber int, incarnation uint64) *simInstance {
	in := domain.Instance{
		ID: id, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+len(f.ids)),
		FailureDomain: fmt.Sprintf("fd-%d", domainNumber), Region: fmt.Sprintf("region-%d", domainNumber/3),
	}
	s := &simInstance{
		Table:    New(in, incarnation, rand.New(rand.NewPCG(uint64(len(f.ids)), 2))),
		sessions: make(map[string]time.Time), redial: make(map[string]time.Time), states: make(map[State]int),
	}
	f.instances[id] = s
	f.ids = append(f.ids, id)

	return s
}

func (f *fleet) reaches(a, b string) bool {
	x, y := f.instances[a], f.instances[b]

	bad := f.badLink == [2]string{a, b} || f.badLink == [2]string{b, a}

	return !x.silent && !y.silent && x.partition == y.partition && !bad
}

func (f *fleet) schedule(d time.Duration, call func()) {
	f.seq++
	heap.Push(&f.queue, delivery{f.now.Add(d), f.seq, call})
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simulatedStep) {
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			heap.Pop(&f.queue).(delivery).call()
		}

		for _, id := range f.ids {
			s := f.instances[id]
			if s.silent {
				continue
			}

			f.apply(id, s.Tick(f.now))
			f.dial(id)
		}
	}
}

// dial opens the sessions that are missing: to neighbours, or to the first
// instance as the seed. It closes those that neither end wants.
func (f *fleet) dial(id string) {
	want := f.instances[id].View().Neighbours

	for peer, opened := range f.instances[id].sessions {
		if f.now.Sub(opened) > sessionGrace && !wants(f.instances[id], peer) && f.reaches(id, peer) && !wants(f.instances[peer], id) {
			f.disconnect(id, peer)
		}
	}

	if len(want) == 0 {
		want = []domain.Instance{f.instances[f.ids[0]].Self().Instance}
	}

	for _, n := range want {
		if n.ID == id || f.instances[id].hasSession(n.ID) || !f.reaches(id, n.ID) || f.now.Before(f.instances[id].redial[n.ID]) {
			continue
		}

		f.connect(id, n.ID)
	}
}

func wants(s *simInstance, peer string) bool {
	return slices.ContainsFunc(s.View().Neighbours, func(in domain.Instance) bool { return in.ID == peer })
}

func (f *fleet) connect(a, b string) {
	x, y := f.instances[a], f.instances[b]
	x.sessions[b], y.sessions[a] = f.now, f.now
	xs, ys, xd, yd := x.Self(), y.Self(), x.Digest(), y.Digest()
	f.apply(a, x.Connected(f.now, ys, yd, true))
	f.apply(b, y.Connected(f.now, xs, xd, false))
}

func (f *fleet) disconnect(a, b string) {
	delete(f.instances[a].sessions, b)
	f.instances[a].Disconnected(b)

	if f.reaches(a, b) {
		delete(f.instances[b].sessions, a)
		f.instances[b].Disconnected(a)
	}
}

func (f *fleet) apply(id string, r Result) {
	s := f.instances[id]
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

		f.schedule(oneWayDelay, func() { f.receive(id, o) })
	}
}

func (f *fleet) receive(from string, o Outbound) {
	s := f.instances[o.To]
	if !f.reaches(from, o.To) || !s.hasSession(from) {
		return
	}

	switch b := o.Frame.GetBody().(type) {
	case *pb.PeerFrame_Heartbeat:
		f.apply(o.To, s.HandleHeartbeat(f.now, from, b.Heartbeat))
	case *pb.PeerFrame_Membership:
		r, err := s.HandleDelta(f.now, from, b.Membership)
		if err != nil {
			panic(err)
		}

		f.apply(o.To, r)
	case *pb.PeerFrame_Sync:
		f.apply(o.To, s.HandleSync(from, b.Sync))
	case *pb.PeerFrame_Probe:
		target := b.Probe.GetInstance()
		f.schedule(2*oneWayDelay, func() {
			reached := f.reaches(o.To, target)
			f.schedule(oneWayDelay, func() { f.instances[from].HandleProbeAnswer(f.now, target, reached) })
		})
	}
}

// agreesOn reports whether every instance that isn't silent sees the others in
// the states of want.
func (f *fleet) agreesOn(want map[string]State) bool {
	for _, id := range f.ids {
		if f.instances[id].silent {
			continue
		}

		seen := make(map[string]State)
		for _, r := range f.instances[id].Records() {
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

// allAlive returns the states of a fleet in which every instance is alive.
func (f *fleet) allAlive() map[string]State {
	want := make(map[string]State)
	for _, id := range f.ids {
		want[id] = Alive
	}

	return want
}

// runUntil runs until every instance agrees on want or limit has passed, and
// returns the time it took.
func (f *fleet) runUntil(want map[string]State, limit time.Duration) time.Duration {
	start := f.now
	for !f.agreesOn(want) && f.now.Sub(start) < limit {
		f.run(simulatedStep)
	}

	return f.now.Sub(start)
}
