package hedging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const service = 10 * time.Millisecond

// uniform returns a Delayer that observed latencies spread evenly from 0 to 10
// service times.
func uniform() *Delayer {
	d := &Delayer{}
	for i := range 1000 {
		d.Observe(Estimate{Service: service}, time.Duration(i)*service/100)
	}

	return d
}

// Guards against a delay that hedges more or fewer attempts than the quantiles
// say.
func TestDelayIsTheQuantile(t *testing.T) {
	d := uniform()
	e := Estimate{Service: service}

	// One bucket is 9% wide.
	require.InEpsilon(t, FirstQuantile*10*float64(service), float64(d.Delay(e, true)), 0.09)
	require.InEpsilon(t, LaterQuantile*10*float64(service), float64(d.Delay(e, false)), 0.09)
}

// Guards against a queued or remote attempt that is hedged as if it were at an
// idle searcher in the same failure domain, and against slow searchers that are
// hedged as if they were fast.
func TestDelayFollowsTheEstimate(t *testing.T) {
	d := uniform()
	base := d.Delay(Estimate{Service: service}, true)

	require.Equal(t, base+7*time.Millisecond, d.Delay(Estimate{Overhead: 7 * time.Millisecond, Service: service}, true))
	require.InEpsilon(t, float64(2*base), float64(d.Delay(Estimate{Service: 2 * service}, true)), 1e-6)
}

// Guards against a delay computed from too few latencies.
func TestDelayBeforeLatenciesAreKnown(t *testing.T) {
	var d Delayer

	for range minObserved - 1 {
		d.Observe(Estimate{Service: service}, time.Microsecond)
	}

	require.Equal(t, time.Duration(defaultRatio*float64(service)), d.Delay(Estimate{Service: service}, true))
}

// Guards against a delay that falls with every hedge that answers first because
// the cancelled attempts are left out.
func TestCancelledAttemptsCount(t *testing.T) {
	d := uniform()
	e := Estimate{Service: service}
	before := d.Delay(e, true)

	for range 100 {
		d.ObserveCensored(e, 20*service)
	}

	require.Greater(t, d.Delay(e, true), before)
}

// Guards against old latencies that outweigh current ones.
func TestOldLatenciesLoseWeight(t *testing.T) {
	d := uniform()
	e := Estimate{Service: service}

	for range 3 * maxWeight {
		d.Observe(e, service)
	}

	require.InEpsilon(t, float64(service), float64(d.Delay(e, true)), 0.09)
}

// Guards against a hedge that isn't sent because its straggler is expected to
// answer at once.
func TestRemainingTimeGrowsWithElapsedTime(t *testing.T) {
	d := uniform()

	for i := range 200 {
		elapsed := time.Duration(i) * service / 2
		require.GreaterOrEqual(t, d.Remaining(Estimate{Service: service}, elapsed), minRemainingFactor*elapsed)
	}

	require.InEpsilon(t, 5*float64(service), float64(d.Remaining(Estimate{Service: service}, 0)), 0.09)
}
