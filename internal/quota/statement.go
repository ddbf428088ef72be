package quota

import "time"

// Statement is what an answer of a searcher says of its limit. The zero value says that
// the searcher has none.
type Statement struct {
	// Limited says that the searcher takes at most Rate requests a second from all
	// instances together, for as long as its answers say so.
	Limited bool
	Rate    float64
}

// stricter reports whether a statement allows less than another one.
func (s Statement) stricter(o Statement) bool {
	return s.Limited && (!o.Limited || s.Rate < o.Rate)
}

// Change is the effect of a statement on what is known of a searcher's limit.
type Change uint8

const (
	// Unchanged means that the same limit, or none, was known before.
	Unchanged Change = iota
	// Began means that the searcher has a limit and had none before.
	Began
	// Altered means that the searcher has another limit than before.
	Altered
	// Ended means that the searcher has no limit any more.
	Ended
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "began", "altered", "ended"}[min(c, Ended)]
}

// span is the time within which a searcher made a statement: after it was sent the request,
// and before its answer arrived.
type span struct{ from, until time.Time }

// state is what is known of the limit of a searcher's incarnation, and how this instance
// keeps to it.
type state struct {
	incarnation int64
	// gathered says that the instances' shares for gathered routes apply.
	gathered  bool
	statement Statement
	// stated is the latest span in which the searcher made just this statement.
	stated span
	// source is the instance that told the statement; empty if an answer did.
	source string

	permits
	allocation allocation
}

// learn takes a statement and reports what it changed. Statements of two answers whose
// spans overlap may have been made in either order; the stricter one counts until one is
// known to be later.
func (s *state) learn(st Statement, at span) Change {
	before := s.statement

	switch {
	case st == before:
		if at.until.After(s.stated.until) {
			s.stated = at
		}

		return Unchanged
	case at.until.Before(s.stated.from), !at.from.After(s.stated.until) && !st.stricter(before):
		return Unchanged
	}

	s.statement, s.stated = st, at

	switch {
	case !before.Limited:
		return Began
	case !st.Limited:
		s.permits = permits{countedAt: s.countedAt}

		return Ended
	default:
		return Altered
	}
}
