package follower

import (
	"cmp"
	"strconv"

	"github.com/rs/zerolog"
)

// Revision is a place in the history of the store. After a return from an older copy the store
// gives out its numbers again, in a new era, so that numbers are compared within an era only and
// every place of a later era is after those of an earlier one.
type Revision struct {
	// Era is the store's era; 0 if the store doesn't state any.
	Era uint64
	// Number is the store's revision, which is above 0.
	Number uint64
}

// IsZero reports whether nothing is known.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Compare returns a negative number if r is before o, 0 if they are equal, and a positive number if r
// is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r is before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// After reports whether r is after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// String returns the era and the number, for logs.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "/" + strconv.FormatUint(r.Number, 10)
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r Revision) MarshalZerologObject(e *zerolog.Event) {
	e.Uint64("era", r.Era).Uint64("revision", r.Number)
}

// later returns the later of two revisions.
func later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}

	return a
}
