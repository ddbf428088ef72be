package serving

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/quota"
)

var (
	memberWaits    = metrics.NewCounter(`primrose_member_waits_total`)
	memberRefusals = metrics.NewCounter(`primrose_member_refusals_total`)
)

// capped returns the table that admits the request; nil if nothing bounds its member. A request
// that was handed over has been admitted where its caller met the system.
func (x *execution) capped() *quota.Table {
	if x.member == nil || !x.member.Cap.Limited() || x.req.HandedOverBy != "" {
		return nil
	}

	return x.engine.settings.Caps
}

// admitMember admits the request within the cap of its member organisation. Near the cap it waits
// for a permit if it can expect one while there is time for an answer within the latency
// objective, and is refused at once otherwise.
func (x *execution) admitMember(ctx context.Context) error {
	t := x.capped()
	if t == nil {
		return nil
	}

	claim, latest := quota.Claim{Priority: x.priority()}, x.permitWait()

	for {
		a := t.AdmitMember(time.Now(), x.member.Name, latest, claim)

		switch {
		case a.Admitted:
			return nil
		case a.Ticket == 0:
			return x.capExceeded(a.At)
		case claim.Ticket == 0:
			memberWaits.Inc()
		}

		claim.Ticket = a.Ticket
		timer := time.NewTimer(time.Until(a.At))

		select {
		case <-a.Changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			t.LeaveMember(x.member.Name, claim.Ticket)

			return domain.Errorf(domain.FateNotRun, domain.CodeCancelled, "admit member", "the caller closed its connection")
		}

		timer.Stop()
	}
}

// capExceeded returns the refusal of a request beyond its member's cap, which would fit at the
// time at.
func (x *execution) capExceeded(at time.Time) error {
	memberRefusals.Inc()

	c := x.member.Cap
	err := domain.Errorf(domain.FateNotRun, domain.CodeCapExceeded, "admit member",
		"%s has used up its cap of %g requests a second and a burst of %g", x.member.Name, c.Rate, c.Burst)
	err.RetryAfter = x.permitRetryAfter(time.Until(at))

	return err
}

// settleMember gives back the admission of a request that didn't run.
func (x *execution) settleMember(err error) {
	var e *domain.Error
	if t := x.capped(); t != nil && errors.As(err, &e) && e.Fate == domain.FateNotRun {
		t.ReturnMember(time.Now(), x.member.Name)
	}
}
