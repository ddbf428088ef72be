package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

// Update brings an instance to a later version. It has the changes since From, or
// the whole stored form, which applies to any version.
type Update struct {
	From    uint64
	Version uint64
	// Whole is the stored form as JSON; it is empty when Changes are set.
	Whole []byte
	// Changes holds each Change as JSON, oldest first.
	Changes [][]byte
	// Checksum is the xxhash64 of the JSON of the stored form of Version.
	Checksum uint64
}

// Size returns the content's size in bytes.
func (u Update) Size() int {
	n := len(u.Whole)
	for _, c := range u.Changes {
		n += len(c)
	}

	return n
}

// BehindError says that an update doesn't apply to the version in force. The
// instance must fetch the configuration.
type BehindError struct {
	Have, Need uint64
}

// Error implements error.
func (b *BehindError) Error() string {
	return fmt.Sprintf("update applies to version %d, not %d", b.Need, b.Have)
}

// apply returns the result of applying u to cur.
func (u Update) apply(cur *Stored) (*Stored, error) {
	if len(u.Whole) > 0 {
		if len(u.Whole) > MaxStoredBytes || xxhash.Sum64(u.Whole) != u.Checksum {
			return nil, corrupt("version %d (%d bytes) doesn't match the checksum sent with it", u.Version, len(u.Whole))
		}

		s, err := Decode(u.Whole)
		if err != nil {
			return nil, corrupt("%v", err)
		}

		return s, u.checkVersion(s)
	}

	if cur.Configuration.Version != u.From {
		return nil, &BehindError{Have: cur.Configuration.Version, Need: u.From}
	}

	next := cur

	for _, data := range u.Changes {
		var c Change
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, corrupt("decode change: %v", err)
		}

		var err error
		if next, err = Apply(next, c); err != nil {
			return nil, corrupt("apply change %s: %v", c.ID, err)
		}
	}

	sum, err := next.checksum()
	if err != nil {
		return nil, err
	}

	if sum != u.Checksum {
		return nil, corrupt("the result of the changes to version %d doesn't match the checksum", u.Version)
	}

	return next, u.checkVersion(next)
}

func (u Update) checkVersion(s *Stored) error {
	if s.Configuration.Version != u.Version {
		return corrupt("content has version %d, not %d", s.Configuration.Version, u.Version)
	}

	return nil
}

func (s *Stored) checksum() (uint64, error) {
	data, err := s.Encode()
	if err != nil {
		return 0, err
	}

	return xxhash.Sum64(data), nil
}

func corrupt(format string, args ...any) error {
	return domain.Errorf(domain.FateNotRun, domain.CodeCorrupt, "apply update", format, args...)
}
