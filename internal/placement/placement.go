// Package placement assigns work to live instances by rendezvous hashing: who holds a
// service's searcher connections, who watches the store, who the overlay neighbours of
// an instance are and who owns a bucket of claims. Instances that see the same live
// instances decide alike without communicating, and few decisions change when one joins
// or leaves.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

// WatchersPerFailureDomain is how many instances of each failure domain watch the
// store, so that one may fail without a gap.
const WatchersPerFailureDomain = 2

// Set is an immutable set of live instances. The zero value is empty.
type Set struct {
	instances []domain.Instance
	hashes    []uint64
	index     map[string]int
	domains   []string
}

// NewSet returns the set of the given instances. Duplicate ids count once.
func NewSet(instances []domain.Instance) *Set {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b domain.Instance) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b domain.Instance) bool { return a.ID == b.ID })

	s := &Set{
		instances: sorted, hashes: make([]uint64, len(sorted)), index: make(map[string]int, len(sorted)),
	}

	for i, in := range sorted {
		s.hashes[i] = xxhash.Sum64String(in.ID)
		s.index[in.ID] = i

		if !slices.Contains(s.domains, in.FailureDomain) {
			s.domains = append(s.domains, in.FailureDomain)
		}
	}

	slices.Sort(s.domains)

	return s
}

// Len returns the number of instances.
func (s *Set) Len() int { return len(s.instances) }

// Instances returns the instances, sorted by id. The slice must not be changed.
func (s *Set) Instances() []domain.Instance { return s.instances }

// Instance returns the instance with that id.
func (s *Set) Instance(id string) (domain.Instance, bool) {
	i, ok := s.index[id]
	if !ok {
		return domain.Instance{}, false
	}

	return s.instances[i], true
}

// Owner returns the instance with that rank for key, where 0 is the highest. Ranks
// beyond the number of instances wrap around to the highest. Owner reports false for an
// empty set.
func (s *Set) Owner(key string, rank uint32) (domain.Instance, bool) {
	if len(s.instances) == 0 {
		return domain.Instance{}, false
	}

	k := xxhash.Sum64String(key)
	owner, score := s.bestBelow(k, math.MaxUint64)

	for range rank % uint32(len(s.instances)) {
		owner, score = s.bestBelow(k, score)
	}

	return s.instances[owner], true
}

// bestBelow returns the instance with the highest score for key below the limit, and
// its score.
func (s *Set) bestBelow(key, limit uint64) (best int, score uint64) {
	for i, h := range s.hashes {
		if m := mix(key, h); m < limit && m >= score {
			best, score = i, m
		}
	}

	return best, score
}

// Watchers returns the instances that watch the store.
func (s *Set) Watchers() []domain.Instance {
	var out []domain.Instance

	for _, d := range s.domains {
		candidates := s.inDomain(s.ranked("watch-store", s.all()), d)
		for _, i := range candidates[:min(WatchersPerFailureDomain, len(candidates))] {
			out = append(out, s.instances[i])
		}
	}

	return out
}

// IsWatcher reports whether instance id watches the store.
func (s *Set) IsWatcher(id string) bool {
	return slices.ContainsFunc(s.Watchers(), func(in domain.Instance) bool { return in.ID == id })
}

func (s *Set) all() []int {
	out := make([]int, len(s.instances))
	for i := range out {
		out[i] = i
	}

	return out
}

func (s *Set) inDomain(indices []int, failureDomain string) []int {
	var out []int

	for _, i := range indices {
		if s.instances[i].FailureDomain == failureDomain {
			out = append(out, i)
		}
	}

	return out
}

// ranked sorts indices by their rank for key, highest first.
func (s *Set) ranked(key string, indices []int) []int {
	k := xxhash.Sum64String(key)
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(mix(k, s.hashes[b]), mix(k, s.hashes[a])), cmp.Compare(a, b))
	})

	return indices
}

// mix combines two hashes; it is the finalizer of SplitMix64.
func mix(key, id uint64) uint64 {
	x := key ^ (id<<23 | id>>41)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
