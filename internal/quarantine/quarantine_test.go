package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testHold = 10 * time.Minute

func content(n int) Digest { return DigestOf("", "GET", "h", fmt.Sprint("/", n), nil) }

// Guards against a content that ends more than three searchers one after another, a trial
// beside a trial, a quarantine without end, and one that a caller's new id evades.
func TestContentsAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New("a", testHold, 0)
		d := content(1)

		check := func(want Verdict) time.Duration {
			t.Helper()

			v, after := q.Check(time.Now(), d, "r")
			require.Equal(t, want, v)

			return after
		}

		check(Free)
		require.False(t, q.Known())
		require.Equal(t, 1, q.Strike(time.Now(), d, "r"))
		check(Trial)
		check(Busy)
		q.EndTrial(d)
		check(Trial)
		time.Sleep(trialTime)
		check(Trial)
		require.Equal(t, 2, q.Strike(time.Now(), d, "r"))
		require.Equal(t, trialDelay, check(Busy))

		v, _ := q.Check(time.Now(), content(3), "r")
		require.Equal(t, Free, v)

		q.Strike(time.Now(), content(2), "r")
		q.Strike(time.Now(), content(2), "r")

		v, _ = q.Check(time.Now(), content(3), "r")
		require.Equal(t, Careful, v, "the route is watched")

		v, _ = q.Check(time.Now(), content(3), "other")
		require.Equal(t, Free, v)

		time.Sleep(trialDelay)
		check(Trial)
		require.Equal(t, MaxStrikes, q.Strike(time.Now(), d, "r"))
		require.Equal(t, testHold, check(Held))
		require.Equal(t, 1, q.Held(time.Now()))

		time.Sleep(alertTime)

		v, _ = q.Check(time.Now(), content(3), "r")
		require.Equal(t, Free, v, "the alert has ended")

		time.Sleep(testHold - alertTime)
		check(Trial)
		require.Equal(t, MaxStrikes+1, q.Strike(time.Now(), d, "r"))
		require.Equal(t, testHold, check(Held), "one trial after the time")

		time.Sleep(testHold)
		check(Trial)
		require.True(t, q.Answered(time.Now(), d))
		check(Free)
		require.Empty(t, q.All(time.Now()))
	})
}

// Guards against trials of many instances at once, each of which ends a searcher: callers that
// were refused come back to all of them when the first may try again.
func TestTrialsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := make([]*Table, 72)
		for i := range tables {
			tables[i] = New(fmt.Sprint("e-", i), testHold, 0)
		}

		d := content(1)
		tables[3].Strike(time.Now(), d, "r")
		tables[0].Learn(time.Now(), tables[3].All(time.Now()))

		v, wait := tables[0].Check(time.Now(), d, "r")
		require.Equal(t, Busy, v)
		require.Equal(t, firstDelay, wait, "one strike says little, also of a request that many send")

		tables[3].Strike(time.Now(), d, "r")

		tried, trials := make(map[int]bool), make(map[time.Duration]int)

		for at := time.Duration(0); at < 25*time.Second; at += 100 * time.Millisecond {
			for i, q := range tables {
				q.Learn(time.Now(), tables[3].All(time.Now()))

				if v, _ := q.Check(time.Now(), d, "r"); v == Trial && !tried[i] {
					require.True(t, i == 3 || at >= 2*trialDelay)

					tried[i] = true
					trials[at]++
				}
			}

			time.Sleep(100 * time.Millisecond)
		}

		require.Equal(t, 1, trials[trialDelay], "the instance that saw it comes first")

		for at, n := range trials {
			require.LessOrEqual(t, n, len(tables)/10, "at %s", at)
		}
	})
}

