package workload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/loopback"
)

const (
	filePermission      = 0o600
	directoryPermission = 0o750
	usPerMS             = 1000.0
)

// Generate writes the files of every process of a run to dir: the settings of
// each instance, the searchers, the links of the fault proxy, the
// configuration to create, and the topology. It chooses free ports, beginning
// with firstPort, or any if that is 0.
func Generate(w *Workload, dir string, firstPort int) (*Topology, error) {
	if err := os.MkdirAll(dir, directoryPermission); err != nil {
		return nil, errors.Annotate(err, "make directory")
	}

	g := &generator{workload: w, dir: dir, ports: loopback.NewPorts(firstPort)}
	g.generate()

	if g.err != nil {
		return nil, g.err
	}

	return &g.topology, g.topology.groupSearchers(w)
}

// generator builds the files. After an error it does nothing more.
type generator struct {
	workload *Workload
	dir      string
	ports    *loopback.Ports
	topology Topology
	links    linksFile
	err      error
}

// searchersFile is the configuration file of "primrosefake searchers".
type searchersFile struct {
	ControlAddress string          `json:"control_address"`
	Searchers      []searcherEntry `json:"searchers"`
}

type searcherEntry struct {
	ID              string  `json:"id"`
	Address         string  `json:"address"`
	Service         string  `json:"service"`
	Shard           uint32  `json:"shard"`
	Slots           uint32  `json:"slots"`
	MedianMS        float64 `json:"median_ms"`
	Sigma           float64 `json:"sigma"`
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	ConnectionLimit uint32  `json:"connection_limit"`
	SetUpMS         float64 `json:"setup_ms"`
	Seed            uint64  `json:"seed"`
}

// instanceSettings holds the settings of an instance.
type instanceSettings struct {
	ID              string `json:"id"`
	FailureDomain   string `json:"failure_domain"`
	Region          string `json:"region"`
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// PeerListenAddress is set if PeerAddress is that of a link.
	PeerListenAddress string       `json:"peer_listen_address,omitempty"`
	HealthAddress     string       `json:"health_address"`
	DebugAddress      string       `json:"debug_address"`
	PlatformAddress   string       `json:"platform_address"`
	Stop              stopSettings `json:"stop"`
}

type stopSettings struct {
	BalancerDelayMS uint32 `json:"balancer_delay_ms"`
}

// balancerDelayMS is enough for the health checks of the fake balancer,
// which run every 200 ms with a timeout of 500 ms.
const balancerDelayMS = 1000

// Configuration is the content of ConfigurationFile: what Apply creates, and the
// instances that Register registers.
type Configuration struct {
	Services  []domain.Service  `json:"services"`
	Members   []domain.Member   `json:"members"`
	Instances []domain.Instance `json:"instances"`
}

func (g *generator) generate() {
	t := &g.topology
	t.Platform, t.FaultProxy, t.SearcherControl = g.newAddress(), g.newAddress(), g.newAddress()

	t.BalancerListen, t.BalancerControl = g.newAddress(), g.newAddress()
	t.Balancer = g.dialAddress("callers-balancer", t.BalancerListen, g.workload.Delays.ToClientsUS)

	configuration := Configuration{Services: g.services()}
	for _, m := range g.workload.Load.Members {
		configuration.Members = append(configuration.Members, domain.Member{Name: m.Name, Weight: m.Weight})
	}

	for _, in := range g.workload.Instances {
		configuration.Instances = append(configuration.Instances, g.addInstance(in))
	}

	g.writeBackends()
	g.writeJSON(ConfigurationFile, configuration)
	g.writeJSON(WorkloadFile, g.workload)
	g.writeJSON(TopologyFile, t)
	g.links.ControlAddress = t.FaultProxy
	g.writeJSON(LinksFile, g.links)
}

// services chooses the searchers' addresses, writes the searchers file and
// returns the services to create.
func (g *generator) services() []domain.Service {
	file := searchersFile{ControlAddress: g.topology.SearcherControl}

	var out []domain.Service

	for _, s := range g.workload.Services {
		svc := domain.Service{Name: s.Name, Rules: s.Rules, PartitionMap: domain.PartitionMap{Version: 1}}

		for shard := range s.Shards {
			sh := domain.Shard{Number: shard}

			for i := range s.SearchersPerShard {
				a := g.searcher(s, shard, i)
				g.topology.Searchers = append(g.topology.Searchers, a)
				file.Searchers = append(file.Searchers, newSearcherEntry(s, a, g.workload.Seed))
				sh.Searchers = append(sh.Searchers, domain.Searcher{
					ID: a.ID, Address: a.Address, FailureDomain: g.failureDomain(shard + i), Slots: s.Slots, Connections: s.Connections,
				})
			}

			svc.PartitionMap.Shards = append(svc.PartitionMap.Shards, sh)
		}

		out = append(out, svc)
	}

	g.writeJSON(SearchersFile, file)

	return out
}

