package peer

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/membership"
)

// dialNeighbours dials the overlay neighbours that there is no session with.
func (m *Mesh) dialNeighbours(ctx context.Context, now time.Time) {
	for _, n := range m.options.Table.View().Neighbours {
		m.mu.Lock()
		connected := len(m.sessions[n.ID]) > 0
		m.mu.Unlock()

		if !connected {
			m.dialControl(ctx, now, n.ID, n.PeerAddress)
		}
	}
}

// dialSeed dials a random instance that isn't live, and returns the time until the
// next dial. Without any session it dials a few at once; if it dialled all, a fleet
// that starts together would open a session between every two instances.
func (m *Mesh) dialSeed(ctx context.Context) time.Duration {
	candidates := m.seedCandidates()

	m.mu.Lock()
	isolated := len(m.sessions) == 0
	m.mu.Unlock()

	dials, pause := 1, seedInterval/2+m.options.Jitter(seedInterval)
	if isolated {
		dials, pause = isolatedDials, m.options.Jitter(2*minBackoff)
	}

	for range min(dials, len(candidates)) {
		// Jitter's range includes its limit, here the last index.
		n := int(m.options.Jitter(time.Duration(len(candidates) - 1)))
		m.dialControl(ctx, time.Now(), candidates[n], candidates[n])
	}

	return pause
}

// seedCandidates returns the addresses of seeds, listed instances and dead ones
// that no alive, suspect or leaving instance has.
func (m *Mesh) seedCandidates() []string {
	var out []string

	self := m.options.Table.Self().Instance.PeerAddress
	excluded := map[string]bool{self: true}
	add := func(address string) {
		if address != "" && !excluded[address] && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}

	records := m.options.Table.Records()
	for _, r := range records {
		if r.State != membership.Dead {
			excluded[r.Instance.PeerAddress] = true
		}
	}

	for _, a := range m.options.Seeds {
		add(a)
	}

	m.mu.Lock()
	listed := m.seeds
	m.mu.Unlock()

	for _, in := range listed {
		add(in.PeerAddress)
	}

	for _, r := range records {
		if r.State == membership.Dead {
			add(r.Instance.PeerAddress)
		}
	}

	return out
}

// dialControl dials a control session in the background, unless a dial is under
// way or the backoff of the last one hasn't passed. key is the peer's id, or its
// address if no id is known.
func (m *Mesh) dialControl(ctx context.Context, now time.Time, key, address string) {
	m.mu.Lock()

	b := m.backoffs[key]
	if b == nil {
		b = &backoff{}
		m.backoffs[key] = b
	}

	if m.closed || b.dialling || now.Before(b.next) {
		m.mu.Unlock()

		return
	}

	b.dialling = true
	m.mu.Unlock()

	m.goRun(func() {
		s, err := m.dial(ctx, address, pb.SessionKind_SESSION_KIND_CONTROL)
		m.dialDone(key, err)

		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				m.perform(m.options.Table.Unreachable(time.Now(), key))
			}

			m.options.Log.Debug().Str("event", "dial_failed").Str("peer", key).Err(err).Send()

			return
		}

		m.runSession(ctx, s)
	})
}

// dialDone updates the backoff after a dial.
func (m *Mesh) dialDone(key string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	b := m.backoffs[key]
	b.dialling = false

	if err == nil {
		delete(m.backoffs, key)

		return
	}

	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	b.next = time.Now().Add(m.options.Jitter(b.wait))
}
