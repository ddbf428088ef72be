// Package membership keeps the table of instances with a gossip protocol: it
// detects failures from heartbeats, confirms a suspicion by indirect probes, lets
// the suspect refute it, and merges the records of other instances. It does no
// I/O and reads no clock: the caller passes messages and the time in and carries
// out the Result.
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
	// HeartbeatTimeout is the time without a heartbeat after which a neighbour is
	// probed and its session is closed. With 5% of heartbeats lost, three in a row
	// are lost once in 8,000.
	HeartbeatTimeout = 3 * HeartbeatInterval
	// probeTimeout is the time that other instances have to reach a silent one.
	probeTimeout = 700 * time.Millisecond
	// refuteTimeout is the time that a suspect has to raise its incarnation before
	// it counts as dead.
	refuteTimeout = 2 * time.Second
	// leavingTimeout is how long a leaving instance without a session here may
	// take until it counts as dead; a graceful shutdown takes less.
	leavingTimeout = 2 * time.Minute
	// deadRetention is how long a dead record is kept before a tombstone replaces
	// it.
	deadRetention = 5 * time.Minute
	// maxTombstones bounds the tombstones of purged instances: about a week at 1,100
	// replacements a day, in under a megabyte.
	maxTombstones = 8192
	// indirectProbes is how many instances are asked to probe a silent one.
	indirectProbes = 3
	// numBuckets is the number of parts of the table that are compared, so that
	// two instances exchange only those that differ. A delta asks for buckets in a
	// mask of 64 bits.
	numBuckets = 32
	// mismatchesBeforeSync is how many heartbeats in a row carry a different digest
	// before a sync; a delta in transit may arrive first.
	mismatchesBeforeSync = 3
	// syncInterval is the least time between two syncs started with a peer.
	syncInterval = 5 * time.Second
	// versionsPerHeartbeat is how many instances' configuration versions go
	// with a heartbeat; it keeps the size constant as the fleet grows.
	versionsPerHeartbeat = 4
)

// Outbound is a frame for the connected peer with the instance id To.
type Outbound struct {
	To    string
	Frame *pb.PeerFrame
}

// Change is a change of an instance's state.
type Change struct {
	Record Record
	// From is the earlier state, or the one that this instance refuted; Known says
	// whether there was one.
	From  State
	Known bool
}

// Result is what the caller has to do after an event.
type Result struct {
	Send []Outbound
	// Reset names peers whose sessions are silent: close them and dial again.
	Reset   []string
	Changes []Change
}

// View is an immutable summary of the table.
type View struct {
	// Live holds the instances that take new work, this one included unless it
	// is leaving.
	Live *placement.Set
	// Suspects names the live instances under suspicion.
	Suspects map[string]bool
	// Neighbours are the instances to keep sessions with.
	Neighbours []domain.Instance
}

// entry is a record with what isn't shared with other instances.
type entry struct {
	Record

	hash uint64
	// since is when this instance learned the state.
	since time.Time
}

// monitor tracks the heartbeats of one neighbour.
type monitor struct {
	lastContact   time.Time
	probing       bool
	probeDeadline time.Time
}

// session is the state of one connected peer.
type session struct {
	mismatches int
	// lastSync is when this instance last started a sync.
	lastSync time.Time
}

// Table is the table of instances. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex // Guards the fields below.
	self     Record
	selfHash uint64
	rng      *rand.Rand
	entries  map[string]*entry
	// notAlive holds the entries that aren't alive: those that expire.
	notAlive map[string]*entry
	// tombstones holds the last incarnations of purged instances, so that stale
	// records don't revive them.
	tombstones map[string]uint64
	monitors   map[string]*monitor
	sessions   map[string]*session
	// listedLeaving names the instances that the platform listed as leaving; each
	// listing is acted on once.
	listedLeaving map[string]bool
	digests       [numBuckets]uint64
	load          uint32
	view          *View
	viewStale     bool
	// monitoredView is the view that monitors was made for.
	monitoredView *View
	// versionCursor is the index of the last live instance whose configuration
	// version was sent.
	versionCursor int

	lastTick      time.Time
	lastHeartbeat time.Time
}

