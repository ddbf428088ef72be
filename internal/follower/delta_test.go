package follower

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// apply applies changes to a collection of items by name.
func apply(items map[string]int, changes []Change[int]) {
	for _, c := range changes {
		if c.Removed {
			delete(items, c.Name)
		} else {
			items[c.Name] = c.Item
		}
	}
}

// Guards against changes told by another instance that leave out one, or bring back an older
// state: removals whose revision isn't known, batches that end between two changes, and names
// that are removed and come again.
func TestToldChangesLeadToTheSameStateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log changeLog[int]

		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		revision := uint64(10)
		log.reset(at(revision))

		state := map[string]int{}
		// states holds the collection at each revision that an instance may have.
		states := map[uint64]map[string]int{revision: maps.Clone(state)}

		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			var batch []Change[int]

			for range rng.IntN(6) {
				revision += uint64(1 + rng.IntN(3)) // Other collections change between.
				c := Change[int]{Name: strconv.Itoa(rng.IntN(4)), Revision: at(revision), Item: int(revision), Removed: rng.IntN(3) == 0}

				apply(state, []Change[int]{c})
				states[revision] = maps.Clone(state)

				if c.Removed && rng.IntN(2) == 0 {
					c.Revision = Revision{}
				}

				batch = append(batch, c)
			}

			revision += uint64(rng.IntN(3))
			log.add(batch, at(revision))
			states[revision] = maps.Clone(state)
		}

		for from, items := range states {
			d := log.since(at(from))
			require.False(t, d.Missing)
			apply(items, d.Changes)
			require.Equal(t, state, items, "from revision %d", from)
			require.Equal(t, at(revision), d.To)
		}
	})
}

// Guards against a gap: what the log holds no more is told to be missing.
func TestForgottenChangesAreMissing(t *testing.T) {
	var log changeLog[int]

	log.reset(at(5))

	for r := uint64(6); r < 6+maxLogged+10; r++ {
		log.add([]Change[int]{{Name: "a", Revision: at(r), Item: int(r)}}, at(r))
	}

	require.True(t, log.since(at(5)).Missing)
	require.True(t, log.since(at(14)).Missing)
	require.False(t, log.since(at(15)).Missing)
	require.Len(t, log.since(at(15)).Changes, 1)
	require.Equal(t, Delta[int]{From: at(1000), To: at(1000)}, log.since(at(1000)))

	log.reset(at(2000))
	require.True(t, log.since(at(1999)).Missing)
	require.False(t, log.since(at(2000)).Missing)
}

// Guards against a list of every instance when the store drops its history: the reader tells
// the differences between its list and what it knew.
func TestListsAreToldAsChanges(t *testing.T) {
	f := &Follower[int]{
		ItemName: func(item int) string { return strconv.Itoa(item / 10) }, SameItem: func(a, b int) bool { return a == b },
	}

	f.logList([]int{10, 20}, at(5), true)
	f.logChanges([]Change[int]{{Name: "3", Revision: at(7), Item: 30}}, at(8))
	f.logList([]int{11, 30, 40}, at(20), false)

	state := map[string]int{"1": 10, "2": 20}
	d := f.ChangesSince(at(5))
	require.False(t, d.Missing)
	require.Equal(t, at(20), d.To)
	apply(state, d.Changes)
	require.Equal(t, map[string]int{"1": 11, "3": 30, "4": 40}, state)
	require.True(t, f.ChangesSince(at(4)).Missing)

	// A copy of another instance may be older than what this one was told.
	f.logList([]int{11}, at(30), true)
	require.True(t, f.ChangesSince(at(20)).Missing)
}
