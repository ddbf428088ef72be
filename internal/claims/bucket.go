package claims

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"

	"primrosespring.example/internal/domain"
)

const (
	// SlotMS is the length in milliseconds of the time slots that keys fall
	// into. It must not change while claims are stored: a key would look unclaimed
	// in its new bucket.
	SlotMS = 10_000
	// BucketsPerSlot is the number of stored objects that the claims of one slot
	// are spread over. It must not change while claims are stored, either.
	BucketsPerSlot = 4
	// MaxAnswerBytes bounds an answer that is stored with its claim.
	MaxAnswerBytes = 1 << 10
	// MaxBucketBytes bounds an encoded bucket. It is half of the store's limit,
	// since each write sends the whole bucket.
	MaxBucketBytes = 512 << 10
	// trimmedBucketBytes is the size to which an oversized bucket is trimmed. It
	// is below the limit so that the floor doesn't rise with each further claim.
	trimmedBucketBytes = MaxBucketBytes / 4 * 3
	// MaxClaimIDBytes bounds a claim id.
	MaxClaimIDBytes = 160

	// ObjectKind is the store's kind for buckets.
	ObjectKind = "claims"

	// bucketOverheadBytes bounds an encoded bucket without claims, and
	// claimOverheadBytes the key and punctuation of a claim.
	bucketOverheadBytes = 128
	claimOverheadBytes  = keyTextLength + 4
	// maxFieldsBytes bounds the encoded fields of a claim without the text in
	// them, and maxEscapedBytes the JSON encoding of one byte of text.
	maxFieldsBytes  = 224
	maxEscapedBytes = 6
)

// BucketID identifies a bucket by the time slot of its keys, counted from 1970,
// and its number within the slot.
type BucketID struct {
	Slot   uint64
	Number uint32
}

// String returns the name of the bucket's object.
func (id BucketID) String() string { return fmt.Sprintf("bucket-%d-%d", id.Slot, id.Number) }

// EndMS returns the end of the bucket's slot, in milliseconds since 1970.
func (id BucketID) EndMS() uint64 { return (id.Slot + 1) * SlotMS }

// State is the recorded progress of a claimed request.
type State string

// The states of a claim. Ran and aborted are final.
const (
	StateClaimed State = "claimed"
	StateRan     State = "ran"
	StateAborted State = "aborted"
)

// Claim is the record of one key.
type Claim struct {
	State State `json:"state"`
	// ClaimID is unique for each attempt to claim.
	ClaimID string `json:"claim_id"`
	// Digest identifies the request that the key was used for.
	Digest uint64 `json:"digest"`
	// Answer is nil unless the request ran and its answer is small.
	Answer   *string          `json:"answer,omitempty"`
	Snapshot *domain.Snapshot `json:"snapshot,omitempty"`
}

// Validate returns an error for the first invalid field.
func (c Claim) Validate() error {
	switch c.State {
	case StateClaimed, StateRan, StateAborted:
	default:
		return corrupt("state", "%q is not a state", c.State)
	}

	switch {
	case c.ClaimID == "" || len(c.ClaimID) > MaxClaimIDBytes:
		return corrupt("claim_id", "has %d bytes; must have 1 to %d", len(c.ClaimID), MaxClaimIDBytes)
	case c.Answer != nil && c.State != StateRan:
		return corrupt("answer", "is present in state %s", c.State)
	case c.Answer != nil && len(*c.Answer) > MaxAnswerBytes:
		return corrupt("answer", "has %d bytes; at most %d are allowed", len(*c.Answer), MaxAnswerBytes)
	case c.Snapshot != nil && c.State != StateRan:
		return corrupt("snapshot", "is present in state %s", c.State)
	}

	return nil
}

// Bucket is one stored object of claims. It is immutable; the zero value is
// a bucket that was never written.
type Bucket struct {
	// FloorMS is a time in milliseconds since 1970. Claims of keys before it
	// were dropped: whether such a key ran is unknown, and it is never granted.
	FloorMS uint64 `json:"floor_ms"`
	// ExpiryTerm is the highest term of the expiry lease that wrote this bucket.
	ExpiryTerm uint64        `json:"expiry_term"`
	Claims     map[Key]Claim `json:"claims"`
}

