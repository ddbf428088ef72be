package coverage

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against rounding that accepts a partial answer below the minimum coverage,
// and against an accepted answer without any shard.
func TestAcceptsByTheRule(t *testing.T) {
	for _, c := range []struct {
		permille         uint32
		included, shards int
		want             bool
	}{
		{1000, 59, 59, true},
		{1000, 58, 59, false},
		{999, 58, 59, false},
		{900, 18, 20, true},
		{900, 17, 20, false},
		{901, 18, 20, false},
		{0, 1, 59, true},
		{0, 0, 59, false},
	} {
		rules := domain.Rules{MinCoveragePermille: c.permille}
		require.Equal(t, c.want, AcceptsCount(rules, c.included, c.shards), "%+v", c)

		cov := Coverage{Shards: uint32(c.shards), Included: make([]uint32, c.included)}
		require.Equal(t, c.want, Accepts(rules, cov), "%+v", c)
	}
}

// Guards against rounding up to a coverage that wasn't reached.
func TestPermilleRoundsDown(t *testing.T) {
	require.EqualValues(t, 983, Coverage{Shards: 59, Included: make([]uint32, 58)}.Permille())
	require.Zero(t, Coverage{}.Permille())
}
