// Package balancer is a fake of the platform's balancer: it distributes
// TCP connections over the backends that report that they are ready. It keeps
// established connections open, so a caller that reuses one stays at its
// backend.
package balancer

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	dialTimeout  = time.Second
)

// Backend is one instance behind the balancer.
type Backend struct {
	ID string `json:"id"`
	// Address accepts the connections.
	Address string `json:"address"`
	// HealthAddress serves /readyz.
	HealthAddress string `json:"health"`
}

// Validate returns an error if a field is missing.
func (b *Backend) Validate() error {
	if b.ID == "" || b.Address == "" || b.HealthAddress == "" {
		return errors.Errorf("backend %q: id, address and health must be given", b.ID)
	}

	return nil
}

// File lists the backends.
type File struct {
	Backends []Backend `json:"backends"`
}

// Status is one backend in the response to GET /fake/backends.
type Status struct {
	Backend
	Ready       bool `json:"ready"`
	Connections int  `json:"connections"`
	// Total counts all connections so far.
	Total int `json:"total"`
}

// Balancer distributes connections round-robin. It is safe for concurrent use.
type Balancer struct {
	isReady func(b Backend) bool
	dial    func(b Backend) (net.Conn, error)

	mu       sync.Mutex // Guards the fields below.
	backends []*backendState
	next     int
}

type backendState struct {
	Backend
	ready       bool
	connections int
	total       int
	removed     chan struct{} // Closed when the backend is removed.
}

// New returns a balancer without backends.
func New() *Balancer {
	client := &http.Client{Timeout: pollTimeout}

	return &Balancer{
		isReady: func(b Backend) bool { return checkReady(client, b.HealthAddress) },
		dial: func(b Backend) (net.Conn, error) {
			return net.DialTimeout("tcp", b.Address, dialTimeout)
		},
	}
}

// SetBackends replaces the list. A backend with unchanged fields keeps its state;
// the connections of a removed one stay open.
func (b *Balancer) SetBackends(list []Backend) error {
	seen := make(map[string]bool)

	for i := range list {
		if err := list[i].Validate(); err != nil {
			return err
		}

		if seen[list[i].ID] {
			return errors.Errorf("backend %q: id is used twice", list[i].ID)
		}

		seen[list[i].ID] = true
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	old := make(map[Backend]*backendState, len(b.backends))
	for _, s := range b.backends {
		old[s.Backend] = s
	}

	b.backends = make([]*backendState, 0, len(list))

	for _, v := range list {
		s := old[v]
		delete(old, v)

		if s == nil {
			s = &backendState{Backend: v, removed: make(chan struct{})}

			go b.poll(s)
		}

		b.backends = append(b.backends, s)
	}

	for _, s := range old {
		close(s.removed)
	}

	return nil
}

// Serve distributes the connections that l accepts until it is closed.
func (b *Balancer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}

		if err != nil {
			return err
		}

		go b.serve(c)
	}
}

// Statuses lists the backends.
func (b *Balancer) Statuses() []Status {
	b.mu.Lock()
	defer b.mu.Unlock()

	list := make([]Status, 0, len(b.backends))
	for _, s := range b.backends {
		list = append(list, Status{s.Backend, s.ready, s.connections, s.total})
	}

	return list
}

// serve relays a caller's connection to the next ready backend that accepts it.
func (b *Balancer) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()

	for range len(b.Statuses()) {
		s := b.acquire()
		if s == nil {
			return
		}

		backend, err := b.dial(s.Backend)
		if err != nil {
			b.release(s, false)

			continue
		}

		relay(caller, backend)
		b.release(s, true)

		return
	}
}

// acquire returns the next ready backend and counts a connection to it, or
// returns nil if none is ready.
func (b *Balancer) acquire() *backendState {
	b.mu.Lock()
	defer b.mu.Unlock()

	for range b.backends {
		s := b.backends[b.next%len(b.backends)]
		b.next++

		if s.ready {
			s.connections++
			s.total++

			return s
		}
	}

	return nil
}

// release ends the count of a connection. A backend that couldn't be dialled
// counts as not ready until the next poll.
func (b *Balancer) release(s *backendState, connected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s.connections--

	if !connected {
		s.total--
		s.ready = false
	}
}

// poll checks whether a backend is ready until it is removed.
func (b *Balancer) poll(s *backendState) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()

	for {
		ready := b.isReady(s.Backend)

		b.mu.Lock()
		s.ready = ready
		b.mu.Unlock()

		select {
		case <-t.C:
		case <-s.removed:
			return
		}
	}
}

func checkReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()

	_, _ = io.Copy(io.Discard, resp.Body)

	return resp.StatusCode == http.StatusOK
}

// relay copies between both connections until both directions have ended.
func relay(caller, backend net.Conn) {
	defer func() { _ = backend.Close() }()

	var wg sync.WaitGroup

	wg.Go(func() { copyDirection(backend, caller) })
	wg.Go(func() { copyDirection(caller, backend) })
	wg.Wait()
}

// copyDirection copies one direction and then closes the write side of to. If
// either isn't possible, it closes both connections, since the other direction
// would block forever.
func copyDirection(to, from net.Conn) {
	_, err := io.Copy(to, from)

	if halfCloser, ok := to.(interface{ CloseWrite() error }); ok && err == nil {
		_ = halfCloser.CloseWrite()

		return
	}

	_ = to.Close()
	_ = from.Close()
}