func (g *generator) searcher(s Service, shard, i uint32) SearcherAddress {
	id, listen := SearcherID(s.Name, shard, i), g.newAddress()

	return SearcherAddress{
		ID: id, Service: s.Name, Shard: shard, Listen: listen, Address: g.dialAddress(id, listen, g.meanDelay()),
	}
}

func newSearcherEntry(s Service, a SearcherAddress, seed uint64) searcherEntry {
	return searcherEntry{
		ID: a.ID, Address: a.Listen, Service: a.Service, Shard: a.Shard, Slots: s.Slots,
		MedianMS: float64(s.MedianUS) / usPerMS, Sigma: s.Sigma,
		StragglerShare: float64(s.StragglerPermille) / permille, StragglerFactor: s.StragglerFactor,
		ConnectionLimit: s.Connections, SetUpMS: float64(s.SetUpUS) / usPerMS, Seed: seed,
	}
}

// addInstance writes the settings of an instance and returns its registration.
func (g *generator) addInstance(in Instance) domain.Instance {
	f := instanceSettings{
		ID: in.ID, FailureDomain: in.FailureDomain, Region: g.region(in),
		CallerAddress: g.newAddress(), OperatorAddress: g.newAddress(), PeerAddress: g.newAddress(), HealthAddress: g.newAddress(),
		DebugAddress: g.newAddress(), PlatformAddress: g.topology.Platform, Stop: stopSettings{BalancerDelayMS: balancerDelayMS},
	}
	if g.workload.PeerLinks {
		f.PeerListenAddress = f.PeerAddress
		f.PeerAddress = g.addLink(PeerLink(in.ID), f.PeerListenAddress, g.workload.Delays.BetweenFailureDomainsUS)
	}

	g.topology.Instances = append(g.topology.Instances, InstanceAddress{
		ID: in.ID, Caller: f.CallerAddress, Operator: f.OperatorAddress, Health: f.HealthAddress, Debug: f.DebugAddress,
	})
	g.writeJSON(in.ID+".json", f)

	return domain.Instance{ID: in.ID, PeerAddress: f.PeerAddress, FailureDomain: in.FailureDomain, Region: g.region(in)}
}

// meanDelay returns the one-way delay of the links to a searcher, in
// microseconds. All instances dial a searcher by one address, so the link has
// the mean over the failure domains that they may be in.
func (g *generator) meanDelay() uint32 {
	n := uint32(len(g.workload.FailureDomains))

	return g.workload.Delays.BetweenFailureDomainsUS * (n - 1) / n
}

func (g *generator) failureDomain(i uint32) string {
	return g.workload.FailureDomains[int(i)%len(g.workload.FailureDomains)]
}

func (g *generator) newAddress() string {
	if g.err != nil {
		return ""
	}

	var a string

	a, g.err = g.ports.Address()

	return a
}

func (g *generator) writeJSON(name string, v any) {
	if g.err != nil {
		return
	}

	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		g.err = errors.Annotatef(err, "encode %s", name)

		return
	}

	g.write(name, append(data, '\n'))
}

func (g *generator) write(name string, data []byte) {
	if g.err != nil {
		return
	}

	if err := os.WriteFile(filepath.Join(g.dir, name), data, filePermission); err != nil {
		g.err = errors.Annotatef(err, "write %s", name)
	}
}

// backendsFile is the configuration file of the balancer.
type backendsFile struct {
	Backends []backend `json:"backends"`
}

type backend struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Health  string `json:"health"`
}

// writeBackends writes the instances for the balancer and, as plain text with
// one line for each, for the script that starts the processes.
func (g *generator) writeBackends() {
	var (
		file  backendsFile
		lines strings.Builder
	)

	for _, i := range g.topology.Instances {
		file.Backends = append(file.Backends, backend{ID: i.ID, Address: i.Caller, Health: i.Health})

		fmt.Fprintf(&lines, "%s %s\n", i.ID, i.Health)
	}

	g.write(InstancesFile, []byte(lines.String()))
	g.writeJSON(BackendsFile, file)
}

func (g *generator) region(in Instance) string { return cmp.Or(in.Region, g.workload.Region) }
