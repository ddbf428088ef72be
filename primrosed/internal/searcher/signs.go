package searcher

import (
	"errors"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/routing"
)

var (
	limitChanges = metrics.NewCounter(`primrosed_searcher_limit_changes_total`)
	pauses       = metrics.NewCounter(`primrosed_searcher_pauses_total`)
)

// Signs acts on what searchers say of themselves in their answers: limits, and pauses that
// they ask for. That they drain is part of their load.
type Signs struct {
	Log     zerolog.Logger
	Routing *routing.Table
	Quota   *quota.Table
}

// answered takes the signs in the checked answer to an attempt that was sent at the time sent.
func (s *Signs) answered(sr *domain.Searcher, queryID string, l *pb.SearcherLoad, sent time.Time) {
	rate := l.GetRateLimit()
	if math.IsNaN(rate) || rate < 0 {
		return
	}

	statement := quota.Statement{Limited: l.GetLimited()}
	if statement.Limited {
		statement.Rate = min(rate, quota.MaxRate)
	}

	if c := s.Quota.Observe(time.Now(), sr, statement, sent); c != quota.Unchanged {
		s.limitChanged(sr.ID, c, statement, "answer", queryID)
	}
}

// LimitsLearned takes changes of limits that another instance knows of.
func (s *Signs) LimitsLearned(from string, changes []quota.Learned) {
	for _, l := range changes {
		s.limitChanged(l.Searcher, l.Change, l.Statement, from, "")
	}
}

// limitChanged logs a change of a limit. Load returns slowly to a searcher whose limit has
// ended.
func (s *Signs) limitChanged(searcher string, c quota.Change, st quota.Statement, source, queryID string) {
	limitChanges.Inc()
	s.Log.Info().Str("event", "searcher_limit").Str("searcher", searcher).Str("change", c.String()).
		Float64("rate", st.Rate).Str("source", source).Str("query_id", queryID).Send()

	if c == quota.Ended {
		s.Routing.SlowStart(searcher)
	}
}

// refused takes the pause that the refusal of an attempt asks for.
func (s *Signs) refused(sr *domain.Searcher, queryID string, err error) {
	var e *domain.Error
	if !errors.As(err, &e) || e.Fate != domain.FateNotRun || e.Code != domain.CodeOverloaded || e.RetryAfter <= 0 {
		return
	}

	if until, changed := s.Routing.Pause(time.Now(), sr, e.RetryAfter); changed {
		pauses.Inc()
		s.Log.Info().Str("event", "searcher_paused").Str("searcher", sr.ID).Str("query_id", queryID).
			Int64("for_ms", time.Until(until).Milliseconds()).Send()
	}
}
