package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

const (
	// instancesPerReader bounds how many instances rely on one reader of the store.
	instancesPerReader = 100
	// maxReaders bounds the readers that an instance tries. Three rarely fail together,
	// and an instance without one reads the store itself.
	maxReaders = 3
)

// Readers returns the instances that read the store often on behalf of instance id, in the
// order in which to ask them. An instance that finds itself among them is the reader if
// those before it don't answer.
func (s *Set) Readers(id string) []domain.Instance {
	groups := uint64((len(s.instances) + instancesPerReader - 1) / instancesPerReader)
	if groups == 0 {
		return nil
	}

	key := "read-store/" + strconv.FormatUint(xxhash.Sum64String(id)%groups, 10)
	ranks := s.ranked(key, s.all())
	out := make([]domain.Instance, min(maxReaders, len(ranks)))

	for i := range out {
		out[i] = s.instances[ranks[i]]
	}

	return out
}
