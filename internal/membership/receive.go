package membership

import (
	"slices"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Connected records that a control session with a peer is open; rec and digest
// come from the peer. dialled says that this instance opened the session: the
// dialler starts a sync if the digests differ.
func (t *Table) Connected(now time.Time, rec Record, digest uint64, dialled bool) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	id := rec.Instance.ID
	if id == t.self.Instance.ID {
		return r
	}

	s := &session{}
	t.sessions[id] = s
	t.recordContact(now, id)

	if t.merge(now, rec, &r) {
		t.broadcast(&r, id, []Record{rec})
	} else {
		t.sendCorrection(&r, id, rec)
	}

	if dialled && digest != t.digest() {
		t.startSync(now, id, s, &r)
	}

	t.updateMonitors(now)

	return r
}

// Disconnected records that no control session with the peer is open any more.
func (t *Table) Disconnected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.sessions, id)
}

// Unreachable records that a neighbour refused a connection. It is probed at once
// instead of after missed heartbeats.
func (t *Table) Unreachable(now time.Time, id string) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	if m, ok := t.monitors[id]; ok && !m.probing {
		if e, ok := t.entries[id]; ok && e.State == Alive {
			t.probe(now, id, m, &r)
		}
	}

	return r
}

// HandleHeartbeat handles a heartbeat of a connected peer.
func (t *Table) HandleHeartbeat(now time.Time, from string, hb *pb.Heartbeat) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var r Result

	t.recordContact(now, from)

	if e, ok := t.entries[from]; ok {
		e.ConfigurationVersion = max(e.ConfigurationVersion, hb.GetConfigurationVersion())

		rec := e.Record
		rec.Incarnation, rec.State = hb.GetIncarnation(), Alive

		if rec.Incarnation > e.Incarnation {
			t.merge(now, rec, &r)
			t.broadcast(&r, from, []Record{rec})
		} else {
			t.sendCorrection(&r, from, rec)
		}
	}

	for _, v := range hb.GetVersions() {
		if e, ok := t.entries[v.GetId()]; ok {
			e.ConfigurationVersion = max(e.ConfigurationVersion, v.GetConfigurationVersion())
		}
	}

	if s, ok := t.sessions[from]; ok {
		t.compareDigests(now, from, s, hb.GetMembershipDigest(), &r)
	}

	t.updateMonitors(now)

	return r
}

// compareDigests starts a sync when the digests have differed for several
// heartbeats. The instance with the higher id waits twice as long, so that one
// sync runs and not two.
func (t *Table) compareDigests(now time.Time, from string, s *session, digest uint64, r *Result) {
	if digest == t.digest() {
		s.mismatches = 0

		return
	}

	s.mismatches++

	limit := mismatchesBeforeSync
	if t.self.Instance.ID > from {
		limit *= 2
	}

	if s.mismatches >= limit && now.Sub(s.lastSync) >= syncInterval {
		s.mismatches = 0
		t.startSync(now, from, s, r)
	}
}

func (t *Table) startSync(now time.Time, to string, s *session, r *Result) {
	s.lastSync = now
	r.Send = append(r.Send, Outbound{to, &pb.PeerFrame{Body: &pb.PeerFrame_Sync{Sync: &pb.MembershipSync{
		BucketDigests: slices.Clone(t.digests[:]),
	}}}})
}

// HandleSync answers a peer's digests with the records of the buckets that differ.
func (t *Table) HandleSync(from string, req *pb.MembershipSync) Result {
	t.mu.Lock()
	defer t.mu.Unlock()

	var want uint64

	for i, d := range req.GetBucketDigests() {
		if i < numBuckets && d != t.digests[i] {
			want |= 1 << i
		}
	}

	if want == 0 {
		return Result{}
	}

	return Result{Send: []Outbound{{from, deltaFrame(t.inBuckets(want), want)}}}
}

