package hosted

import (
	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/memory"
)

// budgets bound the memory that peers decide about, each kind of peer by itself, so that none
// takes that of the others.
type budgets struct {
	// answers are those of searchers that are being read.
	answers *memory.Budget
	// bodies and heads are those of callers' requests that are being served.
	bodies, heads *memory.Budget
	// frames are those of other instances that are being read.
	frames *memory.Budget
	// lists are lists and watches of the store that are being read.
	lists *memory.Budget
}

// newBudgets returns budgets that are shares of the memory limit, together half of it, with a
// minimum that applies where the limit is lower or unknown.
func newBudgets(s hosting.Settings) *budgets {
	b := &budgets{}

	for _, d := range []struct {
		kind   string
		budget **memory.Budget
		share  float64
		least  int64
	}{
		{"searcher_answers", &b.answers, 0.15, 16 << 20},
		{"caller_bodies", &b.bodies, 0.15, 16 << 20},
		{"caller_heads", &b.heads, 0.06, 8 << 20},
		{"peer_frames", &b.frames, 0.07, 8 << 20},
		{"store_lists", &b.lists, 0.07, 8 << 20},
	} {
		budget := &memory.Budget{Max: max(int64(d.share*float64(s.MemoryBytes)), d.least)}
		*d.budget = budget

		metrics.GetOrCreateGauge(`primrose_memory_reserved_bytes{kind="`+d.kind+`"}`, func() float64 { return float64(budget.Used()) })
	}

	return b
}
