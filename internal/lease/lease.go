// Package lease decides which instance holds a duty that only one at a time should
// perform.
//
// A lease is a stored object, changed by conditional update. Its term is a fencing
// token: it rises with each new holder and goes with every write under the lease,
// and the target object refuses a term below the highest one it has seen. Clocks of
// different instances are never compared: an observer measures on its own monotonic
// clock for how long it has seen the same renewal.
package lease

import (
	"bytes"
	"encoding/json"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// ObjectKind is the kind of the stored leases; their names are the duties.
	ObjectKind = "lease"
	// Duration is how long an observer must see the same renewal before it may
	// take the lease.
	Duration = 60 * time.Second
	// RenewInterval is how often the holder renews.
	RenewInterval = Duration / 4
	// ObserveInterval is how often the other instances read the lease. At 440
	// instances that is 15 reads a second in the fleet.
	ObserveInterval = Duration / 2
	// holdTime is how long the holder acts after a renewal. The rest of
	// Duration allows for clocks that run at different rates.
	holdTime = Duration / 3 * 2

	maxHolderBytes = 160
)

// Lease is the stored object. The zero value is a lease that was never held.
type Lease struct {
	// Holder is unique for each process; it is empty if the lease was released.
	Holder string `json:"holder"`
	// Term is the fencing token.
	Term uint64 `json:"term"`
	// Renewals counts the holder's renewals in this term.
	Renewals uint64 `json:"renewals"`
	// Cursor is the progress of the duty's work, in its own unit; the next holder
	// continues from there.
	Cursor uint64 `json:"cursor"`
}

// Decode decodes and validates a stored lease.
func Decode(data []byte) (Lease, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	var l Lease
	if err := d.Decode(&l); err != nil {
		return Lease{}, domain.Errorf(domain.FateUnknown, domain.CodeInvalid, "decode lease", "malformed lease").WithCause(err)
	}

	return l, l.Validate()
}

// Validate returns an error for the first invalid field.
func (l Lease) Validate() error {
	switch {
	case len(l.Holder) > maxHolderBytes:
		return domain.Errorf(domain.FateUnknown, domain.CodeInvalid, "decode lease",
			"holder has %d bytes; at most %d are allowed", len(l.Holder), maxHolderBytes)
	case l.Term == 0:
		return domain.Errorf(domain.FateUnknown, domain.CodeInvalid, "decode lease", "term must be at least 1")
	}

	return nil
}

// Encode returns the stored form.
func (l Lease) Encode() ([]byte, error) { return json.Marshal(l) }

// Keeper is the state of a lease at one process. It isn't safe for concurrent use.
// Times must come from time.Now, since their monotonic readings are used.
type Keeper struct {
	holder string
	// seen is the lease last read or written, and since is when it was first seen.
	seen  Lease
	since time.Time
	// term is the term held until expires, or 0.
	term    uint64
	expires time.Time
}

// NewKeeper returns a keeper that doesn't hold the lease. holder must be unique for
// each process, so that a restarted instance doesn't continue its predecessor's term.
func NewKeeper(holder string) *Keeper { return &Keeper{holder: holder} }

// Decide takes the lease as it was read and returns the lease to write in its
// place, and whether to write at all. A successful write is passed to Written.
func (k *Keeper) Decide(now time.Time, stored Lease) (Lease, bool) {
	if stored != k.seen || k.since.IsZero() {
		k.seen, k.since = stored, now
	}

	if stored.Holder == k.holder {
		stored.Renewals++

		return stored, true
	}

	k.term = 0

	if stored.Holder != "" && now.Sub(k.since) < Duration {
		return Lease{}, false
	}

	return Lease{Holder: k.holder, Term: stored.Term + 1, Cursor: stored.Cursor}, true
}

// Written records that l was stored by a write that began at start.
func (k *Keeper) Written(start time.Time, l Lease) {
	k.seen, k.since = l, start
	k.term, k.expires = l.Term, start.Add(holdTime)
}

// Term returns the term held and whether the lease is held at now. A process that
// is paused after the call may act on an expired lease; the fencing token in its
// writes guards against that.
func (k *Keeper) Term(now time.Time) (uint64, bool) {
	return k.term, k.term > 0 && now.Before(k.expires)
}

// Release gives the lease up. It reports whether the lease was held; only then may
// the returned lease be stored.
func (k *Keeper) Release(now time.Time) (Lease, bool) {
	term, held := k.Term(now)
	k.term = 0

	return Lease{Term: term, Renewals: k.seen.Renewals, Cursor: k.seen.Cursor}, held
}
