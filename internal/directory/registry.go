// Package directory holds the routing configuration in force and the registered
// searchers. Both are combined into an immutable View, which a request uses from
// start to end.
//
// Configuration versions only increase. A searcher that is draining or whose
// registration was removed gets no new requests; requests in progress call Usable
// before each further attempt.
package directory

import (
	"slices"
	"strings"
	"time"

	"primrosespring.example/internal/domain"
)

// RegistrationGrace is how long after the store recovers a searcher without a
// registration is still used. Searchers whose registrations expired during the outage
// register again within about two seconds.
const RegistrationGrace = 2 * time.Second

// RestoreTime is how long after the store's return from an older copy the registration of a
// searcher that was gone before may be one that nobody renews: the store removes it within that
// time.
const RestoreTime = 5 * time.Second

// record is a registered searcher, or the tombstone of one.
type record struct {
	registration domain.Registration
	// removedAt is when the registration was removed; zero if it wasn't. Until excusedUntil the searcher is
	// used all the same: the removal became known just after an outage of the store.
	removedAt, excusedUntil time.Time
	// restored says that the store has the registration again, since it has come back from a
	// copy from before the removal.
	restored bool
	// denied says that another searcher answered at the registered address.
	denied bool
	// leaving says that the searcher itself said, in an answer, that it leaves; told that
	// other instances say so. Both hold for the registered incarnation.
	leaving bool
	told    told
}

// told is what other instances say of a searcher that leaves.
type told uint8

const (
	// toldByNone means that no other instance has said that the searcher leaves.
	toldByNone told = iota
	// toldByOne means that one has; the sign may be false.
	toldByOne
	// toldBySeveral means that several have.
	toldBySeveral
)

// registry holds the registrations. The Directory's lock guards it.
type registry struct {
	records map[string]*record
	// recoveredAt is when the store last recovered from an outage, or came back from an older
	// copy, and restoredAt when it did the latter.
	recoveredAt, restoredAt time.Time
	// evacuated holds the failure domains whose searchers get no requests.
	evacuated map[string]bool
}

// put stores a registration unless it is outdated, and reports whether anything but the
// sequence changed.
func (r *registry) put(now time.Time, reg domain.Registration) bool {
	rec, ok := r.records[reg.ID]
	if ok && r.isRestored(now, rec, reg) {
		rec.restored = true

		return false
	}

	if ok && !reg.Supersedes(rec.registration) {
		return false
	}

	if !ok {
		if r.records == nil {
			r.records = make(map[string]*record)
		}

		rec = &record{}
		r.records[reg.ID] = rec
	}

	before, removed := rec.registration, !rec.removedAt.IsZero()
	rec.removedAt, rec.excusedUntil, rec.restored = time.Time{}, time.Time{}, false
	rec.registration = reg

	if before.Started != reg.Started || before.Address != reg.Address {
		rec.denied = false
	}

	if before.Started != reg.Started {
		rec.leaving, rec.told = false, toldByNone
	}

	before.Sequence = reg.Sequence

	return !ok || removed || before != reg
}

// remove turns a registration into a tombstone and reports whether it wasn't one yet.
func (r *registry) remove(now time.Time, id string) bool {
	rec, ok := r.records[id]
	if !ok {
		return false
	}

	rec.restored = false

	if !rec.removedAt.IsZero() {
		return false
	}

	rec.removedAt = now

	if !r.recoveredAt.IsZero() {
		rec.excusedUntil = r.recoveredAt.Add(RegistrationGrace)
	}

	return true
}

// isRestored reports whether the registration of a searcher that is gone is one of before its
// removal, which the store's return from an older copy has brought back.
func (r *registry) isRestored(now time.Time, rec *record, reg domain.Registration) bool {
	return r.restoring(now) && !rec.removedAt.IsZero() && rec.removedAt.Before(r.restoredAt) &&
		reg.Started == rec.registration.Started && reg.Sequence <= rec.registration.Sequence
}

// restoring reports whether the store has come back from an older copy within RestoreTime.
func (r *registry) restoring(now time.Time) bool {
	return !r.restoredAt.IsZero() && now.Before(r.restoredAt.Add(RestoreTime))
}

// unsettled reports whether settle has yet to decide about a searcher.
func (r *registry) unsettled() bool {
	for _, rec := range r.records {
		if rec.restored {
			return true
		}
	}

	return false
}

// settle brings back the searchers whose restored registrations the store still has RestoreTime after its
// return from an older copy: they renew them.
func (r *registry) settle(now time.Time) {
	if r.restoring(now) {
		return
	}

	for _, rec := range r.records {
		if rec.restored {
			rec.removedAt, rec.restored = time.Time{}, false
		}
	}
}

// replace stores all registrations of list, removes those that it lacks, and reports
// whether anything changed.
func (r *registry) replace(now time.Time, list []domain.Registration) bool {
	listed := make(map[string]bool, len(list))
	changed := false

	for _, reg := range list {
		listed[reg.ID] = true
		changed = r.put(now, reg) || changed
	}

	for id := range r.records {
		if !listed[id] {
			changed = r.remove(now, id) || changed
		}
	}

	return changed
}

// usable reports whether the searcher may get new requests.
func (r *registry) usable(now time.Time, rec *record) bool {
	if r.evacuated[rec.registration.FailureDomain] {
		return false
	}

	if rec.denied || rec.leaving || rec.told == toldBySeveral || rec.registration.Draining {
		return false
	}

	return rec.removedAt.IsZero() || now.Before(rec.excusedUntil)
}

// pools returns the usable searchers of each pool, sorted by id. Those that one other instance
// says to leave are among them only if their pool has no others.
func (r *registry) pools(now time.Time) map[string][]domain.Registration {
	out, doubted := make(map[string][]domain.Registration), make(map[string][]domain.Registration)

	for _, rec := range r.records {
		pool := rec.registration.Pool

		switch {
		case !r.usable(now, rec):
		case rec.told == toldByOne:
			doubted[pool] = append(doubted[pool], rec.registration)
		default:
			out[pool] = append(out[pool], rec.registration)
		}
	}

	for pool, list := range doubted {
		if len(out[pool]) == 0 {
			out[pool] = list
		}
	}

	for _, list := range out {
		slices.SortFunc(list, func(a, b domain.Registration) int { return strings.Compare(a.ID, b.ID) })
	}

	return out
}

// current returns the registrations that weren't removed, those of draining searchers
// included, sorted by id.
func (r *registry) current() []domain.Registration {
	out := make([]domain.Registration, 0, len(r.records))

	for _, rec := range r.records {
		if rec.removedAt.IsZero() {
			out = append(out, rec.registration)
		}
	}

	slices.SortFunc(out, func(a, b domain.Registration) int { return strings.Compare(a.ID, b.ID) })

	return out
}

// prune deletes the tombstones of searchers that were removed before the given time.
func (r *registry) prune(before time.Time) {
	for id, rec := range r.records {
		if !rec.removedAt.IsZero() && rec.removedAt.Before(before) {
			delete(r.records, id)
		}
	}
}