// Guards against an innocent request that is condemned since searchers ended beside it, and
// against strikes that come back from other instances after an answer.
func TestAnswersClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New("a", testHold, 0), New("b", testHold, 0)
		d := content(1)

		for range 2 * MaxStrikes {
			a.Strike(time.Now(), d, "r")
			b.Learn(time.Now(), a.All(time.Now()))
			time.Sleep(time.Millisecond)
			require.True(t, a.Answered(time.Now(), d))
			a.Learn(time.Now(), b.All(time.Now()))

			v, _ := a.Check(time.Now(), d, "r")
			require.Equal(t, Free, v, "its own strikes don't count again")
			b.Answered(time.Now(), d)
			time.Sleep(time.Second)
		}

		a.Strike(time.Now(), d, "r")
		a.Strike(time.Now(), d, "r")

		v, _ := a.Check(time.Now(), d, "r")
		require.Equal(t, Trial, v, "it was answered lately")

		b.Learn(time.Now(), a.All(time.Now()))

		_, wait := b.Check(time.Now(), d, "r")
		require.Equal(t, firstDelay, wait)
		time.Sleep(suspicion)

		v, _ = a.Check(time.Now(), d, "r")
		require.Equal(t, Free, v, "a strike is forgotten")
	})
}

// Guards against a content that is held back where no answer to it came, though another instance
// has one; against strikes that an instance which was away brings back; and against an answer
// that clears later strikes.
func TestAnswersClearAtOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, away := New("a", testHold, 0), New("b", testHold, 0), New("away", testHold, 0)
		d := content(1)
		tell := func(from, to *Table) []Digest {
			cleared := to.LearnCleared(time.Now(), from.Cleared(time.Now()))
			to.Learn(time.Now(), from.All(time.Now()))

			return cleared
		}
		check := func(q *Table, want Verdict) {
			t.Helper()

			v, _ := q.Check(time.Now(), d, "r")
			require.Equal(t, want, v)
		}

		for range MaxStrikes {
			a.Strike(time.Now(), d, "r")
			time.Sleep(time.Second)
		}

		tell(a, b)
		tell(a, away)
		check(b, Held)
		require.True(t, b.Answered(time.Now(), d), "a request under way")
		require.Equal(t, []Digest{d}, tell(b, a))
		require.Empty(t, tell(b, a), "told again")
		check(a, Free)
		require.False(t, a.Known(), "nothing is looked up")

		time.Sleep(testHold / 2)
		tell(away, a)
		tell(away, b)
		check(a, Free)
		check(b, Free)

		c := New("c", testHold, 0)
		tell(b, c)
		c.Strike(time.Now(), d, "r")
		time.Sleep(suspicion)
		check(c, Free)
		tell(away, c)
		check(c, Free) // The cleared ones aren't forgotten with the later strike.

		require.Equal(t, 1, a.Strike(time.Now(), d, "r"), "a later strike counts")
		require.Empty(t, tell(b, a))
		check(a, Trial)

		time.Sleep(time.Second)
		require.False(t, b.Answered(time.Now(), d), "it doesn't know the strike")
		time.Sleep(time.Second)
		tell(a, b)
		check(b, Free)
		require.Equal(t, []Digest{d}, tell(b, a))
		check(a, Free)

		time.Sleep(testHold + suspicion)
		require.Empty(t, a.Cleared(time.Now()), "it is forgotten")

		require.Empty(t, New("a", 0, 0).LearnCleared(time.Now(), b.Cleared(time.Now())))

		odd := []Suspect{{Content: d, Route: "r", Strikes: []Strike{{Instance: "a", Sequence: 1 << 63}}}}
		require.Empty(t, a.LearnCleared(time.Now(), odd))
		require.Equal(t, 1, a.Strike(time.Now(), d, "r"), "its own strikes to come count")
	})
}

// Guards against instances that don't agree on which strikes an answer has cleared, in whatever
// order they learn of strikes and answers.
func TestInstancesAgreeOnAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			tables := make([]*Table, rapid.IntRange(2, 5).Draw(rt, "instances"))
			for i := range tables {
				tables[i] = New(fmt.Sprint("e-", i), testHold, 0)
			}

			tell := func(i, j int) {
				tables[j].LearnCleared(time.Now(), tables[i].Cleared(time.Now()))
				tables[j].Learn(time.Now(), tables[i].All(time.Now()))
			}
			answered := make(map[Strike]bool)

			for range rapid.IntRange(1, 40).Draw(rt, "events") {
				i, j := rapid.IntRange(0, len(tables)-1).Draw(rt, "a"), rapid.IntRange(0, len(tables)-1).Draw(rt, "b")

				switch rapid.IntRange(0, 4).Draw(rt, "event") {
				case 0, 1:
					tables[i].Strike(time.Now(), content(1), "r")
				case 2:
					for _, s := range tables[i].All(time.Now()) {
						for _, k := range s.Strikes {
							answered[Strike{Instance: k.Instance, Sequence: k.Sequence}] = true
						}
					}

					tables[i].Answered(time.Now(), content(1))
				default:
					tell(i, j)
				}

				time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
			}

			for range 2 {
				for i := range tables {
					for j := range tables {
						tell(i, j)
					}
				}
			}

			for _, q := range tables {
				all := q.All(time.Now())
				require.Equal(t, tables[0].All(time.Now()), all)
				require.Equal(t, tables[0].Cleared(time.Now()), q.Cleared(time.Now()))

				for _, s := range append(all, q.Cleared(time.Now())...) {
					require.NoError(t, s.Validate())
				}

				for _, s := range all {
					for _, k := range s.Strikes {
						require.False(t, answered[Strike{Instance: k.Instance, Sequence: k.Sequence}])
					}
				}
			}
		})
	})
}

