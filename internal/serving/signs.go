package serving

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/leaving"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/routing"
)

var (
	leavingSearchers = metrics.NewCounter(`primrose_searchers_leaving_total`)
	pausedSearchers  = metrics.NewCounter(`primrose_searcher_pauses_total`)
	limitChanges     = metrics.NewCounter(`primrose_searcher_limit_changes_total`)
	limitedAttempts  = metrics.NewCounter(`primrose_limited_attempts_total`)
)

// Signs is what a searcher says of itself in an answer of any kind.
type Signs struct {
	// Leaving says that the searcher leaves and takes no new requests.
	Leaving bool
	// Pause is how long the searcher wants no request of this instance; zero if it
	// asks for no pause.
	Pause time.Duration
	// Limit is what the answer says of a limit on the searcher's requests; nil if it says
	// nothing that can be read.
	Limit *quota.Statement
}

// SignKeeper acts on searchers' signs, also on those of answers that came too late for
// their request.
type SignKeeper struct {
	Log       zerolog.Logger
	Directory *directory.Directory
	Routing   *routing.Table
	Quota     *quota.Table
	// Leaving keeps what to tell other instances; Self is this one's id.
	Leaving *leaving.Signs
	Self    string
}

// Wanted reports whether the searcher of an attempt that hasn't been sent still takes
// requests of this instance.
func (k *SignKeeper) Wanted(c Call) bool {
	now := time.Now()

	return k.Directory.Usable(c.Searcher.ID) && !k.Routing.Paused(now, c.Searcher) &&
		(k.Quota == nil || k.Quota.MaySend(now, c.Searcher, c.SendBy))
}

// Observe takes the signs in the answer to an attempt that was sent at the time sent.
func (k *SignKeeper) Observe(c Call, s Signs, sent time.Time) {
	sr := c.Searcher
	k.observeLimit(c, s.Limit, sent)

	if s.Leaving && k.Leaving != nil {
		k.Leaving.Heard(time.Now(), k.Self, sr.ID, sr.Incarnation)
	}

	if s.Leaving && k.Directory.MarkLeaving(sr.ID, sr.Incarnation) {
		leavingSearchers.Inc()
		k.Log.Info().Str("event", "searcher_leaving").Str("searcher", sr.ID).Int64("incarnation", sr.Incarnation).
			Str("source", "answer").Str("request_id", c.Request.ID).Send()
	}

	if s.Pause <= 0 {
		return
	}

	if until, changed := k.Routing.Pause(time.Now(), sr, s.Pause); changed {
		pausedSearchers.Inc()
		k.Log.Info().Str("event", "searcher_paused").Str("searcher", sr.ID).Int64("incarnation", sr.Incarnation).
			Str("request_id", c.Request.ID).Int64("for_ms", time.Until(until).Milliseconds()).Send()
	}
}

// observeLimit takes what an answer says of a limit, and counts the attempts at searchers
// that have one.
func (k *SignKeeper) observeLimit(c Call, s *quota.Statement, sent time.Time) {
	if k.Quota == nil || s == nil {
		return
	}

	if s.Limited {
		limitedAttempts.Inc()
	}

	change := k.Quota.Observe(time.Now(), c.Searcher, *s, sent)
	if change == quota.Unchanged {
		return
	}

	k.limitChanged(quota.Learned{Searcher: c.Searcher.ID, Incarnation: c.Searcher.Incarnation, Change: change, Statement: *s},
		"answer", c.Request.ID)
}

// LeavingLearned takes signs that another instance told, and returns whether they changed the
// searchers in use.
func (k *SignKeeper) LeavingLearned(from string, signs []leaving.Sign) bool {
	changed := false

	for _, s := range k.Leaving.Learn(time.Now(), signs) {
		if !k.Directory.MarkToldLeaving(s.Searcher, s.Incarnation, s.Confirmed()) {
			continue
		}

		changed = true

		leavingSearchers.Inc()
		k.Log.Info().Str("event", "searcher_leaving").Str("searcher", s.Searcher).Int64("incarnation", s.Incarnation).
			Str("source", from).Strs("heard_by", s.HeardBy).Int64("age_ms", s.Age.Milliseconds()).Send()
	}

	return changed
}

// ApplyLeaving puts the known signs of leaving in force for searchers that have registered
// since.
func (k *SignKeeper) ApplyLeaving() {
	signs := k.Leaving.All(time.Now())

	for i := range signs {
		s := &signs[i]

		if slices.Contains(s.HeardBy, k.Self) {
			k.Directory.MarkLeaving(s.Searcher, s.Incarnation)
		} else {
			k.Directory.MarkToldLeaving(s.Searcher, s.Incarnation, s.Confirmed())
		}
	}
}

// LimitsLearned takes changes of limits that another instance knows of.
func (k *SignKeeper) LimitsLearned(from string, changes []quota.Learned) {
	for _, l := range changes {
		k.limitChanged(l, from, "")
	}
}

// limitChanged logs a change of a limit. Load returns slowly to a searcher whose limit has
// ended.
func (k *SignKeeper) limitChanged(l quota.Learned, source, requestID string) {
	limitChanges.Inc()

	ev := k.Log.Info().Str("event", "searcher_limit").Str("searcher", l.Searcher).Int64("incarnation", l.Incarnation).
		Str("change", l.Change.String()).Float64("rate", l.Statement.Rate).Str("source", source)
	if requestID != "" {
		ev.Str("request_id", requestID)
	}

	ev.Send()

	if l.Change == quota.Ended {
		k.Routing.SlowStart(l.Searcher)
	}
}
