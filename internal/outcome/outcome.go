// Package outcome tracks the failure rate of attempts, by which routing avoids
// searchers and budgets refuse queries.
package outcome

import (
	"math"
	"time"
)

// FailureRate is the share of recent attempts that failed, 0 to 1. An outcome loses
// weight with each later one and with its age. The zero value is a rate of 0. It
// isn't safe for concurrent use.
type FailureRate struct {
	value float64
	at    time.Time
}

// Add adds an outcome. weight, 0 to 1, is that of the latest outcome; after decay an
// outcome has lost two thirds of its weight.
func (r *FailureRate) Add(now time.Time, failed bool, weight float64, decay time.Duration) {
	sample := 0.0
	if failed {
		sample = 1
	}

	r.value = r.At(now, decay)
	r.value += (sample - r.value) * weight
	r.at = now
}

// At returns the failure rate at now.
func (r *FailureRate) At(now time.Time, decay time.Duration) float64 {
	if r.value == 0 {
		return 0
	}

	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(decay))
}
