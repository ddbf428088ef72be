package serving

import (
	"maps"
	"math/rand/v2"
	"time"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
)

// maxUnprovenPause is the longest pause that a caller is told while this instance doesn't know
// which keys are in force. Others mostly do, and this one again once the store answers anybody.
const maxUnprovenPause = 400 * time.Millisecond

// identify returns the request as it is processed with the view, and the member organisation
// that it is processed for; nil if it has none. A request without the key that its route
// requires is refused.
func (e *Engine) identify(v *directory.View, route *domain.Route, r *Request) (*Request, *domain.Member, error) {
	if !v.Table.KeysRequired {
		if len(r.Withheld) == 0 {
			return r, nil, nil
		}

		out := *r
		out.Header = maps.Clone(r.Header)
		maps.Copy(out.Header, r.Withheld)
		out.Withheld = nil

		return &out, nil, nil
	}

	m, err := e.memberOf(v, r.Credentials)
	if route.KeyExempt {
		err = nil
	}

	if err != nil {
		return nil, nil, err
	}

	out := *r
	out.Withheld, out.Member = nil, ""

	if m != nil {
		out.Member = m.Name
	}

	if r.HandedOverBy != "" && r.Member != out.Member {
		return nil, nil, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "identify caller",
			"version %d gives the key to another member organisation than %s does", v.Table.Version, r.HandedOverBy)
	}

	return &out, m, nil
}

// memberOf returns the member organisation that holds a key.
func (e *Engine) memberOf(v *directory.View, c domain.Credentials) (*domain.Member, error) {
	if !c.Presented {
		return nil, unauthenticated("the request has no key")
	}

	if !c.Valid {
		return nil, unauthenticated("the key can't be read")
	}

	// Whether a key is known is said only by what is known to be in force.
	if e.settings.KeysProven != nil && !e.settings.KeysProven() {
		err := domain.Errorf(domain.FateNotRun, domain.CodeKeysUnproven, "identify caller",
			"it isn't known whether version %d is still in force", v.Table.Version)
		err.RetryAfter = minRetryAfter + rand.N(maxUnprovenPause-minRetryAfter)

		return nil, err
	}

	m, ok := v.Members[c.Key]
	if !ok {
		return nil, unauthenticated("the key is unknown")
	}

	return m, nil
}

func unauthenticated(reason string) error {
	return domain.Errorf(domain.FateNotRun, domain.CodeUnauthenticated, "identify caller", "%s", reason)
}

// keyRefused reports whether a code says that a key may not, or not now, be acted on.
func keyRefused(c domain.Code) bool {
	return c == domain.CodeUnauthenticated || c == domain.CodeKeysUnproven
}

// priority returns the rank of the request.
func (x *execution) priority() uint32 {
	if x.member != nil && x.member.Priority != nil {
		return *x.member.Priority
	}

	return x.entry.Route.Priority
}

// checkKey is asked before an attempt is sent: a request that has waited may not run once its
// key has gone.
func (x *execution) checkKey() error {
	v := x.engine.directory.View()
	if !v.Table.KeysRequired {
		return nil
	}

	m, err := x.engine.memberOf(v, x.req.Credentials)
	if err == nil && m.Name != x.member.Name {
		err = unauthenticated("the key has another member organisation now")
	}

	return err
}