// New returns the table of instance self. The incarnation should be above that
// of an earlier process with the same id; otherwise a refutation raises it.
func New(self domain.Instance, incarnation uint64, rng *rand.Rand) *Table {
	t := &Table{
		self: Record{Instance: self, Incarnation: incarnation}, selfHash: hashID(self.ID), rng: rng,
		entries: make(map[string]*entry), notAlive: make(map[string]*entry), tombstones: make(map[string]uint64),
		monitors: make(map[string]*monitor), sessions: make(map[string]*session), listedLeaving: make(map[string]bool),
		viewStale: true,
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

// View returns the current view.
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

// SetConfigurationVersion raises the configuration version that heartbeats carry.
func (t *Table) SetConfigurationVersion(v uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.self.ConfigurationVersion = max(t.self.ConfigurationVersion, v)
}

// SetLoad sets the number of requests in progress that heartbeats carry.
func (t *Table) SetLoad(n uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.load = n
}

// Leave marks this instance as leaving and notifies the connected peers.
func (t *Table) Leave(now time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	if t.self.State != Leaving {
		t.setSelf(Leaving, t.self.Incarnation)
		r.Changes = append(r.Changes, Change{Record: t.self, Known: true})
		t.broadcast(&r, "", []Record{t.self})
	}

	t.updateMonitors(now)

	return r
}

// Tick sends due heartbeats and handles timeouts. It is called several times in
// each heartbeat interval.
func (t *Table) Tick(now time.Time) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	t.shiftDeadlines(now)
	t.checkNeighbours(now, &r)
	t.expire(now, &r)

	if now.Sub(t.lastHeartbeat) >= HeartbeatInterval {
		t.lastHeartbeat = now
		t.sendHeartbeats(&r)
	}

	t.updateMonitors(now)

	return r
}

// shiftDeadlines extends every deadline by the length of a pause of this process,
// in which it could receive no heartbeats.
func (t *Table) shiftDeadlines(now time.Time) {
	gap := now.Sub(t.lastTick)
	first := t.lastTick.IsZero()
	t.lastTick = now

	if first || gap < HeartbeatTimeout {
		return
	}

	for _, m := range t.monitors {
		m.lastContact = m.lastContact.Add(gap)
		m.probeDeadline = m.probeDeadline.Add(gap)
	}

	for _, e := range t.notAlive {
		e.since = e.since.Add(gap)
	}
}

// checkNeighbours probes neighbours that stopped sending heartbeats, and suspects
// those that no probe reached in time.
func (t *Table) checkNeighbours(now time.Time, r *Result) {
	for _, id := range slices.Sorted(maps.Keys(t.monitors)) {
		m := t.monitors[id]

		switch {
		case m.probing && now.After(m.probeDeadline):
			m.probing = false
			m.lastContact = now

			if e, ok := t.entries[id]; ok {
				t.markSuspect(now, e, r)
			}
		case !m.probing && now.Sub(m.lastContact) > HeartbeatTimeout:
			r.Reset = append(r.Reset, id)
			t.probe(now, id, m, r)
		}
	}
}

// probe asks a few connected peers to probe a silent neighbour.
func (t *Table) probe(now time.Time, id string, m *monitor, r *Result) {
	e, ok := t.entries[id]
	if !ok {
		return
	}

	m.probing, m.probeDeadline = true, now.Add(probeTimeout)
	probers := slices.DeleteFunc(slices.Sorted(maps.Keys(t.sessions)), func(p string) bool { return p == id })
	t.rng.Shuffle(len(probers), func(a, b int) { probers[a], probers[b] = probers[b], probers[a] })

	for _, p := range probers[:min(indirectProbes, len(probers))] {
		r.Send = append(r.Send, Outbound{p, &pb.PeerFrame{Body: &pb.PeerFrame_Probe{Probe: &pb.ProbeRequest{
			Instance: id, PeerAddress: e.Instance.PeerAddress,
		}}}})
	}
}

func (t *Table) markSuspect(now time.Time, e *entry, r *Result) {
	if e.State != Alive {
		return
	}

	rec := e.Record
	rec.State = Suspect
	t.merge(now, rec, r)
	t.broadcast(r, "", []Record{rec})
}

// expire declares instances dead that didn't refute a suspicion in time or
// that have left, and purges old dead records.
func (t *Table) expire(now time.Time, r *Result) {
	var dead []Record

	for _, id := range slices.Sorted(maps.Keys(t.notAlive)) {
		e := t.notAlive[id]
		age := now.Sub(e.since)
		_, connected := t.sessions[id]

		switch {
		case e.State == Suspect && age > refuteTimeout, e.State == Leaving && age > leavingTimeout && !connected:
			rec := e.Record
			rec.State = Dead
			t.merge(now, rec, r)
			dead = append(dead, rec)
		case e.State == Dead && age > deadRetention:
			t.purge(id, e)
		}
	}

	t.broadcast(r, "", dead)
}

// purge replaces a dead record with a tombstone.
func (t *Table) purge(id string, e *entry) {
	if len(t.tombstones) >= maxTombstones {
		for old := range t.tombstones {
			delete(t.tombstones, old)

			break
		}
	}

	t.tombstones[id] = e.Incarnation
	delete(t.entries, id)
	delete(t.notAlive, id)
}

func (t *Table) sendHeartbeats(r *Result) {
	if len(t.sessions) == 0 {
		return
	}

	hb := &pb.PeerFrame{Body: &pb.PeerFrame_Heartbeat{Heartbeat: &pb.Heartbeat{
		Incarnation: t.self.Incarnation, MembershipDigest: t.digest(),
		ConfigurationVersion: t.self.ConfigurationVersion, Load: t.load, Versions: t.nextVersions(),
	}}}

	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		r.Send = append(r.Send, Outbound{id, hb})
	}
}

