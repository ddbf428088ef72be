// Package membership keeps the table of instances. It decides from heartbeats
// who is alive, confirms a suspicion through other instances, lets the suspect
// refute it, and merges what other instances know. It has no sockets and no
// clock: messages and the time come in, messages and changes go out.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/placement"
)

const (
	// HeartbeatInterval is the time between two heartbeats on a session.
	HeartbeatInterval = 500 * time.Millisecond
	// SilentAfter is the silence after which a neighbour is probed and its
	// session is closed. With 5% of heartbeats lost, three in a row are lost
	// once in 8,000.
	SilentAfter = 3 * HeartbeatInterval
	// probeTimeout is the time that other instances have to reach a silent one.
	probeTimeout = 700 * time.Millisecond
	// refuteTimeout is the time that a suspect has to raise its incarnation.
	refuteTimeout = 2 * time.Second
	// leavingTimeout is how long a leaving instance without a session here may
	// take until it counts as dead; a planned stop takes less.
	leavingTimeout = 2 * time.Minute
	// deadRetention is how long a dead record is kept whole.
	deadRetention = 5 * time.Minute
	// maxForgotten bounds the incarnations kept of forgotten instances: about a
	// week at 1,100 replacements a day, in under a megabyte.
	maxForgotten = 8192
	// probeHelpers is how many instances are asked to reach a silent one.
	probeHelpers = 3
	// buckets divides the table, so that two tables exchange only what differs.
	buckets = 32
	// mismatchesBeforeSync lets a delta that is under way arrive first.
	mismatchesBeforeSync = 3
	syncInterval         = 5 * time.Second
	// versionsPerHeartbeat is how many instances' configuration versions go
	// with a heartbeat; it keeps the size constant as the fleet grows.
	versionsPerHeartbeat = 4
)

// Outbound is a frame for a connected peer.
type Outbound struct {
	To    string
	Frame *pb.PeerFrame
}

// Change says that the state of an instance changed.
type Change struct {
	Record Record
	// From is the earlier state; Known says whether there was one.
	From  State
	Known bool
}

// Result is what the adapter has to do.
type Result struct {
	Send []Outbound
	// Reset names peers whose sessions are silent: close them and dial again.
	Reset   []string
	Changes []Change
}

// View is what other packages see of the table. It is immutable.
type View struct {
	// Live holds the instances that take new work, this one included unless it
	// is leaving.
	Live *placement.Set
	// Suspects names the live instances under suspicion.
	Suspects map[string]bool
	// Neighbours are the instances to keep sessions with.
	Neighbours []domain.Instance
}

// entry is a record with what only this instance knows.
type entry struct {
	Record

	hash uint64
	// since is when this instance learned the state.
	since time.Time
}

// watch is the supervision of one neighbour.
type watch struct {
	heard   time.Time
	probing bool
	probeBy time.Time
}

// link is the state of one connected peer.
type link struct {
	mismatches int
	synced     time.Time
}

// Table is the table of instances. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex // Guards all below.
	self     Record
	selfHash uint64
	rng      *rand.Rand
	entries  map[string]*entry
	// unwell holds the entries that aren't alive: those that time changes.
	unwell    map[string]*entry
	forgotten map[string]uint64
	watches   map[string]*watch
	links     map[string]*link
	// hinted names the instances that the platform listed as leaving; each
	// listing is a sign once.
	hinted  map[string]bool
	digests [buckets]uint64
	load    uint32
	view    *View
	stale   bool
	// watched is the view that watches belong to.
	watched *View
	rotate  int

	lastTick      time.Time
	lastHeartbeat time.Time
}

// New returns the table of instance self. The incarnation must be above that
// of an earlier process of the same id; a refutation corrects one that isn't.
func New(self domain.Instance, incarnation uint64, rng *rand.Rand) *Table {
	t := &Table{
		self: Record{Instance: self, Incarnation: incarnation}, selfHash: hashID(self.ID), rng: rng,
		entries: make(map[string]*entry), unwell: make(map[string]*entry), forgotten: make(map[string]uint64),
		watches: make(map[string]*watch), links: make(map[string]*link), hinted: make(map[string]bool),
		stale: true,
	}
	t.toggleDigest(t.self, t.selfHash)

	return t
}

// Self returns the instance's own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.self
}

// View returns the present view.
func (t *Table) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.refreshView()
}

// Records returns every record by id, this instance's included.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := []Record{t.self}
	for _, e := range t.entries {
		out = append(out, e.Record)
	}

	slices.SortFunc(out, func(a, b Record) int {
		if a.Instance.ID < b.Instance.ID {
			return -1
		}

		return 1
	})

	return out
}

