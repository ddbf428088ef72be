package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/serving"
)

// Guards against instances that together open more connections than a searcher accepts:
// on deployment adunni-search-grown, 72 instances each kept one open to searchers that
// accept 58.
func TestConnectionsAreDivided(t *testing.T) {
	shares := serving.Shares{Gathered: 1.0 / 20, Direct: 1.0 / 72}

	for name, c := range map[string]struct {
		searcher domain.Searcher
		want     http1.Limit
	}{
		"several each":         {domain.Searcher{Connections: 94, Gathered: true}, http1.Limit{MaxOpen: 4}},
		"one each":             {domain.Searcher{Connections: 94}, http1.Limit{MaxOpen: 1}},
		"fewer than instances": {domain.Searcher{Connections: 58}, http1.Limit{MaxOpen: 1, CloseIdle: true}},
		"limit unknown":        {domain.Searcher{}, http1.Limit{MaxOpen: 1}},
	} {
		require.Equal(t, c.want, connectionLimit(&c.searcher, shares), name)
	}
}
