// Package budget limits the extra load that retries and hedges of a service
// put on its searchers.
package budget

import "sync"

// Kind is what an extra attempt is for.
type Kind uint8

const (
	// Hedge is a second attempt while the first is still at work.
	Hedge Kind = iota
	// LateHedge is a hedge for a shard that is later than most hedged ones.
	LateHedge
	// Retry replaces an attempt that failed; without it the shard is lost.
	Retry
)

// Conditions say how much extra load the searchers of a service can bear.
type Conditions struct {
	// Degraded says that a searcher is dead, so that the attempts which find
	// it dead have to be replaced.
	Degraded bool
	// Saturation is the share of the concurrency limits in use, 0 to 1.
	Saturation float64
}

// Budget is a token bucket that first attempts fill and extra attempts empty.
// The zero value pays for a few extra attempts at once. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex // Guards tokens and conditions.
	// tokens is in 1/1,000 of an attempt, less initialTokens; a debt is
	// negative.
	tokens     int64
	conditions Conditions
}

const (
	attemptTokens = 1000
	// maxTokens bounds the burst of extra attempts after a quiet time.
	maxTokens = 50 * attemptTokens
	// initialTokens let hedges start with the first queries.
	initialTokens = 10 * attemptTokens
	// lateReserve is kept for late hedges: of the attempts that are hedged in
	// time about half would have ended soon, of the late ones few.
	lateReserve = 5 * attemptTokens
	// maxDebt is how far retries overdraw the budget. A searcher that dies
	// fails all of its outstanding requests at once, and each of them is a
	// shard that another searcher can still answer.
	maxDebt = 40 * attemptTokens
	// degradedFactor raises the rate while a searcher is dead.
	degradedFactor = 2
	// shrinkAbove is the saturation above which the rate falls, in a line to
	// minRateFactor of it at full saturation.
	shrinkAbove   = 0.75
	minRateFactor = 0.2
)

// SetConditions replaces the conditions that later calls of Fill go by.
func (b *Budget) SetConditions(c Conditions) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.conditions = c
}

// Fill adds the share of n first attempts: permille for each 1,000, adjusted
// to the conditions.
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

// Return gives back what Take paid for an attempt that wasn't sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens += attemptTokens
}

func (c Conditions) rateFactor() float64 {
	share := 1.0
	if c.Degraded {
		share = degradedFactor
	}

	if over := min(c.Saturation, 1) - shrinkAbove; over > 0 {
		share *= 1 - (1-minRateFactor)*over/(1-shrinkAbove)
	}

	return share
}

// Shared is a Budget that the shards of a service have in common.
type Shared struct{ *Budget }

// Take pays for one extra attempt of any shard.
func (s Shared) Take(_ uint32, k Kind) bool { return s.Budget.Take(k) }

// Return gives back what Take paid for an attempt that wasn't sent.
func (s Shared) Return(uint32) { s.Budget.Return() }

// Level implements scatter.Budget: a token bucket doesn't make hedges wait.
func (s Shared) Level(uint32) float64 { return 1 }

// Observe implements scatter.Budget; a token bucket doesn't follow outcomes.
func (s Shared) Observe(uint32, bool) {}

// Insufficient implements scatter.Budget: a token bucket refuses no query.
func (s Shared) Insufficient(uint32, float64) bool { return false }
