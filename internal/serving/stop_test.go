package serving

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// Guards against requests that begin in a planned stop and are cut off at its end, and
// against refusing those that end in time.
func TestRequestsThatAStopMightCutOffAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		after, timeout time.Duration
		refused        bool
	}{
		"early":                    {after: 0, timeout: 2 * time.Second},
		"four objectives are left": {after: 1990 * time.Millisecond, timeout: 10 * time.Second},
		"less is left":             {after: 2010 * time.Millisecond, timeout: 10 * time.Second, refused: true},
		"late and long":            {after: 2600 * time.Millisecond, timeout: 1800 * time.Millisecond, refused: true},
		"late and short":           {after: 2600 * time.Millisecond, timeout: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := singleRoute(false)
				route.Timeout = 10 * time.Second
				s := newSystem(t, 1, 1, 1, 1, route)

				s.engines[0].SetStop(Stop{End: time.Now().Add(4 * time.Second), Late: time.Now().Add(2500 * time.Millisecond)})
				time.Sleep(c.after)

				_, err := s.engines[0].Serve(t.Context(), request("one", "r", 20*time.Millisecond, c.timeout))
				if !c.refused {
					require.NoError(t, err)

					return
				}

				require.Equal(t, domain.CodeStopping, requireFate(t, domain.FateNotRun, err).Code)
				require.Empty(t, s.model.arrivals)
			})
		})
	}
}
