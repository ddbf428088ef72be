package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

func registration(id string, change func(r *domain.Registration)) domain.Registration {
	r := domain.Registration{ID: id, Pool: "p", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 2, Started: 100, Sequence: 5}
	if change != nil {
		change(&r)
	}

	return r
}

func put(d *Directory, r domain.Registration) bool {
	return d.ApplySearchers([]SearcherChange{{ID: r.ID, Registration: r}})[0]
}

func remove(d *Directory, id string) bool {
	return d.ApplySearchers([]SearcherChange{{ID: id, Removed: true}})[0]
}

func configured() *Directory {
	d := &Directory{}
	d.Configure(&domain.RouteTable{Version: 3, Pools: []domain.Pool{{Name: "p", Connections: 26}}, Routes: []domain.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 2,
		Split: []domain.WeightedPool{{Pool: "p", Weight: 1}},
	}}})

	return d
}

func searchers(d *Directory) []domain.Searcher {
	return d.View().Entries[0].Targets[0].Service.PartitionMap.Shards[0].Searchers
}

// Guards against a return to an older configuration version, which a stale list or a
// delayed answer may contain.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d := configured()
	require.False(t, d.Configure(&domain.RouteTable{Version: 2}))
	require.False(t, d.Configure(&domain.RouteTable{Version: 3}))
	require.EqualValues(t, 3, d.View().Table.Version)
	require.True(t, d.Configure(&domain.RouteTable{Version: 9}))
	require.EqualValues(t, 9, d.View().Table.Version)
}

// Guards against readiness before both the configuration and the searchers are known.
func TestReadyNeedsConfigurationAndSearchers(t *testing.T) {
	var d Directory

	require.Nil(t, d.View())
	d.ReplaceSearchers(nil)
	require.False(t, d.Ready())
	d.Configure(&domain.RouteTable{Version: 1})
	require.True(t, d.Ready())
}

// Guards against new requests for a draining searcher, and against a delayed write of
// the store that makes it usable again.
func TestRegistryDrainingStays(t *testing.T) {
	d := configured()
	d.ReplaceSearchers([]domain.Registration{registration("s", nil)})
	require.True(t, d.Usable("s"))
	require.Len(t, searchers(d), 1)

	put(d, registration("s", func(r *domain.Registration) { r.Draining, r.Sequence = true, 8 }))
	require.False(t, d.Usable("s"))
	require.Empty(t, searchers(d))

	require.False(t, put(d, registration("s", func(r *domain.Registration) { r.Sequence = 7 })))
	require.False(t, d.Usable("s"), "an older registration doesn't cancel draining")

	put(d, registration("s", func(r *domain.Registration) { r.Started, r.Sequence = 200, 1 }))
	require.True(t, d.Usable("s"), "a new process under the same id is usable")

	require.False(t, put(d, registration("s", func(r *domain.Registration) { r.Draining, r.Sequence = true, 9 })))
	require.True(t, d.Usable("s"), "a registration of an earlier process is ignored")
}

// Guards against requests for a searcher whose registration was removed although it
// didn't drain.
func TestRegistryRemovalIsImmediate(t *testing.T) {
	d := configured()
	d.ReplaceSearchers([]domain.Registration{registration("s", nil), registration("u", nil)})
	require.True(t, remove(d, "s"))
	require.False(t, d.Usable("s"))
	require.False(t, remove(d, "s"))

	d.ReplaceSearchers(nil)
	require.False(t, d.Usable("u"), "a list without the searcher removes it too")
}

// Guards against pools that are empty when the store recovers, since registrations
// expired during the outage, and against a searcher that is used for longer than
// RegistrationGrace without registering again.
func TestRegistrationGraceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := configured()
		d.ReplaceSearchers([]domain.Registration{registration("s", nil), registration("u", nil)})
		time.Sleep(10 * time.Second)

		d.StoreRecovered()
		remove(d, "s")
		remove(d, "u")
		require.True(t, d.Usable("s"))

		time.Sleep(time.Second)
		put(d, registration("s", func(r *domain.Registration) { r.Sequence = 20 }))
		time.Sleep(RegistrationGrace - time.Second)
		d.Expire()
		require.True(t, d.Usable("s"))
		require.False(t, d.Usable("u"))

		time.Sleep(10 * time.Second)
		remove(d, "s")
		require.False(t, d.Usable("s"), "the next removal isn't due to the outage")
	})
}

