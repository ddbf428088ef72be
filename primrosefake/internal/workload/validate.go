package workload

import (
	"fmt"
	"math"
	"slices"

	"primrosespring.example/internal/domain"
)

// Validate returns an error for the first invalid field.
func (w *Workload) Validate() error {
	if err := domain.CheckName("name", w.Name); err != nil {
		return err
	}

	if err := domain.CheckName("region", w.Region); err != nil {
		return err
	}

	checks := []func() error{
		w.validateTimes, w.validateFailureDomains, w.validateInstances, w.validateServices, w.validateLoad, w.validateFaults,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}

	return nil
}

func (w *Workload) validateTimes() error {
	if w.DurationMS == 0 || w.DurationMS > MaxDurationMS {
		return invalid("duration_ms", "is %d; must be 1 to %d", w.DurationMS, MaxDurationMS)
	}

	if w.WarmUpMS >= w.DurationMS {
		return invalid("warm_up_ms", "is %d; must be less than duration_ms (%d)", w.WarmUpMS, w.DurationMS)
	}

	for _, d := range []struct {
		field string
		value uint32
	}{
		{"delays.between_failure_domains_us", w.Delays.BetweenFailureDomainsUS},
		{"delays.to_clients_us", w.Delays.ToClientsUS},
		{"delays.jitter_us", w.Delays.JitterUS},
	} {
		if d.value > MaxDelayUS {
			return invalid(d.field, "is %d; at most %d is allowed", d.value, MaxDelayUS)
		}
	}

	return nil
}

func (w *Workload) validateFailureDomains() error {
	if len(w.FailureDomains) == 0 {
		return invalid("failure_domains", "must name at least one failure domain")
	}

	for i, d := range w.FailureDomains {
		path := fmt.Sprintf("failure_domains[%d]", i)
		if err := domain.CheckName(path, d); err != nil {
			return err
		}

		if slices.Contains(w.FailureDomains[:i], d) {
			return invalid(path, "%q is listed twice", d)
		}
	}

	return nil
}

func (w *Workload) validateInstances() error {
	if len(w.Instances) == 0 || len(w.Instances) > MaxInstances {
		return invalid("instances", "has %d entries; must have 1 to %d", len(w.Instances), MaxInstances)
	}

	seen := make(map[string]bool, len(w.Instances))

	for i, in := range w.Instances {
		path := fmt.Sprintf("instances[%d]", i)
		if err := domain.CheckName(path+".id", in.ID); err != nil {
			return err
		}

		if seen[in.ID] {
			return invalid(path+".id", "%q is listed twice", in.ID)
		}

		seen[in.ID] = true

		if !slices.Contains(w.FailureDomains, in.FailureDomain) {
			return invalid(path+".failure_domain", "%q is not one of failure_domains", in.FailureDomain)
		}
	}

	return nil
}

func (w *Workload) validateServices() error {
	if len(w.Services) == 0 {
		return invalid("services", "must name at least one service")
	}

	var searchers uint64

	for i, s := range w.Services {
		path := fmt.Sprintf("services[%d]", i)
		if err := s.validate(); err != nil {
			return domain.InField(path, err)
		}

		if first, _ := w.Service(s.Name); first != &w.Services[i] {
			return invalid(path+".name", "%q is listed twice", s.Name)
		}

		searchers += uint64(s.Shards) * uint64(s.SearchersPerShard)
		if searchers > MaxSearchers {
			return invalid(path, "brings the searchers to %d; at most %d are allowed", searchers, MaxSearchers)
		}
	}

	return nil
}

func (s Service) validate() error {
	if err := domain.CheckName("name", s.Name); err != nil {
		return err
	}

	for _, c := range []struct {
		field      string
		value, max uint32
	}{
		{"shards", s.Shards, domain.MaxShards},
		{"searchers_per_shard", s.SearchersPerShard, domain.MaxSearchersPerShard},
		{"slots", s.Slots, domain.MaxSlots},
		{"connections", s.Connections, domain.MaxConnections},
		{"median_us", s.MedianUS, MaxMedianUS},
	} {
		if c.value == 0 || c.value > c.max {
			return invalid(c.field, "is %d; must be 1 to %d", c.value, c.max)
		}
	}

	switch {
	case s.SetUpUS > MaxDelayUS:
		return invalid("set_up_us", "is %d; at most %d is allowed", s.SetUpUS, MaxDelayUS)
	case !(s.Sigma >= 0 && s.Sigma <= 3):
		return invalid("sigma", "is %g; must be 0 to 3", s.Sigma)
	case s.StragglerPermille > permille:
		return invalid("straggler_permille", "is %d; at most %d is allowed", s.StragglerPermille, permille)
	case !(s.StragglerFactor >= 1 && s.StragglerFactor <= maxSlowFactor):
		return invalid("straggler_factor", "is %g; must be 1 to %d", s.StragglerFactor, maxSlowFactor)
	}

	return domain.InField("rules", s.Rules.Validate())
}