// nextVersions returns the configuration versions of the next few live instances,
// round robin.
func (t *Table) nextVersions() []*pb.InstanceVersion {
	live := t.refreshView().Live.Instances()
	out := make([]*pb.InstanceVersion, 0, versionsPerHeartbeat)

	for range min(versionsPerHeartbeat, len(live)) {
		t.versionCursor = (t.versionCursor + 1) % len(live)
		if e, ok := t.entries[live[t.versionCursor].ID]; ok && e.ConfigurationVersion > 0 {
			out = append(out, &pb.InstanceVersion{Id: e.Instance.ID, ConfigurationVersion: e.ConfigurationVersion})
		}
	}

	return out
}

// broadcast sends records to every connected peer except the one they came from.
func (t *Table) broadcast(r *Result, except string, records []Record) {
	if len(records) == 0 {
		return
	}

	f := deltaFrame(records, 0)

	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		if id != except {
			r.Send = append(r.Send, Outbound{id, f})
		}
	}
}

// merge stores a record that is newer than the known one, and reports whether it
// was.
func (t *Table) merge(now time.Time, rec Record, r *Result) bool {
	id := rec.Instance.ID
	e, known := t.entries[id]

	switch {
	case known && !rec.supersedes(e.Record):
		return false
	case !known && (rec.State == Dead || rec.Incarnation <= t.tombstones[id]):
		return false
	case !known:
		e = &entry{hash: hashID(id)}
		t.entries[id] = e

		delete(t.tombstones, id)
	default:
		t.toggleDigest(e.Record, e.hash)
	}

	if rec.State == Dead {
		// A record made from a tombstone has only the id.
		rec.Instance = e.Instance
	}

	r.Changes = append(r.Changes, Change{Record: rec, From: e.State, Known: known})
	rec.ConfigurationVersion = max(rec.ConfigurationVersion, e.ConfigurationVersion)
	e.Record, e.since = rec, now
	if rec.State == Alive {
		delete(t.notAlive, id)
	} else {
		t.notAlive[id] = e
	}

	t.toggleDigest(e.Record, e.hash)
	t.viewStale = true

	return true
}

func (t *Table) setSelf(s State, incarnation uint64) {
	t.toggleDigest(t.self, t.selfHash)
	t.self.State, t.self.Incarnation = s, incarnation
	t.toggleDigest(t.self, t.selfHash)
	t.viewStale = true
}

// toggleDigest adds a record to the digest of its bucket, or removes it if it is
// in there.
func (t *Table) toggleDigest(rec Record, hash uint64) {
	t.digests[hash%numBuckets] ^= rec.digest(hash)
}

func (t *Table) digest() uint64 {
	var d uint64
	for _, b := range t.digests {
		d ^= b
	}

	return d
}

func (t *Table) refreshView() *View {
	if !t.viewStale {
		return t.view
	}

	t.viewStale = false
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

// updateMonitors keeps one monitor for each current neighbour.
func (t *Table) updateMonitors(now time.Time) {
	v := t.refreshView()
	if t.monitoredView == v {
		return
	}

	t.monitoredView = v
	want := make(map[string]bool)
	for _, n := range v.Neighbours {
		want[n.ID] = true

		if t.monitors[n.ID] == nil {
			t.monitors[n.ID] = &monitor{lastContact: now}
		}
	}

	maps.DeleteFunc(t.monitors, func(id string, _ *monitor) bool { return !want[id] })
}

func deltaFrame(records []Record, want uint64) *pb.PeerFrame {
	d := &pb.MembershipDelta{WantBuckets: want, Records: make([]*pb.InstanceRecord, 0, len(records))}
	for _, rec := range records {
		d.Records = append(d.Records, rec.ToProto())
	}

	return &pb.PeerFrame{Body: &pb.PeerFrame_Membership{Membership: d}}
}
