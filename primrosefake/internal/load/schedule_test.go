package load

import (
	"math"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/primrosefake/internal/workload"
)

func builtin(t *testing.T, name string) *workload.Workload {
	t.Helper()

	w, ok := workload.Builtin(name)
	require.True(t, ok)

	return w
}

// Guards against a product and a baseline that get different loads.
func TestScheduleIsDeterminedBySeed(t *testing.T) {
	for _, name := range workload.Names() {
		a, b := builtin(t, name), builtin(t, name)

		// The services are pointers into each workload; Equal compares what they
		// point to.
		require.Equal(t, newSchedule(a), newSchedule(b), name)

		b.Seed++
		require.NotEqual(t, newSchedule(a), newSchedule(b), name)
	}
}

// Guards against arrivals out of order, at a wrong rate, or by wrong shares.
func TestScheduleFollowsWorkload(t *testing.T) {
	w := builtin(t, "agreca")
	w.DurationMS = 600_000
	schedule := newSchedule(w)

	counts, members := make(map[string]float64), make(map[string]float64)

	var executes float64

	for i, a := range schedule {
		require.Equal(t, i, a.number)
		require.Less(t, a.at, w.Duration())

		if i > 0 {
			require.GreaterOrEqual(t, a.at, schedule[i-1].at)
		}

		counts[a.service.Name]++
		members[a.member]++

		if a.execute {
			require.Equal(t, "garantias", a.service.Name)

			executes++
		}
	}

	// A Poisson count is within five standard deviations of its mean in all
	// but one of a million draws; the seed is fixed.
	within := func(mean, n float64) { require.InDelta(t, mean, n, 5*math.Sqrt(mean)) }

	for _, p := range w.Load.Mix {
		within(w.Rate(p)*w.Duration().Seconds(), counts[p.Service])
	}

	for _, m := range w.Load.Members {
		within(float64(len(schedule))*float64(m.LoadPermille)/1000, members[m.Name])
	}

	within(counts["garantias"]*0.2, executes)
}

// Guards against keys that the system refuses or that occur twice.
func TestKeysAreUniqueUUIDs(t *testing.T) {
	pattern := regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`)
	now := time.UnixMilli(0x0192_3456_789a)
	seen := make(map[string]bool)

	for _, a := range newSchedule(builtin(t, "agreca")) {
		key := a.key(now)
		require.Regexp(t, pattern, key)
		require.Equal(t, "01923456-789a", key[:13])
		require.False(t, seen[key])

		seen[key] = true
	}
}
