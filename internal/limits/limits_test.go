package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const slots = 2

var start = time.Unix(1_000_000, 0)

// addWindows adds n full windows of answers with the given wait and a service
// time of 10 ms.
func addWindows(l *Limit, n int, wait time.Duration) {
	for range n * windowAnswers {
		l.Answered(start, slots, Sample{Wait: wait, Service: 10 * time.Millisecond})
	}
}

// Guards against a limit that stays high while requests wait in a long queue,
// and against one that falls to zero.
func TestLimitFallsWithTheWait(t *testing.T) {
	var l Limit

	before := l.Allowed(slots)
	addWindows(&l, 1, 40*time.Millisecond)
	require.Less(t, l.Allowed(slots), before)

	addWindows(&l, 50, time.Second)
	require.Equal(t, 1, l.Allowed(slots))
}

// Guards against a limit that never recovers, and against one without an upper
// bound.
func TestLimitRisesWithoutWait(t *testing.T) {
	var l Limit

	addWindows(&l, 50, time.Second)
	addWindows(&l, 2, 0)
	require.Equal(t, 3, l.Allowed(slots))

	addWindows(&l, 100, 0)
	require.Equal(t, maxSlotsMultiple*slots, l.Allowed(slots))
}

// Guards against a limit that oscillates while the wait is between the two
// thresholds.
func TestLimitHoldsBetweenTheWaitThresholds(t *testing.T) {
	var l Limit

	before := l.Allowed(slots)
	addWindows(&l, 20, 10*time.Millisecond)
	require.Equal(t, before, l.Allowed(slots))
}

// Guards against a burst of sheds that cuts the limit many times.
func TestSimultaneousShedsCutOnce(t *testing.T) {
	var l Limit

	addWindows(&l, 100, 0)

	for range 10 {
		l.Shed(start, slots)
	}

	require.Equal(t, 5, l.Allowed(slots), "70% of 8")

	l.Shed(start.Add(cutInterval), slots)
	require.Equal(t, 3, l.Allowed(slots))
}

// Guards against a cold searcher that gets its full load at once, or never.
func TestColdSearcherIsRampedUp(t *testing.T) {
	var l Limit

	l.SlowStart()
	require.Equal(t, 1, l.Allowed(slots))

	addWindows(&l, 1, 0)
	require.Equal(t, 2, l.Allowed(slots))
}

// Guards against a limit that isn't adjusted until a searcher with few requests
// has filled a window.
func TestSlowWindowEndsInTime(t *testing.T) {
	var l Limit

	for i := range minAnswers {
		l.Answered(start.Add(time.Duration(i)*windowTime), slots, Sample{Wait: time.Second, Service: 10 * time.Millisecond})
	}

	require.Less(t, l.Allowed(slots), initialSlotsMultiple*slots)
}
