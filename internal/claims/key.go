// Package claims implements the records that ensure that a request runs at most
// once.
//
// A key is claimed before its request is sent. Claims are stored in buckets, one
// object each, which change by conditional update only. Every operation is
// idempotent for its claim id, so that a batch can be applied again to the
// re-read bucket after the result of its write was lost. The package uses no
// sockets, clocks or goroutines.
package claims

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

const (
	keyTextLength = 36
	keyVersion    = 7
	keyVariant    = 0b10
)

// Key is the idempotency key of a request: a UUID of version 7, which begins
// with a time in milliseconds.
type Key [16]byte

// ParseKey parses the canonical form with hyphens, in upper or lower case. Its
// errors are of type *domain.Error with CodeInvalid and the field "key".
func ParseKey(s string) (Key, error) {
	var k Key

	if len(s) != keyTextLength || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return Key{}, invalidKey("%q is not a UUID in canonical form", truncate(s))
	}

	digits := s[:8] + s[9:13] + s[14:18] + s[19:23] + s[24:]
	if _, err := hex.Decode(k[:], []byte(digits)); err != nil {
		return Key{}, invalidKey("%q is not a UUID in canonical form", s)
	}

	if v := k[6] >> 4; v != keyVersion {
		return Key{}, invalidKey("%q is a UUID of version %d; version 7 is needed", s, v)
	}

	if k[8]>>6 != keyVariant {
		return Key{}, invalidKey("%q doesn't have the variant of RFC 9562", s)
	}

	return k, nil
}

// String returns the canonical form in lower case.
func (k Key) String() string {
	var b [keyTextLength]byte

	hex.Encode(b[:8], k[:4])
	hex.Encode(b[9:13], k[4:6])
	hex.Encode(b[14:18], k[6:8])
	hex.Encode(b[19:23], k[8:10])
	hex.Encode(b[24:], k[10:])
	b[8], b[13], b[18], b[23] = '-', '-', '-', '-'

	return string(b[:])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes and checks a key. Stored keys must be in lower case,
// so that each key has one encoding.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}

	if parsed.String() != string(text) {
		return invalidKey("%q is not in lower case", text)
	}

	*k = parsed

	return nil
}

// UnixMilli returns the time in the key, in milliseconds since 1970. It comes
// from the caller's clock and may be wrong.
func (k Key) UnixMilli() uint64 {
	return uint64(k[0])<<40 | uint64(k[1])<<32 | uint64(k[2])<<24 | uint64(k[3])<<16 | uint64(k[4])<<8 | uint64(k[5])
}

// Hash returns the xxhash64 of the key.
func (k Key) Hash() uint64 { return xxhash.Sum64(k[:]) }

// Shard returns the number of the key's shard, which is below shards.
func (k Key) Shard(shards int) uint32 { return uint32(k.Hash() % uint64(shards)) }

// Bucket returns the bucket that keeps the key's claim. It uses the upper half
// of the hash, so that buckets and shards are independent.
func (k Key) Bucket() BucketID {
	return BucketID{Slot: k.UnixMilli() / SlotMS, Number: uint32(k.Hash()>>32) % BucketsPerSlot}
}

// Digest identifies what a key was used for, so that a second use of the key
// for another request doesn't get the first one's answer.
func Digest(service, payload string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0}) // Service names have no zero byte.
	_, _ = d.WriteString(payload)

	return d.Sum64()
}

func invalidKey(format string, args ...any) error {
	e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check", format, args...)
	e.Field = "key"

	return e
}

func truncate(s string) string {
	if len(s) > keyTextLength {
		return s[:keyTextLength] + "..."
	}

	return s
}
