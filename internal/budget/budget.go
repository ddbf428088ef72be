// Package budget limits the extra load that retries and hedges of a service
// put on its searchers.
package budget

import "sync"

// Budget is a token bucket that first attempts fill and extra attempts empty.
// The zero value allows no extra attempt until first attempts have filled it.
// It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex // Guards tokens.
	// tokens is in 1/1,000 of an attempt.
	tokens uint64
}

const (
	attemptTokens = 1000
	// maxTokens bounds the burst of extra attempts after a quiet time.
	maxTokens = 50 * attemptTokens
)

// Fill adds the share of n first attempts, permille for each 1,000.
func (b *Budget) Fill(n int, permille uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tokens = min(b.tokens+uint64(n)*uint64(permille), maxTokens)
}

// Take pays for one extra attempt and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.tokens < attemptTokens {
		return false
	}

	b.tokens -= attemptTokens

	return true
}
