package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

// Update brings an instance from one version to a later one: as the changes
// between them, or whole for an instance at another version.
type Update struct {
	From    uint64
	Version uint64
	// Whole is the stored form; it is empty when Changes are set.
	Whole   []byte
	Changes [][]byte
	// Checksum is the xxhash64 of the stored form of Version.
	Checksum uint64
}

// Size returns the bytes of content.
func (u Update) Size() int {
	n := len(u.Whole)
	for _, c := range u.Changes {
		n += len(c)
	}

	return n
}

// BehindError says that an update doesn't apply to the version in force, so that
// the instance must fetch.
type BehindError struct {
	Have, Need uint64
}

// Error implements error.
func (b *BehindError) Error() string {
	return fmt.Sprintf("update applies to version %d, not %d", b.Need, b.Have)
}

// apply returns the stored form that u leads to from cur.
func (u Update) apply(cur *Stored) (*Stored, error) {
	if len(u.Whole) > 0 {
		if len(u.Whole) > MaxStoredBytes || xxhash.Sum64(u.Whole) != u.Checksum {
			return nil, corrupt("version %d of %d bytes doesn't have the checksum sent with it", u.Version, len(u.Whole))
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
		return nil, corrupt("changes to version %d lead to another checksum", u.Version)
	}

	return next, u.checkVersion(next)
}

func (u Update) checkVersion(s *Stored) error {
	if s.Configuration.Version != u.Version {
		return corrupt("content is of version %d, not %d", s.Configuration.Version, u.Version)
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
