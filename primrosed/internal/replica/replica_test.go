package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/mux"
)

// network connects instances by pipes. Its maps are keyed by peer address.
type network struct {
	mu sync.Mutex // Guards the maps.
	// instances accept connections; a silent one reads and never answers.
	instances map[string]*mux.Server
	silent    map[string]bool
	dialled   map[string]int
}

func newNetwork(t *testing.T) *network {
	t.Helper()

	n := &network{instances: make(map[string]*mux.Server), silent: make(map[string]bool), dialled: make(map[string]int)}
	t.Cleanup(func() {
		for _, s := range n.instances {
			s.Close()
		}

		time.Sleep(mux.StreamCloseTimeout) // Half-closed streams have timers.
	})

	return n
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.dialled[address]++

	s, ok := n.instances[address]
	if !ok {
		return nil, errors.New("connection refused")
	}

	local, remote := net.Pipe()

	if n.silent[address] {
		go func() { _, _ = io.Copy(io.Discard, remote) }()
	} else {
		s.ServeConn(context.WithoutCancel(ctx), remote)
	}

	return local, nil
}

// add starts an instance that serves the collections, and returns its client.
func (n *network) add(address string, collections map[string]ReadFunc, seeds ...string) *Client {
	c := NewClient(zerolog.New(io.Discard), address, n.dial, nil, seeds)
	s := &Server{Log: zerolog.New(io.Discard), Collections: collections, Client: c}

	n.serve(address, func(_ context.Context, peer string, f *pb.PeerFrame, stream *yamux.Stream) {
		s.Handle(peer, f.GetCopyRequest(), stream)
	})

	return c
}

// serve has an address answered by handle.
func (n *network) serve(address string, handle mux.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.instances[address] = mux.NewServer(zerolog.Nop(), nil, handle)
}

// at returns a revision of a store that states no era.
func at(number uint64) follower.Revision { return follower.Revision{Number: number} }

func registrations(revision uint64, ids ...string) map[string]ReadFunc {
	list := make([]domain.Registration, len(ids))
	for i, id := range ids {
		list[i] = domain.Registration{ID: id, Pool: "p", Address: "127.0.0.1:7", Slots: 2, Started: 5, Sequence: 8, Draining: i > 0}
	}

	return map[string]ReadFunc{Registrations: func() (any, follower.Revision) { return list, at(revision) }}
}

// inBubble runs f in a synctest bubble. yamux keeps timers in a pool, which must not
// pass them from one bubble to another; two garbage collections empty it.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

const (
	first  = "127.0.0.1:1"
	second = "127.0.0.1:2"
	third  = "127.0.0.1:3"
	self   = "127.0.0.1:9"
)

// Guards against an older copy, of an instance that lost the store earlier, being
// preferred to a newer one, against waiting without end for an instance that doesn't
// answer, and against registrations that change on the way.
func TestNewestCopyWins(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		n := newNetwork(t)
		n.add(first, registrations(20, "a"))
		n.add(second, registrations(30, "b", "c"))
		n.add(third, registrations(40, "d"))
		n.silent[third] = true

		begin := time.Now()
		items, got := Peers[domain.Registration]{n.add(self, nil, first, second, third, self), Registrations}.Newer(t.Context(), at(10))
		require.LessOrEqual(t, time.Since(begin), fetchTimeout)
		require.Equal(t, at(30), got)
		require.Equal(t, []domain.Registration{
			{ID: "b", Pool: "p", Address: "127.0.0.1:7", Slots: 2, Started: 5, Sequence: 8},
			{ID: "c", Pool: "p", Address: "127.0.0.1:7", Slots: 2, Started: 5, Sequence: 8, Draining: true},
		}, items)
		require.Zero(t, n.dialled[self])
	})
}

// Guards against an instance that goes back to an older copy.
func TestOlderCopiesAreNotTaken(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		n := newNetwork(t)
		n.add(first, registrations(20, "a"))
		n.add(second, nil)

		peers := Peers[domain.Registration]{n.add(self, nil, first, second), Registrations}
		_, got := peers.Newer(t.Context(), at(20))
		require.Zero(t, got)

		_, got = peers.Newer(t.Context(), at(19))
		require.Equal(t, at(20), got)
	})
}

// Guards against a copy that is used although one of its items is invalid: the decoder
// checks what other instances send.
func TestBadCopiesAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		n := newNetwork(t)
		n.add(first, map[string]ReadFunc{Registrations: func() (any, follower.Revision) {
			return []domain.Registration{{ID: "a", Pool: "p", Address: "somewhere", Slots: 1}}, at(20)
		}})

		items, got := Peers[domain.Registration]{n.add(self, nil, first), Registrations}.Newer(t.Context(), at(0))
		require.Zero(t, got)
		require.Nil(t, items)
	})
}

// Guards against seed instances that are restarted together and never get a copy, since
// they know only each other: they must ask the instances that have asked them.
func TestRequestersAreAskedBack(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		n := newNetwork(t)
		seed := Peers[domain.Registration]{n.add(first, nil, first, second), Registrations}
		n.add(second, nil, first, second)

		_, got := seed.Newer(t.Context(), at(0))
		require.Zero(t, got)

		old := Peers[domain.Registration]{n.add(third, registrations(40, "d"), first), Registrations}
		_, got = old.Newer(t.Context(), at(40))
		require.Zero(t, got)

		_, got = seed.Newer(t.Context(), at(0))
		require.Equal(t, at(40), got)
	})
}

// Guards against a call to every instance of a large fleet for each copy.
func TestFewInstancesAreAsked(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		n := newNetwork(t)

		var all []string
		for _, a := range []string{first, second, third, "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"} {
			all = append(all, a)
			n.add(a, registrations(20, "a"))
		}

		c := n.add(self, nil)
		c.SetInstances(all)

		_, got := Peers[domain.Registration]{c, Registrations}.Newer(t.Context(), at(0))
		require.Equal(t, at(20), got)
		require.Len(t, n.dialled, maxFetches)
	})
}
