package follower

import (
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func namedFollower(r *recordingSink) *Follower[int] {
	return &Follower[int]{
		Log: zerolog.Nop(), Sink: r,
		ItemName: func(item int) string { return strconv.Itoa(item / 10) }, SameItem: func(a, b int) bool { return a == b },
	}
}

// Guards against changes of a later era being told to an instance whose state they don't lead on
// from: one that knows changes that the store has lost and the teller never had, and one that has
// read the store between its return and the teller's list.
func TestChangesLeadOnFromTheLastStateOfAnEra(t *testing.T) {
	f := namedFollower(&recordingSink{})
	f.logList([]int{10, 20}, Revision{1, 5}, true)
	f.logChanges([]Change[int]{{Name: "3", Revision: Revision{1, 7}, Item: 30}}, Revision{1, 8})
	f.logList([]int{10, 21}, Revision{2, 6}, false)
	f.logChanges([]Change[int]{{Name: "4", Revision: Revision{2, 9}, Item: 40}}, Revision{2, 9})

	require.Equal(t, Delta[int]{From: Revision{1, 8}, To: Revision{2, 9}, Changes: []Change[int]{
		{Name: "2", Revision: Revision{2, 6}, Item: 21},
		{Name: "3", Revision: Revision{2, 6}, Removed: true},
		{Name: "4", Revision: Revision{2, 9}, Item: 40},
	}}, f.ChangesSince(Revision{1, 8}))
	require.Len(t, f.ChangesSince(Revision{1, 5}).Changes, 3)
	require.Equal(t, []Change[int]{{Name: "4", Revision: Revision{2, 9}, Item: 40}}, f.ChangesSince(Revision{2, 6}).Changes)

	for name, r := range map[string]Revision{
		"before the log": {1, 4}, "a lost change": {1, 9}, "before the list": {2, 5}, "an era that wasn't followed": {0, 7},
	} {
		require.True(t, f.ChangesSince(r).Missing, name)
	}

	require.Equal(t, Delta[int]{From: Revision{2, 9}, To: Revision{2, 9}}, f.ChangesSince(Revision{2, 9}))
	require.Equal(t, Revision{3, 1}, f.ChangesSince(Revision{3, 1}).To, "the other one is ahead")
}

// Guards against a log that holds the changes of a later era only in part.
func TestForgottenErasAreMissing(t *testing.T) {
	var log changeLog[int]

	log.reset(Revision{1, 5})

	for r := uint64(6); r < 6+maxLogged; r++ {
		log.add([]Change[int]{{Name: "a", Revision: Revision{2, r}}}, Revision{2, r})
	}

	require.False(t, log.since(Revision{1, 5}).Missing)
	log.add([]Change[int]{{Name: "b", Revision: Revision{3, 1}}}, Revision{3, 1})
	require.True(t, log.since(Revision{1, 5}).Missing)
	require.False(t, log.since(Revision{2, 6}).Missing)
}

// Guards against taking changes of a later era that were asked for from an earlier state, and against
// a sink that gets them before it is told that the store has come back from an older copy.
func TestChangesOfALaterEraAreTakenFromTheirBeginning(t *testing.T) {
	r := &recordingSink{}
	f := namedFollower(r)
	f.logList([]int{10}, Revision{1, 8}, true)
	f.progress.copied(Revision{1, 8})

	asked := Delta[int]{From: Revision{1, 8}, To: Revision{2, 6}, Changes: []Change[int]{{Name: "1", Revision: Revision{2, 6}, Removed: true}}}

	f.progress.told(Revision{1, 9}, Revision{1, 9})
	f.take(delivery[int]{delta: asked})
	require.Empty(t, r.lines())
	require.Equal(t, Revision{1, 9}, f.Revision())

	asked.From = Revision{1, 9}
	f.take(delivery[int]{delta: asked})
	require.Equal(t, []string{"store restored", "apply 0 true"}, r.lines())
	require.Equal(t, Revision{2, 6}, f.Revision())
}

// Guards against an instance whose position confirms nothing to others for good, since it was told of
// a new era in which nothing had changed: its last change must not be one of the era before.
func TestPositionsAreOfTheirEra(t *testing.T) {
	f := namedFollower(&recordingSink{})
	f.logList([]int{10}, Revision{1, 8}, true)
	f.progress.copied(Revision{1, 8})
	f.take(delivery[int]{delta: Delta[int]{From: Revision{1, 8}, To: Revision{2, 6}}})
	require.Equal(t, Revision{2, 6}, f.Position().Revision)
	require.Equal(t, Revision{2, 6}, f.Position().Changed)

	f.progress.answered(Revision{2, 9}, Revision{}, time.Now())
	require.Equal(t, Revision{2, 6}, f.Position().Changed)
}

// Guards against a state that counts as the newest by the word of an instance that hasn't noticed the
// store's return from an older copy, or by a revision that was given out before it.
func TestPositionsOfAnotherEraConfirmNothing(t *testing.T) {
	f := &Follower[int]{Bound: testProof, Proof: testProof}
	f.progress.copied(Revision{2, 6})

	require.False(t, f.Confirm(Position{Changed: Revision{1, 5}}, time.Now()))
	require.False(t, f.Proven())

	require.True(t, f.Confirm(Position{Changed: Revision{3, 5}}, time.Now()), "the store has answered the other one")
	require.False(t, f.Proven())

	require.True(t, f.Confirm(Position{Changed: Revision{2, 5}}, time.Now()))
	require.True(t, f.Proven())
}

// Guards against a first return of the store that isn't noticed, since its eras begin at 0.
func TestErasBeginAtAnyNumber(t *testing.T) {
	for _, first := range []uint64{0, 7} {
		var restores []uint64

		e := &Era{OnRestore: func(era, _ uint64) { restores = append(restores, era) }}
		require.Equal(t, first, e.Learn(first))
		require.Empty(t, restores)
		require.Equal(t, first+1, e.Learn(first+1))
		require.Equal(t, first+1, e.Learn(first))
		require.Equal(t, []uint64{first + 1}, restores)
	}
}
