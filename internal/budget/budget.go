// Package budget limits the extra load that retries and hedges put on the
// searchers of a service.
package budget

import (
	"sync"
	"time"
)

// Kind is what an extra attempt is for.
type Kind uint8

const (
	// Hedge is a second attempt while the first is outstanding.
	Hedge Kind = iota
	// LateHedge is a hedge for a shard that has been outstanding for longer than
	// most hedged ones.
	LateHedge
	// Retry replaces a failed attempt; without it the shard is missing from the
	// answer.
	Retry
)

// Conditions determine how much extra load the searchers of a service can take.
type Conditions struct {
	// Degraded says that a searcher is ejected, so that the attempts which fail
	// there have to be replaced.
	Degraded bool
	// Saturation is the share of the searchers' slots that are taken, 0 to 1.
	Saturation float64
}

// Budget is a token bucket that first attempts fill and extra attempts empty.
// The zero value allows a few extra attempts at once. It is safe for concurrent
// use.
type Budget struct {
	mu sync.Mutex // Guards tokens and conditions.
	// tokens is the balance in 1/1,000 of an attempt, minus initialTokens, so that
	// the zero value starts with those.
	tokens     int64
	conditions Conditions
}

const (
	attemptTokens = 1000
	// maxTokens bounds the burst of extra attempts after an idle time.
	maxTokens = 50 * attemptTokens
	// initialTokens let hedges start with the first queries.
	initialTokens = 10 * attemptTokens
	// lateReserve is kept for late hedges: about half of the attempts with an early
	// hedge would have ended soon anyway, but few of the late ones.
	lateReserve = 5 * attemptTokens
	// maxDebt is how far retries may overdraw the budget. A searcher that crashes
	// fails all of its outstanding requests at once, and another searcher can
	// still answer for each of their shards.
	maxDebt = 40 * attemptTokens
	// degradedFactor raises the rate while a searcher is ejected.
	degradedFactor = 2
	// shrinkAbove is the saturation above which the rate falls linearly, to
	// minRateFactor of it at full saturation.
	shrinkAbove   = 0.75
	minRateFactor = 0.2
)

// SetConditions replaces the conditions that later calls of Fill use.
func (b *Budget) SetConditions(c Conditions) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.conditions = c
}

// Fill adds the tokens for n first attempts: permille extra attempts for each
// 1,000, adjusted to the conditions.
func (b *Budget) Fill(n int, permille uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()

	rate := float64(permille) * b.conditions.rateFactor()
	b.tokens = min(b.tokens+int64(float64(n)*rate), maxTokens-initialTokens)
}

// Take pays for one extra attempt and reports whether the budget allowed it.
func (b *Budget) Take(k Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	floor := int64(attemptTokens)

	switch k {
	case Hedge:
		floor += lateReserve
	case Retry:
		floor -= maxDebt
	case LateHedge:
	}

	if b.tokens+initialTokens < floor {
		return false
	}

	b.tokens -= attemptTokens

	return true
}

// Return refunds the tokens of an attempt that wasn't sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens += attemptTokens
}

func (c Conditions) rateFactor() float64 {
	factor := 1.0
	if c.Degraded {
		factor = degradedFactor
	}

	if over := min(c.Saturation, 1) - shrinkAbove; over > 0 {
		factor *= 1 - (1-minRateFactor)*over/(1-shrinkAbove)
	}

	return factor
}

// Shared is a Budget that the shards of a service have in common.
type Shared struct{ *Budget }

// Take pays for one extra attempt, whatever its shard.
func (s Shared) Take(_ uint32, k Kind) bool { return s.Budget.Take(k) }

// Return refunds the tokens of an attempt that wasn't sent.
func (s Shared) Return(uint32) { s.Budget.Return() }

// Move implements scatter.Budget: a token bucket doesn't know when its tokens are used.
func (s Shared) Move(_ uint32, _, _ time.Time) {}

// Level implements scatter.Budget: a token bucket doesn't delay hedges.
func (s Shared) Level(uint32) float64 { return 1 }

// Observe implements scatter.Budget: a token bucket doesn't use outcomes.
func (s Shared) Observe(uint32, bool) {}

// Insufficient implements scatter.Budget: a token bucket refuses no query.
func (s Shared) Insufficient(uint32, float64) bool { return false }
