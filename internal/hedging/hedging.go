// Package hedging computes the delay after which a hedge for a shard may start.
package hedging

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Estimate is the latency that routing expected of an attempt.
type Estimate struct {
	// Overhead is the expected time on the network and in the searcher's queue.
	Overhead time.Duration
	// Service is the expected service time of the request.
	Service time.Duration
}

// Total returns the expected latency.
func (e Estimate) Total() time.Duration { return e.Overhead + e.Service }

// Delayer keeps the distribution of a service's latency ratios: the latency less
// the expected overhead, divided by the expected service time. The hedge of a
// request with a longer queue or network time is thus delayed longer. Old
// latencies lose weight. The zero value uses defaultRatio until it has observed
// minObserved attempts. It is safe for concurrent use.
type Delayer struct {
	// Quantile is the share of first attempts that end before their hedge is due;
	// zero selects FirstQuantile. It must be set before first use.
	Quantile float64

	mu       sync.Mutex // Guards the fields below.
	weights  [buckets]float64
	total    float64
	observed int
	// first and later are the computed quantiles of first attempts and of hedges
	// and retries; zero if they are out of date.
	first, later float64
}

const (
	// FirstQuantile is the share of first attempts that end before their hedge
	// is due.
	FirstQuantile = 0.9575
	// LaterQuantile is the same for hedges and retries. They are few, so hedging
	// them early costs little, and their shard is late already.
	LaterQuantile = 0.80
	// MinDelay keeps hedge delays above the jitter of timers.
	MinDelay = time.Millisecond

	defaultRatio       = 4.0
	minRemainingFactor = 2
	// The buckets divide each doubling of the ratio into perOctave parts, from
	// 1/2^octavesBelow to 2^octavesAbove.
	perOctave    = 8
	octavesBelow = 5
	octavesAbove = 8
	buckets      = (octavesBelow + octavesAbove) * perOctave
	// maxWeight is the total at which every weight is halved, so that the
	// distribution follows the last few thousand attempts.
	maxWeight = 4096
	// minObserved is the number of attempts that replace defaultRatio; fewer don't
	// determine the quantile.
	minObserved = 100
	// refreshEvery is the number of observations between computations of the
	// quantiles.
	refreshEvery = 16
)

// Observe adds the latency of an answered first attempt.
func (d *Delayer) Observe(e Estimate, latency time.Duration) { d.add(e, latency) }

// ObserveCensored adds a first attempt that was cancelled after elapsed in favour
// of its hedge. It counts as elapsed, which is at or above the delay. Without
// such attempts, every hedge that answers first would lower the quantile.
func (d *Delayer) ObserveCensored(e Estimate, elapsed time.Duration) { d.add(e, elapsed) }

// Delay returns how long after an attempt its hedge may start; first says whether
// it is the first attempt for its shard.
func (d *Delayer) Delay(e Estimate, first bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.refresh()

	ratio := d.later
	if first {
		ratio = d.first
	}

	return e.Overhead + max(time.Duration(ratio*float64(e.Service)), MinDelay)
}

// Remaining returns the expected remaining time of an attempt that has taken
// elapsed so far: the mean over the observed attempts that took longer, but at
// least minRemainingFactor times elapsed. Cancelled attempts truncate the observed
// tail, and in a heavy tail the remaining time grows with the elapsed time.
func (d *Delayer) Remaining(e Estimate, elapsed time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	ratio := e.ratio(elapsed)

	var weight, sum float64

	for i := bucket(ratio) + 1; i < buckets; i++ {
		weight += d.weights[i]
		sum += d.weights[i] * midpoint(i)
	}

	if weight == 0 {
		return minRemainingFactor * elapsed
	}

	return max(time.Duration((sum/weight-ratio)*float64(e.Service)), minRemainingFactor*elapsed)
}

func (e Estimate) ratio(latency time.Duration) float64 {
	return float64(max(latency-e.Overhead, 0)) / float64(max(e.Service, 1))
}

func (d *Delayer) add(e Estimate, latency time.Duration) {
	if e.Service <= 0 || latency < 0 {
		return
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.weights[bucket(e.ratio(latency))]++
	d.total++
	d.observed++

	if d.total >= maxWeight {
		d.total = 0

		for i := range d.weights {
			d.weights[i] /= 2
			d.total += d.weights[i]
		}
	}

	if d.observed%refreshEvery == 0 {
		d.first, d.later = 0, 0
	}
}

func (d *Delayer) refresh() {
	switch {
	case d.observed < minObserved:
		d.first, d.later = defaultRatio, defaultRatio
	case d.first == 0:
		d.first, d.later = d.quantile(cmp.Or(d.Quantile, FirstQuantile)), d.quantile(LaterQuantile)
	}
}

func (d *Delayer) quantile(q float64) float64 {
	above := d.total * (1 - q)

	for i := buckets - 1; i >= 0; i-- {
		w := d.weights[i]
		if w >= above {
			return lowerBound(i) * math.Exp2((1-above/w)/perOctave)
		}

		above -= w
	}

	return defaultRatio
}

func bucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}

	return min(max(int((math.Log2(ratio)+octavesBelow)*perOctave), 0), buckets-1)
}

func lowerBound(bucket int) float64 { return math.Exp2(float64(bucket)/perOctave - octavesBelow) }

func midpoint(bucket int) float64 { return math.Exp2((float64(bucket)+0.5)/perOctave - octavesBelow) }