// Guards against a restarted instance that forgets what it saw, and against one that must be
// told twice: what is learned in any order, any number of times, is the same, and is bounded.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			tables := make([]*Table, rapid.IntRange(2, 5).Draw(rt, "instances"))
			for i := range tables {
				tables[i] = New(fmt.Sprint("e-", i), testHold, 0)
			}

			strikes := 0

			for range rapid.IntRange(1, 30).Draw(rt, "events") {
				i, j := rapid.IntRange(0, len(tables)-1).Draw(rt, "a"), rapid.IntRange(0, len(tables)-1).Draw(rt, "b")

				switch rapid.IntRange(0, 3).Draw(rt, "event") {
				case 0:
					tables[i].Strike(time.Now(), content(1), "r")

					strikes++
				case 1:
					tables[i] = New(fmt.Sprint("e-", i), testHold, uint64(1000*strikes))
				default:
					tables[j].Learn(time.Now(), tables[i].All(time.Now()))
				}

				time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond)
			}

			for range 2 {
				for i := range tables {
					for j := range tables {
						tables[j].Learn(time.Now(), tables[i].All(time.Now()))
					}
				}
			}

			first := tables[0].All(time.Now())

			for _, q := range tables {
				all := q.All(time.Now())
				require.Equal(t, first, all)

				for i := range all {
					require.NoError(t, all[i].Validate())
					require.LessOrEqual(t, len(all[i].Strikes), min(strikes, maxKept))
				}
			}
		})
	})
}

// Guards against memory that callers decide, who can have any number of contents end searchers,
// and against an odd message that is taken.
func TestSuspectsAreBoundedAndChecked(t *testing.T) {
	q := New("a", testHold, 0)
	now := time.Now()

	for n := range 2 * MaxSuspects {
		q.Strike(now.Add(time.Duration(n)*time.Millisecond), content(n), "r")
	}

	now = now.Add(time.Second + 24*time.Millisecond)
	require.Len(t, q.All(now), MaxSuspects)
	require.Equal(t, content(2*MaxSuspects-1), q.All(now)[0].Content)

	for _, s := range []Suspect{
		{},
		{Route: "r"},
		{Route: "r", Strikes: []Strike{{}}},
		{Route: "r", Strikes: []Strike{{Instance: "a", Age: -1}}},
		{Route: "r", Strikes: make([]Strike, maxKept+1)},
	} {
		require.Error(t, s.Validate())
	}

	for n := range 2 * MaxSuspects {
		require.Equal(t, n >= MaxSuspects, q.Answered(now, content(n)))
	}

	other := New("b", testHold, 0)
	for n := range MaxSuspects {
		other.Strike(now, content(n), "r")
	}

	other.LearnCleared(now, q.Cleared(now))
	require.Len(t, other.All(now), MaxSuspects, "a suspect isn't dropped for what holds nothing back")

	require.Len(t, q.Cleared(now), MaxSuspects)
	q.Strike(now, content(0), "r")
	now = now.Add(time.Second)

	for n := range 2 * MaxSuspects {
		q.Strike(now, content(n+1), "r")
		q.Answered(now.Add(time.Millisecond), content(n+1))
	}

	require.Len(t, q.All(now), 1, "a suspect isn't dropped for contents that were answered")

	off := New("a", 0, 0)
	require.Empty(t, off.Learn(now, q.All(now)))

	v, _ := off.Check(now, content(1), "r")
	require.Equal(t, Free, v)
}
