package workload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
)

const (
	loopback = "127.0.0.1"
	minPort  = 10_000
	// defaultMaxPort is below the range from which Linux takes the ports of
	// outgoing connections, so that none of them takes the port of a process
	// that is being restarted.
	defaultMaxPort = 32_767
)

// ports hands out free ports on the loopback address, each once.
type ports struct {
	next, last, left int
}

// newPorts starts at the port first, or at any if it is 0.
func newPorts(first int) *ports {
	last := defaultMaxPort

	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		var low int
		if _, err := fmt.Sscan(string(data), &low); err == nil && low > minPort+MaxSearchers {
			last = low - 1
		}
	}

	span := last - minPort

	offset := rand.IntN(span)
	if first != 0 {
		offset = (max(first, minPort) - minPort) % span
	}

	return &ports{next: minPort + offset, last: last, left: span}
}

// address returns an address that nothing listens on.
func (p *ports) address() (string, error) {
	for ; p.left > 0; p.left-- {
		address := fmt.Sprintf("%s:%d", loopback, p.next)

		p.next++
		if p.next > p.last {
			p.next = minPort
		}

		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}

		_ = l.Close()
		p.left--

		return address, nil
	}

	return "", errors.New("no free port is left on " + loopback)
}
