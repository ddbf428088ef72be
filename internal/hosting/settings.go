// Package hosting defines the settings that an instance gets from the platform
// that hosts it, in types that don't depend on the platform.
package hosting

import (
	"time"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/domain"
)

// The bounds of Settings.Quarantine.
const (
	MinQuarantine = time.Second
	MaxQuarantine = time.Hour
)

// Settings are what the platform passes to an instance at its start and whenever
// they change.
type Settings struct {
	Instance domain.Instance
	// Peers are the peer addresses of a few other instances. They may be out of date.
	Peers []string
	// CallerAddress serves callers, HealthAddress the platform's balancer; IP
	// address and port.
	CallerAddress string
	HealthAddress string
	// MetricsAddress serves counters and histograms.
	MetricsAddress string
	// StoreAddress is the platform's store.
	StoreAddress string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Cores is the CPU share in cores.
	Cores float64
	// LinkMbps is the bandwidth of the instance's link in Mbit/s.
	LinkMbps float64
	// Quarantine is how long a request that ends searchers is held back; zero turns it off.
	Quarantine time.Duration
	Bounds     Bounds
}

// Bounds are the time and retry limits that the platform's users rely on.
type Bounds struct {
	// Drain is how long a draining searcher still serves.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigurationDelay is the time within which a configuration change must take
	// effect.
	ConfigurationDelay time.Duration
	// ExtraAttempts bounds retries and hedges for each pool.
	ExtraAttempts budget.Limit
	// Revocation is the time from which no instance may act on a key that was taken away; zero
	// if only those that the change has reached may not.
	Revocation time.Duration
	// Evacuation is the time within which no instance may send to an evacuated failure domain
	// any more; zero if the operator asks for no evacuations.
	Evacuation time.Duration
	// Caps are the tolerances of caps on member organisations; the zero value has none.
	Caps CapBounds
}

// CapBounds say what counts as a breach of the cap of a member organisation: in a time Window,
// more requests than its Rate and Burst allow, times 1 + Overage, and Slack.
type CapBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Validate returns an error for the first invalid field.
func (s Settings) Validate() error {
	for _, a := range []struct{ field, address string }{
		{"caller_address", s.CallerAddress},
		{"health_address", s.HealthAddress},
		{"metrics_address", s.MetricsAddress},
		{"store_address", s.StoreAddress},
		{"instance.peer_address", s.Instance.PeerAddress},
	} {
		if err := domain.CheckAddress(a.field, a.address); err != nil {
			return err
		}
	}

	for _, a := range s.Peers {
		if err := domain.CheckAddress("peers", a); err != nil {
			return err
		}
	}

	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.drain", s.Bounds.Drain},
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.configuration_delay", s.Bounds.ConfigurationDelay},
		{"bounds.extra_attempts.window", s.Bounds.ExtraAttempts.Window},
	} {
		if d.value <= 0 {
			e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check settings", "is %s; must be positive", d.value)
			e.Field = d.field

			return e
		}
	}

	if s.Bounds.Revocation < 0 || s.Bounds.Evacuation < 0 || s.Bounds.Caps.Window < 0 || s.Bounds.Caps.Overage < 0 || s.Bounds.Caps.Slack < 0 {
		e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check settings", "a time or tolerance is negative")
		e.Field = "bounds"

		return e
	}

	if s.Quarantine != 0 && (s.Quarantine < MinQuarantine || s.Quarantine > MaxQuarantine) {
		e := domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "check settings", "is %s; must be 0, or from %s to %s",
			s.Quarantine, MinQuarantine, MaxQuarantine)
		e.Field = "quarantine"

		return e
	}

	return nil
}
