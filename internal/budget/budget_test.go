package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// take returns how many attempts of a kind the budget pays for in a row.
func take(b *Budget, k Kind) int {
	n := 0
	for n < 1000 && b.Take(k) {
		n++
	}

	return n
}

// emptyBudget returns a budget that allows no hedge of either kind.
func emptyBudget() *Budget {
	b := &Budget{}
	take(b, LateHedge)

	return b
}

// Guards against extra load beyond the rule's share of the first attempts.
func TestExtraAttemptsStayWithinTheRate(t *testing.T) {
	b := emptyBudget()
	sent := 0

	for range 1000 {
		b.Fill(20, 50)
		sent += take(b, LateHedge)
	}

	require.Equal(t, 1000, sent)
}

// Guards against an unbounded burst of hedges after an idle time.
func TestIdleTimeSavesABoundedBurst(t *testing.T) {
	b := emptyBudget()
	b.Fill(1_000_000, 50)
	require.Equal(t, maxTokens/attemptTokens, take(b, LateHedge))
}

// Guards against early hedges that use up the tokens of late ones, and hedges
// that use up those of retries.
func TestKindsKeepTheirReserves(t *testing.T) {
	var b Budget

	require.Equal(t, (initialTokens-lateReserve)/attemptTokens, take(&b, Hedge))
	require.Equal(t, lateReserve/attemptTokens, take(&b, LateHedge))
	require.Equal(t, maxDebt/attemptTokens, take(&b, Retry))
	require.False(t, b.Take(Hedge))
}

// Guards against an attempt that uses up tokens though it wasn't sent.
func TestReturnRefunds(t *testing.T) {
	b := emptyBudget()
	b.Return()
	require.Equal(t, 1, take(b, LateHedge))
}

// Guards against hedges that add load to full searchers, and against retries for
// an ejected searcher that use up the tokens of hedges.
func TestConditionsAdjustTheRate(t *testing.T) {
	for _, c := range []struct {
		name       string
		conditions Conditions
		want       int
	}{
		{"idle", Conditions{}, 10},
		{"half full", Conditions{Saturation: 0.5}, 10},
		{"full", Conditions{Saturation: 1}, 2},
		{"overloaded", Conditions{Saturation: 3}, 2},
		{"ejected searcher", Conditions{Degraded: true}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := emptyBudget()
			b.SetConditions(c.conditions)
			b.Fill(201, 50)
			require.Equal(t, c.want, take(b, LateHedge))
		})
	}
}
