package hosted

import (
	"context"
	"slices"
	"time"

	"primrosespring.example/internal/roster"
	"primrosespring.example/platform"
)

const (
	// proofInterval is how often the proof of the configuration is checked.
	proofInterval = 200 * time.Millisecond
	// unreadyShare is the share of the proof from which the instance asks for no new
	// connections: the balancer notices within 2 s, but an instance that is cut off is
	// seldom back before.
	unreadyShare = 0.75
)

// watchProof reports the instance not ready while it is about to refuse every request that needs
// a key, for want of a proof that its keys are in force.
func (i *Instance) watchProof(ctx context.Context) {
	proof := i.parts.Followers.configuration.Proof
	if proof <= 0 {
		return
	}

	t := time.NewTicker(proofInterval)
	defer t.Stop()

	proven := true

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}

		age := i.parts.Followers.configuration.ProofAge()
		v := i.parts.Directory.View()
		now := v == nil || !v.Table.KeysRequired || age <= time.Duration(unreadyShare*float64(proof))

		if now == proven {
			continue
		}

		proven = now
		reason := ""

		if !proven {
			reason = "it isn't known which keys are in force"
		}

		i.health.Set("keys", reason)
		i.log.Info().Str("event", "keys").Bool("proven", proven).Int64("age_ms", age.Milliseconds()).
			Int64("bound_ms", proof.Milliseconds()).Send()
	}
}

// eraRecords keeps in the store which of its eras is settled. It implements follower.Records.
type eraRecords struct {
	*platform.Store

	self string
	// started is the start of this process in Unix milliseconds, as in its entry.
	started int64
}

// newFleetSpan is the time, in Unix milliseconds, within which the instances of a new fleet start.
const newFleetSpan = 2000

// NewFleet implements follower.Records.
func (r eraRecords) NewFleet(ctx context.Context) (bool, error) {
	entries, err := r.ListInstances(ctx, false)
	if err != nil {
		return false, err
	}

	return isNewFleet(entries, r.self, r.started), nil
}

// isNewFleet reports whether the instances have all started now, and this one has no entry of an earlier
// process.
func isNewFleet(entries []roster.Entry, self string, started int64) bool {
	return !slices.ContainsFunc(entries, func(e roster.Entry) bool {
		return e.ID == self && e.Started != started || e.Started < started-newFleetSpan || e.Started > started+newFleetSpan
	})
}