// Guards against requests to searchers that were gone or draining before the store's return from an
// older copy, which has them as they were; and against one that runs and isn't used for good, since
// its registration changes no more.
func TestSearchersStayGoneAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := configured()
		d.ReplaceSearchers([]domain.Registration{registration("gone", nil), registration("back", nil), registration("runs", nil)})
		put(d, registration("drains", func(r *domain.Registration) { r.Draining, r.Sequence = true, 9 }))

		for _, id := range []string{"gone", "back", "runs"} {
			remove(d, id)
		}

		time.Sleep(3 * time.Second)
		d.StoreRestored()
		d.ReplaceSearchers([]domain.Registration{
			registration("gone", nil), registration("back", nil), registration("drains", nil),
			registration("runs", func(r *domain.Registration) { r.Sequence-- }),
		})
		require.Empty(t, searchers(d))

		put(d, registration("back", func(r *domain.Registration) { r.Sequence++ }))
		require.True(t, d.Usable("back"), "it registers again")

		time.Sleep(3 * time.Second)
		remove(d, "gone")
		time.Sleep(RestoreTime - 3*time.Second)
		d.Expire()
		require.False(t, d.Usable("gone"))
		require.False(t, d.Usable("drains"))
		require.True(t, d.Usable("runs"), "the store would have removed it")
	})
}

// Guards against requests to another process at a searcher's former address.
func TestRegistryDeniesReusedAddresses(t *testing.T) {
	d := configured()
	d.ReplaceSearchers([]domain.Registration{registration("s", nil)})
	require.True(t, d.Deny("s", 100, "127.0.0.1:1"))
	require.False(t, d.Usable("s"))
	put(d, registration("s", func(r *domain.Registration) { r.Sequence = 6 }))
	require.False(t, d.Usable("s"), "a heartbeat of the same process changes nothing")
	put(d, registration("s", func(r *domain.Registration) { r.Address, r.Sequence = "127.0.0.1:2", 7 }))
	require.True(t, d.Usable("s"))

	// An answer from the old address, or for an earlier incarnation, comes late.
	require.False(t, d.Deny("s", 100, "127.0.0.1:1"))
	put(d, registration("s", func(r *domain.Registration) { r.Address, r.Started, r.Sequence = "127.0.0.1:2", 200, 1 }))
	require.False(t, d.Deny("s", 100, "127.0.0.1:2"))
	require.True(t, d.Usable("s"))
}

// Guards against a new view for each of many changes: while hundreds of searchers
// registered, an instance with a fifth of a core fell behind, and sent a request to a
// searcher 5.2 s after it began to drain.
func TestChangesTogetherMakeOneView(t *testing.T) {
	d := configured()
	before := d.View().RegistryChange

	applied := d.ApplySearchers([]SearcherChange{
		{ID: "s", Registration: registration("s", nil)},
		{ID: "u", Registration: registration("u", nil)},
		{ID: "s", Removed: true},
		{ID: "none", Removed: true},
	})
	require.Equal(t, []bool{true, true, true, false}, applied)
	require.Equal(t, before+1, d.View().RegistryChange)
	require.False(t, d.Usable("s"))
	require.True(t, d.Usable("u"))
}

// Guards against a copy for other instances that lacks a draining searcher, contains a
// removed one, or is given while a missing registration may only have expired during
// the store's outage.
func TestCopiesAreGivenOnceSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Directory{}
		require.Nil(t, d.Configurations())

		_, ok := d.Registrations()
		require.False(t, ok, "no list was received yet")

		draining := registration("b", func(r *domain.Registration) { r.Draining = true })
		d.ReplaceSearchers([]domain.Registration{draining, registration("a", nil), registration("c", nil)})
		remove(d, "c")

		list, ok := d.Registrations()
		require.True(t, ok)
		require.Equal(t, []domain.Registration{registration("a", nil), draining}, list)

		d.StoreRecovered()
		remove(d, "a")

		_, ok = d.Registrations()
		require.False(t, ok, "searcher a may register again")
		time.Sleep(RegistrationGrace)

		list, ok = d.Registrations()
		require.True(t, ok)
		require.Equal(t, []domain.Registration{draining}, list)

		table := &domain.RouteTable{Version: 3}
		d.Configure(table)
		require.Equal(t, []*domain.RouteTable{table}, d.Configurations())
	})
}

// Guards against a copy that lacks registrations which the store has again after two returns from older
// copies: an instance that takes the copy hears of them no more. Found by the soak, seed 56001.
func TestCopiesLackNoRestoredRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := configured()
		both := []domain.Registration{registration("a", nil), registration("b", nil)}
		d.ReplaceSearchers(both)

		d.StoreRestored()
		d.ReplaceSearchers(both[:1])
		time.Sleep(3 * time.Second)

		d.StoreRestored()
		d.ReplaceSearchers(both)
		time.Sleep(RegistrationGrace)

		_, ok := d.Registrations()
		require.False(t, ok, "searcher b counts as gone")

		time.Sleep(RestoreTime - RegistrationGrace)
		d.Expire()

		list, ok := d.Registrations()
		require.True(t, ok)
		require.Equal(t, both, list)
	})
}

