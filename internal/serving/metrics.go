package serving

import (
	"errors"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/scatter"
)

func countAttempt(r scatter.Reason) {
	metrics.GetOrCreateCounter(`primrose_attempts_total{reason="` + string(r) + `"}`).Inc()
}

func countAttemptFailure(c domain.Code) {
	metrics.GetOrCreateCounter(`primrose_attempts_failed_total{code="` + string(c) + `"}`).Inc()
}

// countResult counts the end of a request by its outcome.
func countResult(route string, elapsed time.Duration, resp *Response, err error) {
	if err != nil {
		countRefusal(err)

		return
	}

	metrics.GetOrCreateHistogram(`primrose_request_seconds{route=` + strconv.Quote(route) + `}`).Update(elapsed.Seconds())

	if resp.Missing > 0 {
		metrics.GetOrCreateCounter(`primrose_partial_answers_total`).Inc()
	}
}

func countRefusal(err error) {
	code, fate := domain.CodeInternal, domain.FateUnknown

	var e *domain.Error
	if errors.As(err, &e) {
		code, fate = e.Code, e.Fate
	}

	metrics.GetOrCreateCounter(`primrose_refused_total{code="` + string(code) + `",fate="` + fate.String() + `"}`).Inc()
}
