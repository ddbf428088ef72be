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

// dialSeed tries one instance that isn't live, and returns the time until the
// next try. Without any session a few are tried at once; not all, or a fleet
// that starts together would open a session between every two.
func (m *Mesh) dialSeed(ctx context.Context) time.Duration {
	candidates := m.seedCandidates()

	m.mu.Lock()
	isolated := len(m.sessions) == 0
	m.mu.Unlock()

	tries, pause := 1, seedInterval/2+m.options.Jitter(seedInterval)
	if isolated {
		tries, pause = isolatedDials, m.options.Jitter(2*minBackoff)
	}

	for range min(tries, len(candidates)) {
		n := int(m.options.Jitter(time.Duration(len(candidates) - 1)))
		m.dialControl(ctx, time.Now(), candidates[n], candidates[n])
	}

	return pause
}

// seedCandidates returns the addresses of instances that are known of and
// aren't live.
func (m *Mesh) seedCandidates() []string {
	var out []string

	self := m.options.Table.Self().Instance.PeerAddress
	live := map[string]bool{self: true}
	add := func(address string) {
		if address != "" && !live[address] && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}

	records := m.options.Table.Records()
	for _, r := range records {
		if r.State != membership.Dead {
			live[r.Instance.PeerAddress] = true
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

// dialControl opens a control session in the background, unless one is being
// opened or the last try was a moment ago.
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
