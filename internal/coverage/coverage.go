// Package coverage says what the answers of a query prove, and whether the
// rules of its service accept them.
package coverage

import "primrosespring.example/internal/domain"

// Missing is a shard that an answer lacks.
type Missing struct {
	Shard  uint32
	Reason domain.Code
}

// Coverage states which shards an answer includes and which it lacks. Together
// they are all shards of the partition map, each once.
type Coverage struct {
	Shards   uint32
	Included []uint32
	Missing  []Missing
}

// Whole reports whether no shard is missing.
func (c Coverage) Whole() bool { return len(c.Missing) == 0 }

// Permille returns the share of shards included, in 1/1,000, rounded down.
func (c Coverage) Permille() uint32 {
	if c.Shards == 0 {
		return 0
	}

	return uint32(len(c.Included)) * domain.Permille / c.Shards
}

// Accepts reports whether rules allow an answer with this coverage.
func Accepts(rules domain.Rules, c Coverage) bool {
	return AcceptsCount(rules, len(c.Included), int(c.Shards))
}

// AcceptsCount reports whether rules allow an answer with that many of the
// shards.
func AcceptsCount(rules domain.Rules, included, shards int) bool {
	return included > 0 && uint64(included)*domain.Permille >= uint64(shards)*uint64(rules.MinCoveragePermille)
}
