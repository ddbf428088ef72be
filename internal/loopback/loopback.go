// Package loopback hands out free ports on the loopback address to tests and to
// runs on one machine.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
)

const (
	host    = "127.0.0.1"
	minPort = 10_000
	// minSpan is the least number of ports to choose from.
	minSpan = 3_000
	// defaultMaxPort is below the range from which Linux takes the ports of
	// outgoing connections, so that none of them takes the port of a process
	// that is being restarted.
	defaultMaxPort = 32_767
)

// Ports hands out free ports, each once. It isn't safe for concurrent use.
type Ports struct {
	next, last, remaining int
}

// NewPorts returns Ports that start at first, or at a random port if it is 0.
func NewPorts(first int) *Ports {
	last := defaultMaxPort

	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		var low int
		if _, err := fmt.Sscan(string(data), &low); err == nil && low > minPort+minSpan {
			last = low - 1
		}
	}

	span := last - minPort

	offset := rand.IntN(span)
	if first != 0 {
		offset = (max(first, minPort) - minPort) % span
	}

	return &Ports{next: minPort + offset, last: last, remaining: span}
}

// Address returns an IP address and port that nothing listens on.
func (p *Ports) Address() (string, error) {
	for ; p.remaining > 0; p.remaining-- {
		address := fmt.Sprintf("%s:%d", host, p.next)

		p.next++
		if p.next > p.last {
			p.next = minPort
		}

		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}

		_ = l.Close()
		p.remaining--

		return address, nil
	}

	return "", errors.New("no free port is left on " + host)
}
