package workload

import (
	"fmt"

	"primrosespring.example/internal/domain"
)

// FleetOptions describes a fleet whose control overhead is measured without
// load.
type FleetOptions struct {
	Instances      int
	FailureDomains int
	Regions        int
	Services       int
	// Shards is the number of shards of each service.
	Shards uint32
	// Connections is the connection limit of each searcher.
	Connections uint32
}

// Fleet returns a workload with that fleet and a load of one query a second.
func Fleet(o FleetOptions) (*Workload, error) {
	for _, c := range []struct {
		field      string
		value, max int
	}{
		{"instances", o.Instances, MaxInstances},
		{"failure_domains", o.FailureDomains, o.Instances},
		{"regions", o.Regions, o.FailureDomains},
		{"services", o.Services, MaxSearchers},
	} {
		if c.value < 1 || c.value > c.max {
			return nil, invalid(c.field, "is %d; must be 1 to %d", c.value, c.max)
		}
	}

	w := &Workload{
		Name: fmt.Sprintf("fleet-%d", o.Instances), Seed: 1, DurationMS: benchDurationMS, Region: "fleet",
		Load: Load{
			QueriesPerSecond: 1, TimeoutMS: 1000, Connections: 1,
			Members: []Member{{Name: "member-0", Weight: 1, LoadPermille: domain.Permille}},
		},
	}

	for i := range o.FailureDomains {
		w.FailureDomains = append(w.FailureDomains, fmt.Sprintf("domain-%d", i))
	}

	for i := range o.Instances {
		d := i % o.FailureDomains
		w.Instances = append(w.Instances, Instance{
			ID: fmt.Sprintf("entry-%d", i), FailureDomain: w.FailureDomains[d], Region: fmt.Sprintf("region-%d", d%o.Regions),
		})
	}

	for i := range o.Services {
		s := Service{
			Name: fmt.Sprintf("service-%d", i), Shards: o.Shards, SearchersPerShard: 2, Slots: 4, Connections: o.Connections,
			MedianUS: 5000, Sigma: 0.5, StragglerFactor: 1, Rules: rules(false, domain.Permille),
		}
		w.Services = append(w.Services, s)
		w.Load.Mix = append(w.Load.Mix, Part{Service: s.Name, Weight: 1})
	}

	return w, nil
}
