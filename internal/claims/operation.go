package claims

import (
	"maps"

	"primrosespring.example/internal/domain"
)

// Kind is what an operation does.
type Kind uint8

// The kinds of operations.
const (
	// ClaimKey asks for the right to send the request.
	ClaimKey Kind = iota
	// RecordRan records that the request ran.
	RecordRan
	// AbortKey ensures that the request never runs.
	AbortKey
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case ClaimKey:
		return "claim"
	case RecordRan:
		return "record"
	case AbortKey:
		return "abort"
	}

	return "invalid"
}

// Operation is a change to one claim. Applying it again has no further effect,
// however often and however late that happens.
type Operation struct {
	Kind    Kind
	Key     Key
	ClaimID string
	Digest  uint64
	// Answer and Snapshot are those of the run, for RecordRan.
	Answer   string
	Snapshot domain.Snapshot
}

// Outcome is the decision on an operation.
type Outcome uint8

const (
	// Undecided is the zero value; no operation results in it.
	Undecided Outcome = iota
	// Granted means that the operation's claim id holds the claim: only its
	// claimer may ever send the request.
	Granted
	// Held means that another claimer holds the claim and no final state is recorded.
	Held
	// Ran means that the request ran; for RecordRan, that this is recorded.
	Ran
	// Aborted means that the request didn't run and never will.
	Aborted
	// BelowFloor means that claims as old as the key were dropped.
	BelowFloor
	// OtherRequest means that the key was used for a different request.
	OtherRequest
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Held:
		return "held"
	case Ran:
		return "ran"
	case Aborted:
		return "aborted"
	case BelowFloor:
		return "below_floor"
	case OtherRequest:
		return "other_request"
	case Undecided:
	}

	return "undecided"
}

// Result is the outcome of one operation, with the record it leaves.
type Result struct {
	Outcome Outcome
	// Claim is the record after the operation; it is empty for BelowFloor.
	Claim Claim
}

// Apply applies a batch of operations, in order, and returns the new bucket,
// the results and whether the new bucket differs from b. The results are valid
// once the new bucket is stored, or at once if it doesn't differ.
//
// If the result of a write was lost, the caller applies the same batch to the
// re-read bucket: an operation that finds its own claim id there gets the
// decision that the first write stored.
func (b Bucket) Apply(ops []Operation) (Bucket, []Result, bool) {
	next, results, changed := b.apply(ops)

	// The floor rises before the batch is applied again, so that a claim that
	// the new floor drops isn't granted.
	for changed && next.oversized() {
		b = b.withFloor(next.trimFloor())
		next, results, _ = b.apply(ops)
	}

	return next, results, changed
}

func (b Bucket) apply(ops []Operation) (Bucket, []Result, bool) {
	next := b
	next.Claims = maps.Clone(b.Claims)

	if next.Claims == nil {
		next.Claims = make(map[Key]Claim, len(ops))
	}

	results := make([]Result, len(ops))
	changed := false

	for i, op := range ops {
		c, write := Claim{}, false

		results[i].Outcome = BelowFloor
		if op.Key.UnixMilli() >= b.FloorMS {
			old, exists := next.Claims[op.Key]
			results[i].Outcome, c, write = op.decide(old, exists)
			results[i].Claim = c
		}

		if write {
			next.Claims[op.Key] = c
			changed = true
		}
	}

	return next, results, changed
}

// decide returns the outcome of o for a key with the record old, the new record
// and whether it must be written. Records of other claim ids are never changed.
func (o Operation) decide(old Claim, exists bool) (Outcome, Claim, bool) {
	if !exists {
		return o.decideNew()
	}

	if old.Digest != o.Digest {
		return OtherRequest, old, false
	}

	if old.State == StateClaimed && old.ClaimID == o.ClaimID {
		switch o.Kind {
		case RecordRan:
			return Ran, o.ranClaim(), true
		case AbortKey:
			return Aborted, o.abortedClaim(), true
		case ClaimKey:
			return Granted, old, false
		}
	}

	switch old.State {
	case StateRan:
		return Ran, old, false
	case StateAborted:
		return Aborted, old, false
	case StateClaimed:
	}

	return Held, old, false
}

// decideNew decides for a key without a record. A run is recorded even
// then: if the bucket was read before its claim was stored, the conditional
// write fails.
func (o Operation) decideNew() (Outcome, Claim, bool) {
	switch o.Kind {
	case RecordRan:
		return Ran, o.ranClaim(), true
	case AbortKey:
		return Aborted, o.abortedClaim(), true
	case ClaimKey:
	}

	return Granted, Claim{State: StateClaimed, ClaimID: o.ClaimID, Digest: o.Digest}, true
}

func (o Operation) ranClaim() Claim {
	s := o.Snapshot

	return Claim{State: StateRan, ClaimID: o.ClaimID, Digest: o.Digest, Answer: storableAnswer(o.Answer), Snapshot: &s}
}

func (o Operation) abortedClaim() Claim {
	return Claim{State: StateAborted, ClaimID: o.ClaimID, Digest: o.Digest}
}
