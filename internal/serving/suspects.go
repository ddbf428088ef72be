package serving

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/contain"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/scatter"
)

const (
	// maxLostSearchers is how many searchers may end under a query over many shards: one of
	// its first parts, beside others under way, and a canary.
	maxLostSearchers = 2
	// maxRememberedBody bounds the body of a request of which it is remembered that a searcher
	// answered it.
	maxRememberedBody = 16 << 10
	// endCheckTimeout bounds the check whether a searcher has ended: opening a connection
	// takes two network delays.
	endCheckTimeout = 250 * time.Millisecond
	// tellTimeout bounds how long the answer to a request that ended a searcher waits until
	// other instances know, since the caller may go to one of them with the same content.
	tellTimeout = 100 * time.Millisecond
)

var (
	searchersEnded   = metrics.NewCounter(`primrose_searchers_ended_total`)
	suspectsCleared  = metrics.NewCounter(`primrose_suspects_cleared_total`)
	suspectsLearned  = metrics.NewCounter(`primrose_suspects_learned_total`)
	carefulRequests  = metrics.NewCounter(`primrose_careful_requests_total`)
	heldRequests     = metrics.NewCounter(`primrose_held_requests_total`)
	trialsInProgress = metrics.NewCounter(`primrose_trials_awaited_total`)
)

// Suspects connect an Engine to what instances know of requests that end searchers. Its zero
// value knows none.
type Suspects struct {
	Table *quarantine.Table
	// Ended reports whether the process of a searcher has ended.
	Ended func(ctx context.Context, sr *domain.Searcher) bool
	// Tell tells other instances of a new strike, or of an answer after strikes; the channel is
	// closed once they know or can't be told. It must not block.
	Tell func() <-chan struct{}
}

func (s *Suspects) enabled() bool { return s.Table.Enabled() && s.Ended != nil }

// suspicion is what an execution knows of its own request; the execution's lock guards it,
// except for verdict.
type suspicion struct {
	verdict quarantine.Verdict
	// trial says that a trial of the content is in progress.
	trial bool
	// told is closed once other instances know of the last strike.
	told <-chan struct{}
}

// checkContent refuses a request whose content has ended searchers, or that has to wait until
// it is known whether it does.
func (x *execution) checkContent() error {
	t := x.engine.settings.Suspects.Table
	if !t.Known() {
		return nil
	}

	content, now := x.req.digest(), time.Now()

	verdict, retryAfter := t.Check(now, content, x.entry.Route.Name)
	x.suspicion.verdict, x.suspicion.trial = verdict, verdict == quarantine.Trial

	switch verdict {
	case quarantine.Held:
		heldRequests.Inc()

		err := domain.Errorf(domain.FateNotRun, domain.CodeQuarantined, "check content",
			"searchers ended under %d requests with content %s", quarantine.MaxStrikes, content)
		err.RetryAfter = retryAfter

		return err
	case quarantine.Busy:
		trialsInProgress.Inc()

		err := domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "check content",
			"a searcher ended under a request with content %s, and whether others do is known later", content)
		err.RetryAfter = max(retryAfter, minRetryAfter)

		return err
	case quarantine.Careful, quarantine.Trial:
		carefulRequests.Inc()
	case quarantine.Free:
	}

	return nil
}

// hedgeFrom returns when hedges may be sent though no shard has answered: a trial has none, and
// the first answer of many shards comes long before a hedge is useful.
func (x *execution) hedgeFrom() time.Time {
	route := x.entry.Route

	switch {
	case x.suspicion.verdict == quarantine.Trial:
		return x.deadline
	case x.engine.settings.Suspects.enabled() && route.Gathered() && len(x.target.Pools) > 1:
		return x.req.Received.Add(route.LatencyObjective)
	default:
		return time.Time{}
	}
}

// endTrial ends the trial of a suspect that had no result.
func (x *execution) endTrial() {
	x.mu.Lock()
	trial := x.suspicion.trial
	x.mu.Unlock()

	if trial {
		x.engine.settings.Suspects.Table.EndTrial(x.req.digest())
	}
}

