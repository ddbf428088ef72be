package serving

import (
	"time"

	"primrosespring.example/internal/domain"
)

// stopObjectives is how many latency objectives a request is given to end before the
// process does. Searchers in trouble are up to four times slower than usual.
const stopObjectives = 4

// Stop says when a planned stop cuts off what is in progress.
type Stop struct {
	// End is when requests in progress are cut off.
	End time.Time
	// Late is from when on only requests are begun whose whole timeout ends before End.
	// By then the balancer sends no new connections, so that hardly any are left.
	Late time.Time
}

// refuses reports whether a request that would begin at now, with a timeout at deadline,
// might be cut off.
func (s *Stop) refuses(now, deadline time.Time, objective time.Duration) bool {
	if s == nil {
		return false
	}

	need := deadline.Sub(now)
	if now.Before(s.Late) && objective > 0 {
		need = min(need, stopObjectives*objective)
	}

	return now.Add(need).After(s.End)
}

// SetStop tells the engine of a planned stop. It refuses requests that may not end in
// time from then on, as not run: other instances can serve them.
func (e *Engine) SetStop(s Stop) { e.stop.Store(&s) }

// refuseAtStop returns the refusal of a request that a planned stop might cut off.
func (x *execution) refuseAtStop() error {
	s, now := x.engine.stop.Load(), time.Now()
	if !s.refuses(now, x.deadline, x.entry.Route.LatencyObjective) {
		return nil
	}

	return domain.Errorf(domain.FateNotRun, domain.CodeStopping, "admit", "the instance stops in %s", s.End.Sub(now).Round(time.Millisecond))
}