// HandleDelta merges records from a peer and forwards those that were new. If one
// is invalid, it returns an error and merges none.
func (t *Table) HandleDelta(now time.Time, from string, d *pb.MembershipDelta) (Result, error) {
	records := make([]Record, 0, len(d.GetRecords()))

	for _, p := range d.GetRecords() {
		rec, err := FromProto(p)
		if err != nil {
			return Result{}, err
		}

		records = append(records, rec)
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	var (
		r       Result
		updated []Record
	)

	for _, rec := range records {
		switch {
		case rec.Instance.ID == t.self.Instance.ID:
			if t.refute(rec) {
				r.Changes = append(r.Changes, Change{Record: t.self, From: rec.State, Known: true})
				// The sender needs the refutation too.
				t.broadcast(&r, "", []Record{t.self})
			}
		case t.merge(now, t.downgradeDead(now, rec), &r):
			updated = append(updated, t.entries[rec.Instance.ID].Record)
		default:
			t.sendCorrection(&r, from, rec)
		}
	}

	t.broadcast(&r, from, updated)

	if want := d.GetWantBuckets(); want != 0 {
		r.Send = append(r.Send, Outbound{from, deltaFrame(t.inBuckets(want), 0)})
	}

	t.updateMonitors(now)

	return r, nil
}

// downgradeDead turns a report that an instance is dead into a suspicion, unless it
// has been suspect here for half of refuteTimeout. When a partition heals, each
// side reports the other as dead; the instances refute that before it takes effect.
func (t *Table) downgradeDead(now time.Time, rec Record) Record {
	e, known := t.entries[rec.Instance.ID]
	if !known || rec.State != Dead {
		return rec
	}

	if e.State == Alive || e.State == Suspect && now.Sub(e.since) < refuteTimeout/2 {
		rec.Instance, rec.State = e.Instance, Suspect
	}

	return rec
}

// refute raises this instance's incarnation above that of a record that
// contradicts its state, and reports whether it did.
func (t *Table) refute(rec Record) bool {
	if !rec.supersedes(t.self) {
		return false
	}

	t.setSelf(t.self.State, rec.Incarnation+1)

	return true
}

// sendCorrection answers an outdated record with the newer one, if that says suspect
// or dead, or with the tombstone. A suspect learns of the suspicion this way and can
// refute it.
func (t *Table) sendCorrection(r *Result, to string, rec Record) {
	id := rec.Instance.ID

	if inc, ok := t.tombstones[id]; ok && rec.State != Dead && rec.Incarnation <= inc {
		r.Send = append(r.Send, Outbound{to, deltaFrame([]Record{{
			Instance: domain.Instance{ID: id}, State: Dead, Incarnation: inc,
		}}, 0)})

		return
	}

	e, ok := t.entries[id]
	if !ok || !e.supersedes(rec) || (e.State != Suspect && e.State != Dead) {
		return
	}

	r.Send = append(r.Send, Outbound{to, deltaFrame([]Record{e.Record}, 0)})
}

// HandleProbeAnswer handles the outcome of an indirect probe.
func (t *Table) HandleProbeAnswer(now time.Time, id string, reached bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if reached {
		t.recordContact(now, id)
	}
}

// HandleList merges the platform's list, which lags: an instance listed as leaving
// is marked so once, and can refute it. An instance that isn't listed stays as
// it is. The instances returned are seeds to dial: listed, but unknown or dead
// here.
func (t *Table) HandleList(now time.Time, list []domain.Instance, leaving map[string]bool) (Result, []domain.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var (
		r     Result
		seeds []domain.Instance
	)

	for _, in := range list {
		e, known := t.entries[in.ID]

		switch {
		case in.ID == t.self.Instance.ID:
		case known && e.State == Alive && leaving[in.ID] && !t.listedLeaving[in.ID]:
			rec := e.Record
			rec.State = Leaving
			t.merge(now, rec, &r)
			t.broadcast(&r, "", []Record{rec})
		case (!known || e.State == Dead) && !leaving[in.ID]:
			seeds = append(seeds, in)
		}
	}

	t.listedLeaving = leaving
	t.updateMonitors(now)

	return r, seeds
}

// recordContact records direct evidence that an instance is alive.
func (t *Table) recordContact(now time.Time, id string) {
	if m, ok := t.monitors[id]; ok {
		m.lastContact, m.probing = now, false
	}
}

func (t *Table) inBuckets(want uint64) []Record {
	var out []Record

	if want&(1<<(t.selfHash%numBuckets)) != 0 {
		out = append(out, t.self)
	}

	for _, e := range t.entries {
		if want&(1<<(e.hash%numBuckets)) != 0 {
			out = append(out, e.Record)
		}
	}

	return out
}
