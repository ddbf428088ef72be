package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two holders at once: keepers read and write one lease at random
// times, are paused between the steps, and lose answers. Fails if a keeper measures
// from the time of the renewal instead of from when it first saw it, or acts until
// Duration has passed instead of holdTime.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			read    Lease
			version int
			reading bool
		}

		var (
			stored  Lease
			version int
			now     = time.Now()
			keepers = []*Keeper{NewKeeper("a"), NewKeeper("b"), NewKeeper("c")}
			steps   [3]step
			terms   = make(map[uint64]string)
		)

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(Duration/2)).Draw(t, "pause")))
			i := rapid.IntRange(0, 2).Draw(t, "keeper")

			if !steps[i].reading {
				steps[i] = step{stored, version, true}

				continue
			}

			steps[i].reading = false

			next, write := keepers[i].Decide(now, steps[i].read)
			if write && steps[i].version == version {
				require.GreaterOrEqual(t, next.Term, stored.Term)
				require.Contains(t, []string{"", next.Holder}, terms[next.Term], "two holders had one term")

				terms[next.Term] = next.Holder
				stored, version = next, version+1

				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					keepers[i].Written(now, next)
				}
			}

			held := 0

			for _, k := range keepers {
				if _, ok := k.Term(now); ok {
					held++
				}
			}

			require.LessOrEqual(t, held, 1)
		}
	})
}

// Guards against a lease that nobody takes after its holder failed, and one that
// can't be taken at once after its release.
func TestExpiryAndRelease(t *testing.T) {
	now := time.Now()
	a, b := NewKeeper("a"), NewKeeper("b")

	l, write := a.Decide(now, Lease{})
	require.True(t, write)
	a.Written(now, l)

	_, write = b.Decide(now, l)
	require.False(t, write)
	_, write = b.Decide(now.Add(Duration-1), l)
	require.False(t, write)
	taken, write := b.Decide(now.Add(Duration), l)
	require.True(t, write)
	require.Equal(t, Lease{Holder: "b", Term: l.Term + 1}, taken)

	free, held := a.Release(now.Add(time.Second))
	require.True(t, held)

	c := NewKeeper("c")
	taken, write = c.Decide(now.Add(time.Second), free)
	require.True(t, write)
	require.Equal(t, l.Term+1, taken.Term)
}

// Guards against a lease without a term, which wouldn't fence any write.
func TestDecodeRefusesBadLeases(t *testing.T) {
	for _, s := range []string{`{}`, `{"term":0}`, `[]`, `{"term":1,"x":2}`, ``} {
		_, err := Decode([]byte(s))
		require.Error(t, err, s)
	}
}