func (w *Workload) validateLoad() error {
	l := w.Load

	switch {
	case (l.QueriesPerSecond != 0) == (l.SlotsPermille != 0):
		return invalid("load.queries_per_second", "exactly one of queries_per_second and slots_permille must be set")
	case !(l.QueriesPerSecond >= 0 && l.QueriesPerSecond <= MaxQueriesPerSec):
		return invalid("load.queries_per_second", "is %g; must be 0 to %d", l.QueriesPerSecond, MaxQueriesPerSec)
	case l.SlotsPermille > maxSlotsPermille:
		return invalid("load.slots_permille", "is %d; at most %d is allowed", l.SlotsPermille, maxSlotsPermille)
	case l.TimeoutMS == 0 || l.TimeoutMS > domain.MaxTimeoutMS:
		return invalid("load.timeout_ms", "is %d; must be 1 to %d", l.TimeoutMS, domain.MaxTimeoutMS)
	case l.Connections == 0 || l.Connections > domain.MaxConnections:
		return invalid("load.connections", "is %d; must be 1 to %d", l.Connections, domain.MaxConnections)
	case l.RepeatPermille > permille:
		return invalid("load.repeat_permille", "is %d; at most %d is allowed", l.RepeatPermille, permille)
	case len(l.Mix) == 0:
		return invalid("load.mix", "must name at least one service")
	case len(l.Members) == 0:
		return invalid("load.members", "must name at least one member organisation")
	}

	if err := w.validateMix(); err != nil {
		return err
	}

	return w.validateMembers()
}

func (w *Workload) validateMix() error {
	var total float64

	for i, p := range w.Load.Mix {
		path := fmt.Sprintf("load.mix[%d]", i)

		s, ok := w.Service(p.Service)
		if !ok {
			return invalid(path+".service", "%q is not one of services", p.Service)
		}

		switch {
		case !(p.Weight > 0 && p.Weight <= permille):
			return invalid(path+".weight", "is %g; must be above 0 and at most %d", p.Weight, permille)
		case p.NonRepeatablePermille > permille:
			return invalid(path+".non_repeatable_permille", "is %d; at most %d is allowed", p.NonRepeatablePermille, permille)
		case p.NonRepeatablePermille > 0 && !s.Rules.NonRepeatable:
			return invalid(path+".non_repeatable_permille", "the rules of %s allow no non-repeatable requests", s.Name)
		case p.NonRepeatablePermille < permille && !s.Rules.Repeatable:
			return invalid(path+".non_repeatable_permille", "the rules of %s allow no repeatable requests", s.Name)
		}
	}

	for _, p := range w.Load.Mix {
		total += w.Rate(p)
	}

	if math.IsNaN(total) || total > MaxQueriesPerSec {
		return invalid("load.mix", "amounts to %g requests a second; at most %d are allowed", total, MaxQueriesPerSec)
	}

	return nil
}

func (w *Workload) validateMembers() error {
	var share uint32

	for i, m := range w.Load.Members {
		path := fmt.Sprintf("load.members[%d]", i)

		if err := (domain.Member{Name: m.Name, Weight: m.Weight}).Validate(); err != nil {
			return domain.InField(path, err)
		}

		if m.LoadPermille > permille {
			return invalid(path+".load_permille", "is %d; at most %d is allowed", m.LoadPermille, permille)
		}

		for _, o := range w.Load.Members[:i] {
			if o.Name == m.Name {
				return invalid(path+".name", "%q is listed twice", m.Name)
			}
		}

		share += m.LoadPermille
	}

	if share != permille {
		return invalid("load.members", "the values of load_permille add up to %d; must be %d", share, permille)
	}

	return nil
}

func (w *Workload) validateFaults() error {
	if len(w.Faults) > MaxFaults {
		return invalid("faults", "has %d entries; at most %d are allowed", len(w.Faults), MaxFaults)
	}

	for i, f := range w.Faults {
		if err := w.validateFault(f); err != nil {
			return domain.InField(fmt.Sprintf("faults[%d]", i), err)
		}
	}

	return nil
}

func (w *Workload) validateFault(f Fault) error {
	if f.AtMS >= w.DurationMS {
		return invalid("at_ms", "is %d; must be less than duration_ms (%d)", f.AtMS, w.DurationMS)
	}

	switch f.Kind {
	case RollingRestart, StoreOutage, StoreHang, StoreSlow, StoreAnswersLost, StoreStale:
		return nil
	case InstancesPartitioned, SilentPeerSessions:
		if !w.PeerLinks {
			return invalid("kind", "%q needs peer_links", f.Kind)
		}

		return nil
	case InstanceRestarted, InstanceKilled, InstancePaused:
		if int(f.Instance) >= len(w.Instances) {
			return invalid("instance", "is %d; there are %d instances", f.Instance, len(w.Instances))
		}

		return nil
	case IndexSwitch:
		if f.IndexVersion < 2 {
			return invalid("index_version", "is %d; must be at least 2, since 1 is held at the start", f.IndexVersion)
		}

		return w.validateFaultService(f)
	case PartitionMapSwitch, OperatorsRacing:
		return w.validateFaultService(f)
	case StragglingSearcher, SheddingSearcher:
		if !(f.SlowFactor >= 1 && f.SlowFactor <= maxSlowFactor) {
			return invalid("slow_factor", "is %g; must be 1 to %d", f.SlowFactor, maxSlowFactor)
		}
	case LostSearcher, SilentSearcher, SilentConnections, CorruptAnswers, CrossedAnswers, LateAnswers, DrainingSearcher, LostShard:
	default:
		return invalid("kind", "%q is not a known fault", f.Kind)
	}

	return w.validateFaultSearcher(f)
}

func (w *Workload) validateFaultService(f Fault) error {
	if _, ok := w.Service(f.Service); !ok {
		return invalid("service", "%q is not one of services", f.Service)
	}

	return nil
}

func (w *Workload) validateFaultSearcher(f Fault) error {
	s, ok := w.Service(f.Service)

	switch {
	case !ok:
		return invalid("service", "%q is not one of services", f.Service)
	case f.Shard >= s.Shards:
		return invalid("shard", "is %d; %s has %d shards", f.Shard, s.Name, s.Shards)
	case f.Searcher >= s.SearchersPerShard:
		return invalid("searcher", "is %d; each shard of %s has %d searchers", f.Searcher, s.Name, s.SearchersPerShard)
	}

	return nil
}
