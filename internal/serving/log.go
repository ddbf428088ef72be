package serving

import (
	"errors"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/scatter"
)

// logOutcome logs the outcome of a request with the configuration version, registry
// state and searchers that it used.
func (x *execution) logOutcome(resp *Response, err error) {
	if !x.engine.settings.LogPlacement && err == nil {
		return
	}

	x.mu.Lock()
	defer x.mu.Unlock()

	ev := x.requestEvent().Uint64("registry_change", x.view.RegistryChange).
		Int64("elapsed_ms", time.Since(x.req.Received).Milliseconds()).Int("attempts", len(x.attempts))

	if x.req.HandedOverBy != "" {
		ev.Str("handed_over_by", x.req.HandedOverBy)
	}

	x.addPlacement(ev)
	addOutcome(ev, resp, err)

	if err != nil {
		ev.Stringer("content", x.req.digest())
	}

	ev.Send()
}

// logHandedOver logs the outcome of a request that another instance processed; that
// one logs the same id with the placement.
func (x *execution) logHandedOver(by string, resp *Response, err error) {
	ev := x.requestEvent().Int64("elapsed_ms", time.Since(x.req.Received).Milliseconds()).Str("gathered_by", by)

	addOutcome(ev, resp, err)
	ev.Send()
}

// requestEvent returns a log event with the fields that all outcomes have.
func (x *execution) requestEvent() *zerolog.Event {
	ev := x.engine.log.Info().Str("event", "request").Str("request_id", x.req.ID).Str("route", x.entry.Route.Name).
		Uint64("version", x.view.Table.Version)
	if x.member != nil {
		ev.Str("member", x.member.Name)
	}

	return ev
}

func addOutcome(ev *zerolog.Event, resp *Response, err error) {
	switch {
	case err != nil:
		addError(ev, err)
	case resp.Gathered:
		ev.Str("outcome", "answered").Int("missing", resp.Missing)
	default:
		ev.Str("outcome", "answered").Int("status", resp.Status)
	}
}

// addPlacement adds the searchers that attempts were sent to, and for a gathered
// route the pools that didn't answer.
func (x *execution) addPlacement(ev *zerolog.Event) {
	if !x.engine.settings.LogPlacement {
		return
	}

	var b strings.Builder

	for i := range x.attempts {
		if i > 0 {
			b.WriteByte(',')
		}

		b.WriteString(x.attempts[i].Searcher.ID)
	}

	ev.Str("searchers", b.String())

	if !x.entry.Route.Gathered() {
		return
	}

	b.Reset()

	for i, r := range x.replies {
		if r == nil {
			if b.Len() > 0 {
				b.WriteByte(',')
			}

			b.WriteString(x.target.Pools[i])
		}
	}

	ev.Str("missing_pools", b.String())
}

// logExtraAttempt logs the placement of a retry or hedge.
func (x *execution) logExtraAttempt(a scatter.Attempt) {
	if !x.engine.settings.LogPlacement {
		return
	}

	x.engine.log.Info().Str("event", "route").Str("request_id", x.req.ID).Uint32("attempt", a.ID).
		Str("pool", x.target.Pools[a.Shard]).Str("searcher", a.Searcher.ID).Str("reason", string(a.Reason)).
		Int64("at_ms", time.Since(x.req.Received).Milliseconds()).
		Int64("expected_us", a.Expected.Microseconds()).Bool("probe", a.Probe).Send()
}

func (x *execution) logAttemptFailed(a scatter.Attempt, e *domain.Error) {
	x.engine.log.Info().Str("event", "attempt_failed").Str("request_id", x.req.ID).Stringer("content", x.req.digest()).Uint32("attempt", a.ID).
		Str("pool", x.target.Pools[a.Shard]).Str("searcher", a.Searcher.ID).
		Int64("at_ms", time.Since(x.req.Received).Milliseconds()).
		Str("code", string(e.Code)).Str("fate", e.Fate.String()).Str("reason", e.Error()).Send()
}

func (e *Engine) logRefusal(r *Request, err error) {
	ev := e.log.Info().Str("event", "request").Str("request_id", r.ID).
		Int64("elapsed_ms", time.Since(r.Received).Milliseconds())

	if r.Member != "" {
		ev.Str("member", r.Member)
	}

	if v := e.directory.View(); v != nil {
		ev.Uint64("version", v.Table.Version).Uint64("registry_change", v.RegistryChange)
	}

	addError(ev, err)
	ev.Stringer("content", r.digest()).Send()
}

func addError(ev *zerolog.Event, err error) {
	var e *domain.Error
	if errors.As(err, &e) {
		ev.Str("outcome", "refused").Str("code", string(e.Code)).Str("fate", e.Fate.String()).
			Int64("retry_after_ms", e.RetryAfter.Milliseconds())
	}

	ev.Str("reason", err.Error())
}
