package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

// ring is one order of all instances on a circle. The neighbour of an instance on it is
// the nearest successor for which allows returns true.
type ring struct {
	name   string
	allows func(self, other domain.Instance) bool
}

// rings contains two rings that accept every instance: either one alone strongly
// connects the overlay, as its successors form a cycle through all instances.
var rings = [...]ring{
	{"any-0", func(domain.Instance, domain.Instance) bool { return true }},
	{"failure-domain", func(a, b domain.Instance) bool { return a.FailureDomain != b.FailureDomain }},
	{"region", func(a, b domain.Instance) bool { return a.Region != b.Region }},
	{"any-1", func(domain.Instance, domain.Instance) bool { return true }},
}

// NeighbourCount is how many overlay neighbours an instance has if there are enough
// instances.
const NeighbourCount = len(rings)

// Neighbours returns the overlay neighbours of self, which need not be in the set. At
// least one is in another failure domain and one in another region, if such instances
// exist.
func (s *Set) Neighbours(self domain.Instance) []domain.Instance {
	chosen := make(map[int]bool, NeighbourCount)
	out := make([]domain.Instance, 0, NeighbourCount)
	add := func(i int, ok bool) {
		if ok {
			chosen[i] = true
			out = append(out, s.instances[i])
		}
	}

	for _, r := range rings {
		add(s.successor(self, r, chosen))
	}

	// Fills up if too few instances are in other failure domains or regions.
	for extra := 0; len(out) < NeighbourCount && len(out) < len(s.instances); extra++ {
		i, ok := s.successor(self, ring{"extra-" + strconv.Itoa(extra), rings[0].allows}, chosen)
		if !ok {
			break
		}

		add(i, ok)
	}

	return out
}

func (s *Set) successor(self domain.Instance, r ring, chosen map[int]bool) (int, bool) {
	k := xxhash.Sum64String("ring/" + r.name)
	from := mix(k, xxhash.Sum64String(self.ID))
	best, found := 0, false

	var nearest uint64

	for i, in := range s.instances {
		if in.ID == self.ID || chosen[i] || !r.allows(self, in) {
			continue
		}

		// Unsigned subtraction gives the distance around the circle.
		if d := mix(k, s.hashes[i]) - from; !found || d < nearest {
			best, nearest, found = i, d, true
		}
	}

	return best, found
}