// Digest returns the digest of all records that aren't dead.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.digest()
}

// SetConfigurationVersion sets the version that heartbeats carry.
func (t *Table) SetConfigurationVersion(v uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.ConfigurationVersion = max(t.self.ConfigurationVersion, v)
}

// SetLoad sets the number of outstanding requests that heartbeats carry.
func (t *Table) SetLoad(n uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.load = n
}

// Leave marks this instance as leaving and tells the connected peers.
func (t *Table) Leave(now time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	if t.self.State != Leaving {
		t.setSelf(Leaving, t.self.Incarnation)
		r.Changes = append(r.Changes, Change{Record: t.self, Known: true})
		t.flood(&r, "", []Record{t.self})
	}

	t.finish(now)

	return r
}

// Tick advances the time. It is called several times in each heartbeat
// interval.
func (t *Table) Tick(now time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	t.excusePause(now)
	t.superviseNeighbours(now, &r)
	t.expire(now, &r)

	if now.Sub(t.lastHeartbeat) >= HeartbeatInterval {
		t.lastHeartbeat = now
		t.sendHeartbeats(&r)
	}

	t.finish(now)

	return r
}

// excusePause moves every deadline by the time in which this instance itself
// didn't run: it heard nobody because it didn't listen.
func (t *Table) excusePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	first := t.lastTick.IsZero()
	t.lastTick = now

	if first || gap < SilentAfter {
		return
	}

	for _, w := range t.watches {
		w.heard = w.heard.Add(gap)
		w.probeBy = w.probeBy.Add(gap)
	}

	for _, e := range t.unwell {
		e.since = e.since.Add(gap)
	}
}

func (t *Table) superviseNeighbours(now time.Time, r *Result) {
	for _, id := range slices.Sorted(maps.Keys(t.watches)) {
		w := t.watches[id]

		switch {
		case w.probing && now.After(w.probeBy):
			w.probing = false
			w.heard = now

			if e, ok := t.entries[id]; ok {
				t.suspect(now, e, r)
			}
		case !w.probing && now.Sub(w.heard) > SilentAfter:
			r.Reset = append(r.Reset, id)
			t.probe(now, id, w, r)
		}
	}
}

// probe asks a few connected peers to reach a silent neighbour.
func (t *Table) probe(now time.Time, id string, w *watch, r *Result) {
	e, ok := t.entries[id]
	if !ok {
		return
	}

	w.probing, w.probeBy = true, now.Add(probeTimeout)
	helpers := slices.DeleteFunc(slices.Sorted(maps.Keys(t.links)), func(h string) bool { return h == id })
	t.rng.Shuffle(len(helpers), func(a, b int) { helpers[a], helpers[b] = helpers[b], helpers[a] })

	for _, h := range helpers[:min(probeHelpers, len(helpers))] {
		r.Send = append(r.Send, Outbound{h, &pb.PeerFrame{Body: &pb.PeerFrame_Probe{Probe: &pb.ProbeRequest{
			Instance: id, PeerAddress: e.Instance.PeerAddress,
		}}}})
	}
}

func (t *Table) suspect(now time.Time, e *entry, r *Result) {
	if e.State != Alive {
		return
	}

	rec := e.Record
	rec.State = Suspect
	t.merge(now, rec, r)
	t.flood(r, "", []Record{rec})
}

// expire declares instances dead that didn't refute a suspicion in time or
// that have left, and forgets the dead.
func (t *Table) expire(now time.Time, r *Result) {
	var dead []Record

	for _, id := range slices.Sorted(maps.Keys(t.unwell)) {
		e := t.unwell[id]
		age := now.Sub(e.since)
		_, linked := t.links[id]

		switch {
		case e.State == Suspect && age > refuteTimeout, e.State == Leaving && age > leavingTimeout && !linked:
			rec := e.Record
			rec.State = Dead
			t.merge(now, rec, r)
			dead = append(dead, rec)
		case e.State == Dead && age > deadRetention:
			t.forget(id, e)
		}
	}

	t.flood(r, "", dead)
}

func (t *Table) forget(id string, e *entry) {
	if len(t.forgotten) >= maxForgotten {
		for old := range t.forgotten {
			delete(t.forgotten, old)

			break
		}
	}

	t.forgotten[id] = e.Incarnation
	delete(t.entries, id)
	delete(t.unwell, id)
}

