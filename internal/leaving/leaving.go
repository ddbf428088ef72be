// Package leaving keeps which searchers have said in their answers that they leave, and
// which instances have heard it, so that instances can tell one another.
//
// A searcher's answer proves its sign to the instance that received it. Others take it from
// that instance's word: Sign.Confirmed distinguishes the word of two instances from that of
// one.
package leaving

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// MaxSigns bounds the signs that are kept; the one that was heard first is dropped first.
	MaxSigns = 1024
	// witnesses is how many instances must have heard a sign for it to be confirmed.
	witnesses = 2
	// memory is how long a sign is told to others. A searcher that leaves ends within
	// seconds, and its registration with it.
	memory = 2 * time.Minute
)

// Sign says that an incarnation of a searcher leaves.
type Sign struct {
	Searcher    string
	Incarnation int64
	// HeardBy holds up to two of the instances that an answer told.
	HeardBy []string
	// Age is how long ago the first of them heard it.
	Age time.Duration
}

// Confirmed reports whether several instances have heard the sign.
func (s *Sign) Confirmed() bool { return len(s.HeardBy) >= witnesses }

// Validate returns an error for the first invalid field.
func (s *Sign) Validate() error {
	switch {
	case s.Searcher == "":
		return errors.New("sign of leaving: searcher must not be empty")
	case len(s.HeardBy) == 0 || len(s.HeardBy) > witnesses || slices.Contains(s.HeardBy, ""):
		return errors.Errorf("sign of leaving of searcher %s: it must be heard by 1 to %d instances", s.Searcher, witnesses)
	case s.Age < 0:
		return errors.Errorf("sign of leaving of searcher %s: negative age", s.Searcher)
	}

	return nil
}

// key names an incarnation of a searcher.
type key struct {
	searcher    string
	incarnation int64
}

// entry is what is known of a sign.
type entry struct {
	heardAt time.Time
	heardBy []string
}

// Signs holds the signs that this instance knows. Its zero value is empty and ready to use,
// and it is safe for concurrent use.
type Signs struct {
	mu      sync.Mutex // Guards entries.
	entries map[key]*entry
}

// Heard records that an answer has told this instance.
func (s *Signs) Heard(now time.Time, self, searcher string, incarnation int64) {
	s.Learn(now, []Sign{{Searcher: searcher, Incarnation: incarnation, HeardBy: []string{self}}})
}

// Learn takes signs that another instance knows, which must be valid, and returns those that
// are new or have become confirmed.
func (s *Signs) Learn(now time.Time, signs []Sign) []Sign {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []Sign

	for _, sg := range signs {
		if sg.Age < memory && s.add(now, &sg) {
			out = append(out, s.sign(now, key{sg.Searcher, sg.Incarnation}))
		}
	}

	return out
}

// add takes a sign and reports whether it is new or has become confirmed.
func (s *Signs) add(now time.Time, sg *Sign) bool {
	k := key{sg.Searcher, sg.Incarnation}

	e, ok := s.entries[k]
	if !ok {
		e = &entry{heardAt: now.Add(-sg.Age)}
		s.put(k, e)
	}

	before := len(e.heardBy)

	for _, id := range sg.HeardBy {
		if len(e.heardBy) < witnesses && !slices.Contains(e.heardBy, id) {
			e.heardBy = append(e.heardBy, id)
		}
	}

	return !ok || before < witnesses && len(e.heardBy) == witnesses
}

func (s *Signs) put(k key, e *entry) {
	if s.entries == nil {
		s.entries = make(map[key]*entry)
	}

	if len(s.entries) >= MaxSigns {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.entries)), func(a, b key) int {
			return s.entries[a].heardAt.Compare(s.entries[b].heardAt)
		})
		delete(s.entries, oldest)
	}

	s.entries[k] = e
}

// sign describes an entry; the caller holds mu.
func (s *Signs) sign(now time.Time, k key) Sign {
	e := s.entries[k]

	return Sign{
		Searcher: k.searcher, Incarnation: k.incarnation, HeardBy: slices.Clone(e.heardBy), Age: max(now.Sub(e.heardAt), 0),
	}
}

// All returns the signs to tell others, ordered by searcher, and drops the old ones.
func (s *Signs) All(now time.Time) []Sign {
	s.mu.Lock()
	defer s.mu.Unlock()

	maps.DeleteFunc(s.entries, func(_ key, e *entry) bool { return now.Sub(e.heardAt) >= memory })

	out := make([]Sign, 0, len(s.entries))
	for k := range s.entries {
		out = append(out, s.sign(now, k))
	}

	slices.SortFunc(out, func(a, b Sign) int {
		return cmp.Or(cmp.Compare(a.Searcher, b.Searcher), cmp.Compare(a.Incarnation, b.Incarnation))
	})

	return out
}
