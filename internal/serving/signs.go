package serving

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
)

var leavingSearchers = metrics.NewCounter(`primrose_searchers_leaving_total`)

// Signs is what a searcher says of itself in an answer of any kind.
type Signs struct {
	// Leaving says that the searcher leaves and takes no new requests.
	Leaving bool
}

// SignKeeper acts on searchers' signs, also on those of answers that came too late for
// their request.
type SignKeeper struct {
	Log       zerolog.Logger
	Directory *directory.Directory
}

// Observe takes the signs in the answer to an attempt.
func (k *SignKeeper) Observe(c Call, s Signs) {
	sr := c.Searcher

	if s.Leaving && k.Directory.MarkLeaving(sr.ID, sr.Incarnation) {
		leavingSearchers.Inc()
		k.Log.Info().Str("event", "searcher_leaving").Str("searcher", sr.ID).Int64("incarnation", sr.Incarnation).
			Str("source", "answer").Str("request_id", c.Request.ID).Send()
	}

}