// Decode decodes and validates a bucket. Unknown fields are refused, since the
// next write would drop them.
func Decode(data []byte) (Bucket, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	var b Bucket
	if err := d.Decode(&b); err != nil {
		return Bucket{}, corrupt("", "%v", err).WithCause(err)
	}

	if d.More() {
		return Bucket{}, corrupt("", "more than one JSON value")
	}

	return b, b.Validate()
}

// Validate returns an error if a claim is invalid.
func (b Bucket) Validate() error {
	for k, c := range b.Claims {
		if err := c.Validate(); err != nil {
			return domain.InField("claims."+k.String(), err)
		}

		if k.UnixMilli() < b.FloorMS {
			return corrupt("claims."+k.String(), "is below the floor %d", b.FloorMS)
		}
	}

	return nil
}

// Encode returns the stored form.
func (b Bucket) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, corrupt("", "encode: %v", err).WithCause(err)
	}

	return data, nil
}

// withFloor returns a copy with at least the given floor, without the claims
// below it.
func (b Bucket) withFloor(floor uint64) Bucket {
	b.FloorMS = max(b.FloorMS, floor)
	b.Claims = maps.Clone(b.Claims)
	maps.DeleteFunc(b.Claims, func(k Key, _ Claim) bool { return k.UnixMilli() < b.FloorMS })

	return b
}

// Expire returns the bucket without claims and with the floor at endMS, the end
// of its slot, written under term, and whether it differs from b. No key of the
// slot is granted afterwards. A term below b.ExpiryTerm is refused.
func (b Bucket) Expire(term, endMS uint64) (Bucket, bool, error) {
	if term < b.ExpiryTerm {
		return Bucket{}, false, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "expire claims",
			"term %d has expired; the bucket was written under term %d", term, b.ExpiryTerm)
	}

	if b.FloorMS >= endMS {
		return b, false, nil
	}

	next := b.withFloor(endMS)
	next.ExpiryTerm = term

	return next, true, nil
}

// oversized reports whether the encoded bucket may exceed MaxBucketBytes. It calls
// sizeBound only if a rough bound exceeds that, since sizeBound encodes every claim.
func (b Bucket) oversized() bool {
	n := bucketOverheadBytes

	for _, c := range b.Claims {
		n += claimOverheadBytes + maxFieldsBytes + maxEscapedBytes*len(c.ClaimID)
		if c.Answer != nil {
			n += maxEscapedBytes * len(*c.Answer)
		}
	}

	return n > MaxBucketBytes && b.sizeBound() > MaxBucketBytes
}

// sizeBound returns an upper bound of the encoded size.
func (b Bucket) sizeBound() int {
	n := bucketOverheadBytes
	for _, c := range b.Claims {
		n += c.encodedBytes()
	}

	return n
}

// trimFloor returns the floor that trims b to trimmedBucketBytes.
func (b Bucket) trimFloor() uint64 {
	keys := slices.SortedFunc(maps.Keys(b.Claims), func(x, y Key) int { return bytes.Compare(x[:], y[:]) })
	size, floor := b.sizeBound(), b.FloorMS

	for _, k := range keys {
		if size <= trimmedBucketBytes {
			break
		}

		size -= b.Claims[k].encodedBytes()
		floor = k.UnixMilli() + 1
	}

	return floor
}

// encodedBytes returns an upper bound of what c adds to an encoded bucket.
func (c Claim) encodedBytes() int {
	data, err := json.Marshal(c)
	if err != nil {
		return MaxBucketBytes // Can't happen: every field has a JSON form.
	}

	return len(data) + claimOverheadBytes
}

// storableAnswer returns the answer to store, or nil if it is too large or isn't
// valid UTF-8, which JSON would change.
func storableAnswer(answer string) *string {
	if len(answer) > MaxAnswerBytes || !utf8.ValidString(answer) {
		return nil
	}

	return &answer
}

func corrupt(field, format string, args ...any) *domain.Error {
	e := domain.Errorf(domain.FateUnknown, domain.CodeInvalid, "decode claims", format, args...)
	e.Field = field

	return e
}
