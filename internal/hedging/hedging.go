// Package hedging decides when a second attempt for a shard starts.
package hedging

import (
	"sync"
	"time"
)

// Delayer keeps a running quantile of a service's latency and derives the
// hedging delay from it. The zero value uses DefaultDelay until it has seen
// answers. It is safe for concurrent use.
type Delayer struct {
	mu       sync.Mutex // Guards quantile.
	quantile time.Duration
}

const (
	// DefaultDelay is the delay before any answer was seen.
	DefaultDelay = 20 * time.Millisecond
	// targetQuantile is the share of answers expected before the delay.
	targetQuantile = 0.96
	// stepShare is how far one answer moves the estimate.
	stepShare = 0.02
)

// Observe adds the latency of one answered first attempt.
func (d *Delayer) Observe(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.quantile == 0 {
		d.quantile = DefaultDelay
	}

	step := float64(d.quantile) * stepShare
	if latency > d.quantile {
		d.quantile += time.Duration(step * targetQuantile)
	} else {
		d.quantile -= time.Duration(step * (1 - targetQuantile))
	}
}

// Delay returns how long after a first attempt a hedge may start.
func (d *Delayer) Delay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.quantile == 0 {
		return DefaultDelay
	}

	return d.quantile
}
