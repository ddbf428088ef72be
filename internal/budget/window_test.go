package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against extra attempts beyond the limit in any span of the window,
// summed over instances that don't communicate.
func TestWindowsKeepTheSharedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		windows := make([]Window, n)

		for i := range windows {
			windows[i].SetLimit(limit, 1/float64(n))
		}

		var requests, extras []time.Duration

		base, now := time.Unix(1000, 0), time.Duration(0)

		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond
			w := &windows[rapid.IntRange(0, n-1).Draw(t, "instance")]

			if rapid.Bool().Draw(t, "request") {
				w.Request(base.Add(now))
				requests = append(requests, now)
			} else if w.Take(base.Add(now)) {
				extras = append(extras, now)
			}
		}

		for _, from := range extras {
			count := func(list []time.Duration, from, to time.Duration) (n int) {
				for _, at := range list {
					if at >= from && at < to {
						n++
					}
				}

				return n
			}
			sent := count(extras, from, from+limit.Window)
			// The rule compares with the most requests in this window, the one before
			// it, or the one half a window before it.
			asked := max(count(requests, from, from+limit.Window), count(requests, from-limit.Window, from),
				count(requests, from-limit.Window/2, from+limit.Window/2))

			if float64(sent) > limit.Ratio*float64(asked)+float64(limit.Slack) {
				t.Fatalf("%d extra attempts for %d requests from %s on", sent, asked, from)
			}
		}
	})
}

// Guards against extra attempts that still count after their window, and against
// a refunded one that can't be taken again.
func TestWindowRefills(t *testing.T) {
	var w Window

	now := time.Unix(1000, 0)
	require.False(t, w.Take(now), "nothing is allowed before a limit is set")
	w.SetLimit(Limit{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}, 1)

	for range 3 { // slackShare of 4, rounded down.
		require.True(t, w.Take(now))
	}

	require.False(t, w.Take(now))
	w.Return(now)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now.Add(9*time.Second)))
	require.True(t, w.Take(now.Add(11*time.Second)))
}

// Guards against a restarted process that uses its share of the slack a second
// time in the same window.
func TestSlackGrowsAfterStart(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now)
	w.SetLimit(Limit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, 1)
	require.False(t, w.Take(now))

	taken := 0

	for i := range 100 {
		if w.Take(now.Add(time.Duration(i) * 50 * time.Millisecond)) {
			taken++
		}
	}

	require.LessOrEqual(t, taken, 9, "half of the window has passed")
	require.Positive(t, taken)
}

// Guards against retries of undelivered attempts being counted as extra
// attempts, and against a refund for them that outlasts its window.
func TestUndeliveredAttemptsAreFree(t *testing.T) {
	var w Window

	now := time.Unix(1000, 0)
	w.SetLimit(Limit{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}, 1)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now))
	w.Return(now) // The first attempt of a request.
	require.True(t, w.Take(now))
	require.False(t, w.Take(now))

	w.Return(now)
	now = now.Add(11 * time.Second)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now))
}

// Guards against refunds that become extra attempts of later requests, by more refunds than there
// were attempts, or by one that forgets an attempt that still counts.
func TestRefundsAreNoCredit(t *testing.T) {
	var w Window

	now := time.Unix(1000, 0)
	w.SetLimit(Limit{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}, 1) // slackShare of 4, rounded down, is 3.

	for range 5 {
		w.Return(now)
	}

	for n := range 3 {
		require.True(t, w.Take(now.Add(time.Duration(n)*time.Second)))
	}

	require.False(t, w.Take(now.Add(3*time.Second)))
	w.Return(now.Add(8 * time.Second))
	require.True(t, w.Take(now.Add(8*time.Second)))
	require.False(t, w.Take(now.Add(11*time.Second)), "those of 1, 2 and 8 s count, whichever was refunded")
	require.True(t, w.Take(now.Add(12*time.Second)))
}

// Guards against a process that starts and uses once more, in the same window, what its predecessor has used: both
// the slack and the share of the requests. Another instance with the same load tells it.
func TestRestartedWindowsTakeOver(t *testing.T) {
	const instances = 3

	limit := Limit{Ratio: 0.2, Slack: 30, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	other, window := &Window{}, &Window{}
	other.SetLimit(limit, 1.0/instances)
	window.SetLimit(limit, 1.0/instances)

	var requests, extras []time.Duration

	// Extra attempts are wanted from 12 s on; the process starts again at 15 s, and is told half a second later.
	for at := time.Duration(0); at < 40*time.Second; at += 30 * time.Millisecond {
		now := start.Add(at)

		if at == 15*time.Second {
			window = NewWindow(now)
			window.SetLimit(limit, 1.0/instances)
		}

		if at == 15*time.Second+510*time.Millisecond {
			window.TakeOver(now, other.Use(now))
			window.TakeOver(now, Use{Requests: []uint32{9}, Extras: []uint32{9}})
		}

		other.Request(now)
		window.Request(now)

		requests = append(requests, at)

		for at > 12*time.Second && other.Take(now) {
		}

		for at > 12*time.Second && window.Take(now) {
			extras = append(extras, at)
		}
	}

	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < from+limit.Window {
				n++
			}
		}

		return n
	}

	for _, from := range extras {
		asked := max(within(requests, from), within(requests, from-limit.Window))
		allowed := limit.Ratio*float64(asked) + float64(limit.Slack)/instances
		require.LessOrEqual(t, float64(within(extras, from)), allowed, "from %s on", from)
	}

	require.Greater(t, float64(within(extras, 27*time.Second)), 0.8*limit.Ratio*float64(within(requests, 27*time.Second)), "it is used again")
}

// Guards against an attempt that counts in the window in which it was taken, though it arrives in another one.
func TestMovedAttemptsCountLater(t *testing.T) {
	var w Window

	now := time.Unix(1000, 0)
	w.SetLimit(Limit{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}, 1) // slackShare of 2, rounded down, is 1.
	require.True(t, w.Take(now))
	w.Move(now, now.Add(3*time.Second))
	w.Move(now.Add(3*time.Second), now.Add(3*time.Second))
	require.False(t, w.Take(now.Add(11*time.Second)))
	require.True(t, w.Take(now.Add(14*time.Second)))

	w.Move(now.Add(14*time.Second), now.Add(40*time.Second))
	require.False(t, w.Take(now.Add(40*time.Second)), "one that has left the window counts again")
}