// Guards against a pool whose searchers are removed for good just after the store
// recovered, and are still used after RegistrationGrace. Found by the check DRAIN
// in deployment adunni-search-grown, test day trouble-1, seed 66505997931.
func TestPoolsRemovedAsTheStoreRecoversAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := configured()
		d.ReplaceSearchers([]domain.Registration{registration("a", nil), registration("b", nil)})
		d.StoreRecovered()
		time.Sleep(RegistrationGrace - 200*time.Millisecond)
		remove(d, "a")
		remove(d, "b")
		require.Len(t, searchers(d), 2, "they may register again")

		time.Sleep(200 * time.Millisecond)
		d.Expire()
		require.Empty(t, searchers(d))
		require.False(t, d.Usable("a"))
	})
}

// Guards against requests to a searcher that said itself that it leaves, while the store or
// a copy calls it ready, and against denying its successor under the same id.
func TestLeavingIncarnationsAreNotUsed(t *testing.T) {
	newer := func(sequence uint64) domain.Registration {
		return registration("s", func(r *domain.Registration) { r.Sequence = sequence })
	}
	successor := registration("s", func(r *domain.Registration) { r.Started, r.Sequence = 200, 1 })

	for name, view := range map[string]func(d *Directory){
		"at once":                   func(*Directory) {},
		"a later registration":      func(d *Directory) { put(d, newer(9)) },
		"a list or copy":            func(d *Directory) { d.ReplaceSearchers([]domain.Registration{newer(9)}) },
		"removed, registered again": func(d *Directory) { remove(d, "s"); put(d, newer(9)) },
		"removed in an outage":      func(d *Directory) { d.StoreRecovered(); remove(d, "s") },
	} {
		t.Run(name, func(t *testing.T) {
			d := configured()
			put(d, registration("s", nil))
			require.False(t, d.MarkLeaving("s", 99), "the sign of an earlier incarnation")
			require.True(t, d.Usable("s"))
			require.EqualValues(t, 100, searchers(d)[0].Incarnation)

			require.True(t, d.MarkLeaving("s", 100))
			require.False(t, d.MarkLeaving("s", 100))
			view(d)
			require.False(t, d.Usable("s"))
			require.Empty(t, searchers(d))

			put(d, successor)
			require.True(t, d.Usable("s"))
			require.False(t, d.MarkLeaving("s", 100), "a late answer of its predecessor")
			require.True(t, d.Usable("s"))
		})
	}
}

// Guards against a service that is emptied by the word of one instance, and against a searcher
// that is used though several say that it leaves.
func TestLeavingByTheWordOfOthers(t *testing.T) {
	d := configured()

	for _, id := range []string{"i-1", "i-2"} {
		require.True(t, put(d, registration(id, nil)))
	}

	require.False(t, d.MarkToldLeaving("i-1", 99, false), "another incarnation")
	require.True(t, d.MarkToldLeaving("i-1", 100, false))
	require.False(t, d.Usable("i-1"))
	require.True(t, d.Usable("i-2"))

	require.True(t, d.MarkToldLeaving("i-2", 100, false))
	require.Len(t, searchers(d), 2, "the word of one instance keeps the last searchers")

	require.True(t, put(d, registration("i-3", nil)))
	require.Equal(t, "i-3", searchers(d)[0].ID)
	require.Len(t, searchers(d), 1)

	require.True(t, remove(d, "i-3"))
	require.True(t, d.MarkToldLeaving("i-1", 100, true))
	require.Equal(t, "i-2", searchers(d)[0].ID)
	require.True(t, d.MarkToldLeaving("i-2", 100, true))
	require.Empty(t, searchers(d))

	require.True(t, put(d, registration("i-2", func(r *domain.Registration) { r.Started = 200 })))
	require.True(t, d.Usable("i-2"), "a new incarnation")
}

