// Package outcome follows the share of attempts that fail, for the decisions that
// avoid a searcher or refuse a query because of it.
package outcome

import (
	"math"
	"time"
)

// FailureRate is the share of attempts that lately failed, 0 to 1; outcomes lose weight
// with their number and their age. Its zero value knows of no failure. It isn't
// safe for concurrent use.
type FailureRate struct {
	value float64
	at    time.Time
}

// Add takes an outcome. weight, 0 to 1, is that of the latest outcome; after memory
// an outcome has lost two thirds of its weight.
func (s *FailureRate) Add(now time.Time, failed bool, weight float64, memory time.Duration) {
	sample := 0.0
	if failed {
		sample = 1
	}

	s.value = s.At(now, memory)
	s.value += (sample - s.value) * weight
	s.at = now
}

// At returns the share at now.
func (s *FailureRate) At(now time.Time, memory time.Duration) float64 {
	if s.value == 0 {
		return 0
	}

	return s.value * math.Exp(-float64(now.Sub(s.at))/float64(memory))
}
