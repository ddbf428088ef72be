package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/roster"
)

// Guards against taking a fleet that has started again for a new one, whose configuration can't be older
// than one that was acknowledged before.
func TestNewFleets(t *testing.T) {
	const started = 1_700_000_000_000

	for name, c := range map[string]struct {
		entries []roster.Entry
		isNew   bool
	}{
		"alone":                    {nil, true},
		"together":                 {[]roster.Entry{{ID: "e-1", Started: started}, {ID: "e-2", Started: started - 300}}, true},
		"another runs for longer":  {[]roster.Entry{{ID: "e-1", Started: started}, {ID: "e-2", Started: started - 5000}}, false},
		"an earlier process":       {[]roster.Entry{{ID: "e-1", Started: started - 700}}, false},
		"a clock that stands back": {[]roster.Entry{{ID: "e-2", Started: started + 20_000}}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.isNew, isNewFleet(c.entries, "e-1", started)) })
	}
}