// Guards against searchers that get requests although their failure domain is evacuated, with
// what registered before and after, and against other searchers that get none, or searchers that
// aren't used again.
func TestEvacuations(t *testing.T) {
	d := &Directory{}
	d.Configure(&domain.RouteTable{
		Version: 1, Pools: []domain.Pool{{Name: "p"}},
		Routes: []domain.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 1, Split: []domain.WeightedPool{{Pool: "p", Weight: 1}},
		}},
	})

	register := func(id, fd string) {
		d.ApplySearchers([]SearcherChange{{ID: id, Registration: domain.Registration{
			ID: id, Pool: "p", Address: "127.0.0.1:1", FailureDomain: fd, Slots: 1, Sequence: 1,
		}}})
	}

	register("a1", "a")
	register("b1", "b")
	require.Empty(t, d.SetEvacuations([]domain.Evacuation{{FailureDomain: "a"}}))
	register("a2", "a")
	require.False(t, d.Usable("a1"))
	require.False(t, d.Usable("a2"))
	require.True(t, d.Usable("b1"))
	require.Len(t, d.View().Entries[0].Targets[0].Service.PartitionMap.Shards[0].Searchers, 1)
	require.Equal(t, []domain.Evacuation{{FailureDomain: "a"}}, d.Evacuations())

	list, _ := d.Registrations()
	require.Empty(t, list, "no list was received")

	d.MarkLeaving("a2", 0)
	require.Equal(t, []string{"a1"}, d.SetEvacuations(nil), "one that leaves isn't used again")
	require.True(t, d.Usable("a1"))
	require.False(t, d.Usable("a2"))
	require.Empty(t, d.SetEvacuations(nil))
}

// Guards against requests to searchers of an evacuated failure domain, since the store has come back from
// a copy of before the evacuation and the operator hasn't written it again yet; and against one that
// stays in force for good though nobody wrote it again.
func TestEvacuationsOutlastARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := configured()
		put(d, registration("s", func(r *domain.Registration) { r.FailureDomain = "a" }))
		put(d, registration("u", func(r *domain.Registration) { r.FailureDomain = "b" }))

		evacuate := func(list ...string) {
			var out []domain.Evacuation
			for _, fd := range list {
				out = append(out, domain.Evacuation{FailureDomain: fd})
			}

			require.Empty(t, d.SetEvacuations(out))
		}

		evacuate("a", "b")
		d.RetainEvacuations()
		evacuate()
		require.Empty(t, searchers(d))
		require.Empty(t, d.StatedEvacuations())

		time.Sleep(time.Second)
		evacuate("a")
		time.Sleep(EvacuationGrace - 2*time.Second)

		// The store comes back from a copy a second time.
		d.RetainEvacuations()
		time.Sleep(time.Second)
		require.Empty(t, d.ExpireEvacuations())
		require.Empty(t, searchers(d))

		time.Sleep(EvacuationGrace - time.Second)
		require.Equal(t, []string{"u"}, d.ExpireEvacuations())
		require.False(t, d.Usable("s"))
		require.True(t, d.Usable("u"))
	})
}

// Guards against evacuations that an instance learns from others ending with the store's list, which lacks
// them, or lasting for good.
func TestEvacuationsOfOthersAreKeptForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Directory

		d.SetEvacuations(nil)

		until := time.Now().Add(3 * time.Second)
		told := []EvacuationInForce{{domain.Evacuation{FailureDomain: "a"}, until}}

		require.True(t, d.LearnEvacuations(told))
		require.False(t, d.LearnEvacuations(told), "it is known")
		require.Equal(t, told, d.EvacuationsInForce())

		d.SetEvacuations([]domain.Evacuation{{FailureDomain: "b"}})
		require.Equal(t, []domain.Evacuation{{FailureDomain: "a"}, {FailureDomain: "b"}}, d.Evacuations())

		d.RetainEvacuations()
		time.Sleep(3 * time.Second)
		d.ExpireEvacuations()
		require.Len(t, d.Evacuations(), 2, "a return keeps what was in force")

		d.SetEvacuations(nil)
		time.Sleep(EvacuationGrace)
		d.ExpireEvacuations()
		require.Empty(t, d.Evacuations())
		require.Empty(t, d.EvacuationsInForce())
	})
}

// Guards against requests to a searcher that was removed before an outage of the store, or a return from an older
// copy, began: the removal was in force, and isn't due to it. Guards also against an outage that excuses a removal
// once more.
func TestRemovalsOfBeforeAnOutageHold(t *testing.T) {
	for name, end := range map[string]func(d *Directory){
		"outage": (*Directory).StoreRecovered, "return from a copy": (*Directory).StoreRestored,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := configured()
				d.ReplaceSearchers([]domain.Registration{registration("s", nil), registration("u", nil)})
				remove(d, "s")
				time.Sleep(RegistrationGrace / 2)
				end(d)
				put(d, registration("u", func(r *domain.Registration) { r.Sequence, r.Draining = 20, true }))
				require.False(t, d.Usable("s"), "the view is built anew")
			})
		})
	}

	t.Run("two outages", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := configured()
			d.ReplaceSearchers([]domain.Registration{registration("s", nil)})
			d.StoreRecovered()
			remove(d, "s")
			require.True(t, d.Usable("s"))
			time.Sleep(RegistrationGrace - time.Millisecond)
			d.StoreRecovered()
			time.Sleep(time.Millisecond)
			d.Expire()
			require.False(t, d.Usable("s"))
		})
	})
}
