package domain

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest stands for a key of a member organisation: its SHA-256. Keys themselves are neither
// kept nor sent on. Digests are found in maps by their whole value, so that the time that takes
// says nothing about a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Short returns the first digits, by which an operator tells keys apart.
func (d KeyDigest) Short() string { return hex.EncodeToString(d[:4]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return invalid("key", "is not a digest")
	}

	if _, err := hex.Decode(d[:], text); err != nil {
		return invalid("key", "is not a digest")
	}

	return nil
}

// Credentials are what a caller states of the member organisation that it acts for. The zero
// value states nothing.
type Credentials struct {
	// Presented says that the request has a key, and Valid that it can be read.
	Presented, Valid bool
	Key              KeyDigest
}
