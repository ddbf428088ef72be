package serving

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/routing"
)

var (
	leavingSearchers = metrics.NewCounter(`primrose_searchers_leaving_total`)
	pausedSearchers  = metrics.NewCounter(`primrose_searcher_pauses_total`)
)

// Signs is what a searcher says of itself in an answer of any kind.
type Signs struct {
	// Leaving says that the searcher leaves and takes no new requests.
	Leaving bool
	// Pause is how long the searcher wants no request of this instance; zero if it
	// asks for no pause.
	Pause time.Duration
}

// SignKeeper acts on searchers' signs, also on those of answers that came too late for
// their request.
type SignKeeper struct {
	Log       zerolog.Logger
	Directory *directory.Directory
	Routing   *routing.Table
}

// Wanted reports whether the searcher of an attempt that hasn't been sent still takes
// requests of this instance.
func (k *SignKeeper) Wanted(c Call) bool {
	return k.Directory.Usable(c.Searcher.ID) && !k.Routing.Paused(time.Now(), c.Searcher)
}

// Observe takes the signs in the answer to an attempt.
func (k *SignKeeper) Observe(c Call, s Signs) {
	sr := c.Searcher

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