// searcherEnded reports whether the searcher of a failed attempt has ended, if that says
// something about the request: it was sent, and no searcher has answered it.
func (x *execution) searcherEnded(a scatter.Attempt, err error) bool {
	s := &x.engine.settings.Suspects
	if err == nil || !s.enabled() {
		return false
	}

	var e *domain.Error
	if !errors.As(err, &e) || e.Code != domain.CodeSearcherUnavailable || e.Fate == domain.FateNotRun {
		return false
	}

	x.mu.Lock()
	relevant := !x.ended && x.query.Included() == 0
	x.mu.Unlock()

	if !relevant {
		return false
	}

	ctx, cancel := context.WithTimeout(x.ctx, endCheckTimeout)
	defer cancel()

	ended := false
	_ = contain.Call(x.engine.log, "check searcher", a.Searcher.ID, func() error {
		ended = s.Ended(ctx, a.Searcher)

		return nil
	})

	return ended
}

// strike handles the failure of an attempt whose searcher has ended; the caller holds mu. The
// parts of a query that are under way at once get one strike. Another searcher is tried while
// the content has a single strike: most likely another request ended the first one.
func (x *execution) strike(now time.Time, a scatter.Attempt, o domain.Fate, code domain.Code) scatter.Step {
	s := &x.engine.settings.Suspects
	outcome := routingOutcome(domain.Errorf(o, code, "", ""))

	// Attempts that were cancelled were under way with the one that got the strike.
	if x.query.Included() > 0 || x.ended || !x.query.Outstanding(a.ID) {
		return x.handleFailure(now, a, outcome, code, o)
	}

	searchersEnded.Inc()

	strikes := s.Table.Strike(now, x.req.digest(), x.entry.Route.Name)
	x.suspicion.trial = false

	if s.Tell != nil {
		x.suspicion.told = s.Tell()
	}

	x.engine.log.Warn().Str("event", "searcher_ended").Str("request_id", x.req.ID).Stringer("content", x.req.digest()).
		Str("route", x.entry.Route.Name).Str("searcher", a.Searcher.ID).Int("strikes", strikes).
		Bool("held", strikes >= quarantine.MaxStrikes).Send()

	switch {
	case x.entry.Route.Gathered():
		return x.query.FailedWithSearcher(now, a.ID, outcome, code)
	case !x.entry.Route.Repeatable || strikes > 1:
		return x.query.FailedPermanently(now, a.ID, outcome, code)
	default:
		return x.query.Failed(now, a.ID, outcome, code)
	}
}

// answered remembers that a searcher has answered the request, and clears its content of
// strikes; the caller holds mu.
func (x *execution) answered(now time.Time) {
	t := x.engine.settings.Suspects.Table
	if !t.Enabled() || x.query.Included() > 0 || !t.Known() && len(x.req.Body) > maxRememberedBody {
		return
	}

	x.suspicion.trial = false

	if !t.Answered(now, x.req.digest()) {
		return
	}

	suspectsCleared.Inc()
	x.engine.log.Info().Str("event", "suspect_cleared").Str("request_id", x.req.ID).Stringer("content", x.req.digest()).Send()

	if tell := x.engine.settings.Suspects.Tell; tell != nil {
		tell()
	}
}

// awaitTold waits until other instances know that a failed request ended a searcher.
func (x *execution) awaitTold(ctx context.Context) {
	x.mu.Lock()
	told := x.suspicion.told
	x.mu.Unlock()

	if told == nil {
		return
	}

	t := time.NewTimer(tellTimeout)
	defer t.Stop()

	select {
	case <-told:
	case <-t.C:
	case <-ctx.Done():
	}
}

// SuspectsLearned takes suspects that another instance told, and returns whether they were new.
func (e *Engine) SuspectsLearned(from string, suspects []quarantine.Suspect) bool {
	learned := e.settings.Suspects.Table.Learn(time.Now(), suspects)

	for i := range learned {
		s := &learned[i]

		suspectsLearned.Inc()
		e.log.Info().Str("event", "suspect_learned").Stringer("content", s.Content).Str("route", s.Route).Str("source", from).
			Int("strikes", len(s.Strikes)).Bool("held", len(s.Strikes) >= quarantine.MaxStrikes).Send()
	}

	return len(learned) > 0
}

// SuspectsCleared takes strikes that came before an answer at another instance, and reports
// whether any of them counted here.
func (e *Engine) SuspectsCleared(from string, cleared []quarantine.Suspect) bool {
	contents := e.settings.Suspects.Table.LearnCleared(time.Now(), cleared)

	for _, d := range contents {
		suspectsCleared.Inc()
		e.log.Info().Str("event", "suspect_cleared").Stringer("content", d).Str("source", from).Send()
	}

	return len(contents) > 0
}
