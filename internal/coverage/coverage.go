// Package coverage states which shards the answer to a query includes, and whether
// the rules of its service accept that.
package coverage

import "primrosespring.example/internal/domain"

// Missing is a shard that an answer doesn't include, with the reason.
type Missing struct {
	Shard  uint32
	Reason domain.Code
}

// Coverage lists the shards that an answer includes and those that it doesn't. Each
// shard of the partition map is in exactly one of the two lists.
type Coverage struct {
	Shards   uint32
	Included []uint32
	Missing  []Missing
}

// Whole reports whether no shard is missing.
func (c Coverage) Whole() bool { return len(c.Missing) == 0 }

// Permille returns the share of included shards in 1/1,000, rounded down.
func (c Coverage) Permille() uint32 {
	if c.Shards == 0 {
		return 0
	}

	return uint32(len(c.Included)) * domain.Permille / c.Shards
}

// Accepts reports whether the rules allow an answer with coverage c.
func Accepts(rules domain.Rules, c Coverage) bool {
	return AcceptsCount(rules, len(c.Included), int(c.Shards))
}

// AcceptsCount reports whether the rules allow an answer that includes that many of
// the shards.
func AcceptsCount(rules domain.Rules, included, shards int) bool {
	return included > 0 && uint64(included)*domain.Permille >= uint64(shards)*uint64(rules.MinCoveragePermille)
}
