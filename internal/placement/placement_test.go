package placement

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/domain"
)

// fleet returns n instances over the given number of failure domains, three of which
// make up a region.
func fleet(n, domains int, prefix string) []domain.Instance {
	out := make([]domain.Instance, n)
	for i := range out {
		d := i % domains
		out[i] = domain.Instance{
			ID: fmt.Sprintf("%s-%d", prefix, i), FailureDomain: fmt.Sprintf("fd-%d", d), Region: fmt.Sprintf("r-%d", d/3),
		}
	}

	return out
}

// services returns a configuration of n services whose searchers take limit
// connections.
func services(n int, limit uint32) *domain.Configuration {
	cfg := &domain.Configuration{}

	for i := range n {
		cfg.Services = append(cfg.Services, domain.Service{
			Name: fmt.Sprintf("service-%02d", i),
			PartitionMap: domain.PartitionMap{Shards: []domain.Shard{{
				Searchers: []domain.Searcher{{ID: "a", Connections: limit}, {ID: "b", Connections: limit + 5}},
			}}},
		})
	}

	return cfg
}

func byDomain(in []domain.Instance) map[string]int {
	out := make(map[string]int)
	for _, i := range in {
		out[i.FailureDomain]++
	}

	return out
}

// Guards against more holders than a searcher's connection limit allows, and against a
// small fleet in which some instance holds no service.
func TestHolderCountRespectsTheSmallestLimit(t *testing.T) {
	svc := &services(1, 25).Services[0]

	require.Equal(t, 9, HolderCount(svc, 9, 1))
	require.Equal(t, 20, HolderCount(svc, 440, 1))
	require.Equal(t, 10, HolderCount(svc, 440, 2))
	require.Equal(t, 1, HolderCount(svc, 440, 1000))

	a := NewSet(fleet(9, 3, "e")).Assign(services(22, 25), 1)
	require.Len(t, a.Holders("service-07"), 9)
}

// Guards against a service whose holders are concentrated in few failure domains and
// against an instance that holds much more than its share.
func TestAssignSpreadsAndBalancesHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{9, 30, 60, 120, 440}).Draw(t, "instances")
		domains := rapid.SampledFrom([]int{3, 6}).Draw(t, "domains")
		cfg := services(22, rapid.Uint32Range(5, 110).Draw(t, "limit"))
		s := NewSet(fleet(n, domains, rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "prefix")))
		a := s.Assign(cfg, 1)

		load := make(map[string]int)
		total := 0

		for i := range cfg.Services {
			h := a.Holders(cfg.Services[i].Name)
			require.Len(t, h, HolderCount(&cfg.Services[i], n, 1))
			require.Len(t, NewSet(h).Instances(), len(h), "a holder is listed twice")

			for d, c := range byDomain(h) {
				require.LessOrEqual(t, c, len(h)/domains+2, "failure domain %s", d)
			}

			total += len(h)

			for _, in := range h {
				load[in.ID]++
			}
		}

		// maxLoadPercent, 125% of the mean, rounded up.
		for id, l := range load {
			require.LessOrEqual(t, l, (total*5+4*n-1)/(4*n), "load of %s", id)
		}
	})
}

// Guards against an assignment that changes as a whole when one instance leaves: each
// lost holder may move a few others through the load bound. By symmetry this also
// covers a join.
func TestAssignMovesFewHoldersWhenOneLeaves(t *testing.T) {
	for _, n := range []int{30, 120, 440} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			cfg := services(22, 25)
			all := fleet(n, 6, "entry")
			before := NewSet(all).Assign(cfg, 1)
			moves, held := 0, 0

			for leaving := range all {
				rest := append(append([]domain.Instance(nil), all[:leaving]...), all[leaving+1:]...)
				after := NewSet(rest).Assign(cfg, 1)

				for i := range cfg.Services {
					name := cfg.Services[i].Name
					if before.Holds(name, all[leaving].ID) {
						held++
					}

					for _, in := range after.Holders(name) {
						if !before.Holds(name, in.ID) {
							moves++
						}
					}
				}
			}

			t.Logf("%d instances: %.2f moves for each leaving instance, which held %.2f services",
				n, float64(moves)/float64(n), float64(held)/float64(n))
			require.LessOrEqual(t, moves, 4*held)
		})
	}
}

// Guards against a failure domain without a watcher, and against a number of watchers
// that grows with the fleet.
func TestWatchersAreTwoForEachFailureDomain(t *testing.T) {
	for _, n := range []int{1, 4, 9, 440} {
		s := NewSet(fleet(n, 6, "entry"))
		for d, c := range byDomain(s.Instances()) {
			require.Equal(t, min(2, c), byDomain(s.Watchers())[d])
		}
	}
}

// Guards against an overlay that is disconnected, grows with the fleet, or has an
// instance whose neighbours all share its failure domain or region.
func TestNeighboursConnectEveryInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		s := NewSet(fleet(n, domains, rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "prefix")))
		reached := map[string]bool{s.Instances()[0].ID: true}
		queue := []domain.Instance{s.Instances()[0]}

		for len(queue) > 0 {
			self := queue[0]
			queue = queue[1:]
			ns := s.Neighbours(self)
			require.Len(t, ns, min(NeighbourCount, n-1))

			otherDomain, otherRegion := false, false

			for _, o := range ns {
				require.NotEqual(t, self.ID, o.ID)

				otherDomain = otherDomain || o.FailureDomain != self.FailureDomain
				otherRegion = otherRegion || o.Region != self.Region

				if !reached[o.ID] {
					reached[o.ID] = true
					queue = append(queue, o)
				}
			}

			require.Equal(t, len(byDomain(s.Instances())) > 1, otherDomain)
			require.Equal(t, domains > 3 && n > 3, otherRegion)
		}

		require.Len(t, reached, n)
	})
}

// Guards against claim buckets that change owner although their owner is still live.
func TestOwnerChangesOnlyWithItsOwner(t *testing.T) {
	all := fleet(440, 6, "entry")
	before, after := NewSet(all), NewSet(all[1:])

	for i := range 1000 {
		key := fmt.Sprintf("bucket-%d", i)
		was, _ := before.Owner(key, 0)
		is, ok := after.Owner(key, 0)
		require.True(t, ok)

		if was.ID != all[0].ID {
			require.Equal(t, was, is)
		}
	}

	_, ok := (&Set{}).Owner("bucket", 0)
	require.False(t, ok)
}

func BenchmarkAssign440(b *testing.B) {
	s, cfg := NewSet(fleet(440, 6, "entry")), services(22, 25)

	for b.Loop() {
		s.Assign(cfg, 1)
	}
}

func BenchmarkNeighbours440(b *testing.B) {
	s := NewSet(fleet(440, 6, "entry"))

	for b.Loop() {
		s.Neighbours(s.Instances()[7])
	}
}
