package gathering

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newFleet(large, small int) []Instance {
	var out []Instance

	for i := range large + small {
		in := Instance{
			ID: fmt.Sprintf("i-%d", i), FailureDomain: strconv.Itoa(i % 3), Address: fmt.Sprintf("10.0.0.%d:1", i),
			Cores: 0.192, LinkMbps: 20,
		}

		if i < large {
			in.Cores, in.LinkMbps = 0.8, 200
		}

		out = append(out, in)
	}

	return out
}

// Guards against small instances that gather a hundred sub-queries themselves although
// large ones could.
func TestSmallInstancesHandOverToLargeOnes(t *testing.T) {
	fleet := newFleet(6, 53)

	p := Decide(fleet, "i-30", 52)
	require.True(t, p.HandsOver)
	require.Equal(t, 6, p.Gatherers)
	require.Len(t, p.Near, 2)
	require.Len(t, p.Far, 4)

	for _, in := range p.Near {
		require.Equal(t, "0", in.FailureDomain)
	}

	require.False(t, Decide(fleet, "i-2", 52).HandsOver)
}

// Guards against handing over in a fleet of equal instances with enough connections,
// where it would only add a hop.
func TestEqualInstancesGatherThemselves(t *testing.T) {
	p := Decide(newFleet(0, 9), "i-3", 26)
	require.False(t, p.HandsOver)
	require.InDelta(t, 1.0/9, p.Share(), 1e-9)
}

// Guards against an instance that isn't in its list of instances, as after the store has lost its entry,
// and takes as large a share as those that are.
func TestMissingInstancesCountThemselves(t *testing.T) {
	for _, n := range []int{0, 1, 9} {
		require.InDelta(t, 1/float64(n+1), Decide(newFleet(n, 0), "new", 26).Share(), 1e-9)
	}
}

// Guards against more gatherers than a searcher's connections allow, and against a
// failure domain without a gatherer.
func TestEqualInstancesAreBoundedByConnections(t *testing.T) {
	fleet := newFleet(0, 300)
	domains := make(map[string]bool)
	gatherers := 0

	for _, in := range fleet {
		if p := Decide(fleet, in.ID, 52); !p.HandsOver {
			gatherers++
			domains[in.FailureDomain] = true
		}
	}

	require.Equal(t, 26, gatherers)
	require.Len(t, domains, 3)
}

// Guards against a single large instance that gathers for a whole fleet.
func TestSingleLargeInstanceDoesNotGatherForAll(t *testing.T) {
	require.False(t, Decide(newFleet(1, 20), "i-5", 0).HandsOver)
}

// Guards against shares of a common limit that together exceed it, and against
// instances that choose different gatherers.
func TestSharesAddUpToAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(0, 20).Draw(t, "large"), rapid.IntRange(1, 80).Draw(t, "small"))
		connections := rapid.IntRange(0, 60).Draw(t, "connections")
		total, gather := 0.0, 0

		for _, in := range fleet {
			p := Decide(fleet, in.ID, connections)
			total += p.Share()

			if !p.HandsOver {
				gather++
			}

			require.False(t, slices.ContainsFunc(slices.Concat(p.Near, p.Far), func(g Instance) bool {
				return Decide(fleet, g.ID, connections).HandsOver
			}))
		}

		require.LessOrEqual(t, total, 1+1e-9)
		require.Equal(t, Decide(fleet, "i-0", connections).Gatherers, gather)
	})
}
