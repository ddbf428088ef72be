package workload

// linksFile is the configuration file of the fault proxy.
type linksFile struct {
	ControlAddress string `json:"control_address"`
	Links          []link `json:"links"`
}

type link struct {
	Name     string  `json:"name"`
	Listen   string  `json:"listen"`
	Target   string  `json:"target"`
	DelayMS  float64 `json:"delay_ms"`
	JitterMS float64 `json:"jitter_ms"`
}

// dialAddress returns the address at which target is dialled: target itself, or a
// link of the fault proxy if the workload has delays.
func (g *generator) dialAddress(name, target string, delayUS uint32) string {
	if !g.workload.Delays.Any() {
		return target
	}

	return g.addLink(name, target, delayUS)
}

// PeerLink returns the name of the link to the peer address of an instance.
func PeerLink(instance string) string { return "peers-" + instance }

// addLink adds a link of the fault proxy and returns its address.
func (g *generator) addLink(name, target string, delayUS uint32) string {
	listen := g.newAddress()
	g.links.Links = append(g.links.Links, link{
		Name: name, Listen: listen, Target: target,
		DelayMS: float64(delayUS) / usPerMS, JitterMS: float64(g.workload.Delays.JitterUS) / usPerMS,
	})

	return listen
}