func (t *Table) sendHeartbeats(r *Result) {
	if len(t.links) == 0 {
		return
	}

	hb := &pb.PeerFrame{Body: &pb.PeerFrame_Heartbeat{Heartbeat: &pb.Heartbeat{
		Incarnation: t.self.Incarnation, MembershipDigest: t.digest(),
		ConfigurationVersion: t.self.ConfigurationVersion, Load: t.load, Versions: t.nextVersions(),
	}}}

	for _, id := range slices.Sorted(maps.Keys(t.links)) {
		r.Send = append(r.Send, Outbound{id, hb})
	}
}

// nextVersions returns the configuration versions of the next few instances in
// turn.
func (t *Table) nextVersions() []*pb.InstanceVersion {
	live := t.refreshView().Live.Instances()
	out := make([]*pb.InstanceVersion, 0, versionsPerHeartbeat)

	for range min(versionsPerHeartbeat, len(live)) {
		t.rotate = (t.rotate + 1) % len(live)
		if e, ok := t.entries[live[t.rotate].ID]; ok && e.ConfigurationVersion > 0 {
			out = append(out, &pb.InstanceVersion{Id: e.Instance.ID, ConfigurationVersion: e.ConfigurationVersion})
		}
	}

	return out
}

// flood sends records to every connected peer but the one they came from.
func (t *Table) flood(r *Result, except string, records []Record) {
	if len(records) == 0 {
		return
	}

	f := deltaFrame(records, 0)

	for _, id := range slices.Sorted(maps.Keys(t.links)) {
		if id != except {
			r.Send = append(r.Send, Outbound{id, f})
		}
	}
}

// merge takes a record if it is newer than what is known, and reports whether
// it was.
func (t *Table) merge(now time.Time, rec Record, r *Result) bool {
	id := rec.Instance.ID
	e, known := t.entries[id]

	switch {
	case known && !rec.supersedes(e.Record):
		return false
	case !known && (rec.State == Dead || rec.Incarnation <= t.forgotten[id]):
		return false
	case !known:
		e = &entry{hash: hashID(id)}
		t.entries[id] = e

		delete(t.forgotten, id)
	default:
		t.toggleDigest(e.Record, e.hash)
	}

	if rec.State == Dead {
		// The record of a forgotten instance has only its id.
		rec.Instance = e.Instance
	}

	r.Changes = append(r.Changes, Change{Record: rec, From: e.State, Known: known})
	rec.ConfigurationVersion = max(rec.ConfigurationVersion, e.ConfigurationVersion)
	e.Record, e.since = rec, now
	if rec.State == Alive {
		delete(t.unwell, id)
	} else {
		t.unwell[id] = e
	}

	t.toggleDigest(e.Record, e.hash)
	t.stale = true

	return true
}

func (t *Table) setSelf(s State, incarnation uint64) {
	t.toggleDigest(t.self, t.selfHash)
	t.self.State, t.self.Incarnation = s, incarnation
	t.toggleDigest(t.self, t.selfHash)
	t.stale = true
}

func (t *Table) toggleDigest(rec Record, hash uint64) {
	t.digests[hash%buckets] ^= rec.digest(hash)
}

func (t *Table) digest() uint64 {
	var d uint64
	for _, b := range t.digests {
		d ^= b
	}

	return d
}

func (t *Table) refreshView() *View {
	if !t.stale {
		return t.view
	}

	t.stale = false
	v := &View{Suspects: make(map[string]bool)}

	var live []domain.Instance

	if t.self.State == Alive {
		live = append(live, t.self.Instance)
	}

	for id, e := range t.entries {
		if e.State == Alive || e.State == Suspect {
			live = append(live, e.Instance)
		}

		if e.State == Suspect {
			v.Suspects[id] = true
		}
	}

	v.Live = placement.NewSet(live)
	v.Neighbours = v.Live.Neighbours(t.self.Instance)
	t.view = v

	return v
}

// finish brings the supervision in line with the present neighbours.
func (t *Table) finish(now time.Time) {
	v := t.refreshView()
	if t.watched == v {
		return
	}

	t.watched = v
	want := make(map[string]bool)
	for _, n := range v.Neighbours {
		want[n.ID] = true

		if t.watches[n.ID] == nil {
			t.watches[n.ID] = &watch{heard: now}
		}
	}

	maps.DeleteFunc(t.watches, func(id string, _ *watch) bool { return !want[id] })
}

func deltaFrame(records []Record, want uint64) *pb.PeerFrame {
	d := &pb.MembershipDelta{WantBuckets: want, Records: make([]*pb.InstanceRecord, 0, len(records))}
	for _, rec := range records {
		d.Records = append(d.Records, rec.ToProto())
	}

	return &pb.PeerFrame{Body: &pb.PeerFrame_Membership{Membership: d}}
}
