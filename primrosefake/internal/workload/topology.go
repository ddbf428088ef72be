package workload

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

// Names of the files that Generate writes.
const (
	WorkloadFile      = "workload.json"
	TopologyFile      = "topology.json"
	ConfigurationFile = "configuration.json"
	SearchersFile     = "searchers.json"
	LinksFile         = "links.json"
	InstancesFile     = "instances.txt"
	BackendsFile      = "backends.json"
)

// Topology holds the addresses of the processes of a run.
type Topology struct {
	Platform string `json:"platform"`
	// Balancer is the address of the balancer as callers dial it.
	Balancer string `json:"balancer"`
	// BalancerListen is the address that the balancer itself listens on,
	// BalancerControl that of its control API.
	BalancerListen  string `json:"balancer_listen"`
	BalancerControl string `json:"balancer_control"`
	// FaultProxy is the control address of the fault proxy.
	FaultProxy string `json:"fault_proxy"`
	// SearcherControl is the control address of the searchers' process.
	SearcherControl string            `json:"searcher_control"`
	Instances       []InstanceAddress `json:"instances"`
	Searchers       []SearcherAddress `json:"searchers"`
	// Services is Searchers grouped by service and shard.
	Services []ServiceAddresses `json:"-"`
}

// InstanceAddress holds the addresses of an instance.
type InstanceAddress struct {
	ID string `json:"id"`
	// Caller is the address that callers dial.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Health   string `json:"health"`
	Debug    string `json:"debug"`
}

// SearcherAddress holds the addresses of a searcher.
type SearcherAddress struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	// Address is that of the configuration, through the fault proxy if the
	// workload has delays.
	Address string `json:"address"`
	// Listen is the address that the searcher itself listens on.
	Listen string `json:"listen"`
}

// ServiceAddresses lists the searchers of each shard of a service.
type ServiceAddresses struct {
	Name   string
	Shards [][]SearcherAddress
}

// OpenTopology reads the topology and the workload that Generate wrote to dir.
func OpenTopology(dir string) (*Topology, *Workload, error) {
	data, err := os.ReadFile(filepath.Join(dir, TopologyFile))
	if err != nil {
		return nil, nil, errors.Annotate(err, "open topology")
	}

	var t Topology
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, nil, errors.Annotate(err, "decode topology")
	}

	w, err := Open(filepath.Join(dir, WorkloadFile))
	if err != nil {
		return nil, nil, err
	}

	if err := t.groupSearchers(w); err != nil {
		return nil, nil, err
	}

	return &t, w, nil
}

// Service returns the searchers of a service, or nil if there is none of that
// name.
func (t *Topology) Service(name string) *ServiceAddresses {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}

	return nil
}

// groupSearchers sets Services from Searchers. It returns an error if a searcher
// is of no shard of w or has an invalid address.
func (t *Topology) groupSearchers(w *Workload) error {
	t.Services = nil

	for _, s := range w.Services {
		t.Services = append(t.Services, ServiceAddresses{Name: s.Name, Shards: make([][]SearcherAddress, s.Shards)})
	}

	for i, sr := range t.Searchers {
		path := fmt.Sprintf("searchers[%d]", i)

		s := t.Service(sr.Service)
		if s == nil || int(sr.Shard) >= len(s.Shards) {
			return invalid(path, "shard %d of %q is not in the workload", sr.Shard, sr.Service)
		}

		if err := domain.CheckAddress(path+".address", sr.Address); err != nil {
			return err
		}

		s.Shards[sr.Shard] = append(s.Shards[sr.Shard], sr)
	}

	return nil
}
