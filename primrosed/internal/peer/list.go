package peer

import (
	"context"
	"slices"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/platform"
)

// leavingSearchers are the searchers that one version of the platform's list
// calls leaving.
type leavingSearchers struct {
	listVersion uint64
	searchers   []string
}

func leavingOf(l platform.List) leavingSearchers {
	out := leavingSearchers{listVersion: l.Version}

	for _, i := range l.Instances {
		if i.Role == "searcher" && i.Leaving {
			out.searchers = append(out.searchers, i.ID)
		}
	}

	return out
}

// takeLeaving acts on a newer list than the one known and passes it on. A list
// that the platform serves late doesn't replace a newer one, and one that says
// the same isn't passed on.
func (m *Mesh) takeLeaving(l leavingSearchers) {
	m.applying.Lock()
	defer m.applying.Unlock()

	m.mu.Lock()

	if l.listVersion <= m.leaving.listVersion {
		m.mu.Unlock()

		return
	}

	same := slices.Equal(l.searchers, m.leaving.searchers)
	m.leaving = l

	m.mu.Unlock()

	if same {
		return
	}

	if m.options.SetLeaving != nil {
		m.options.SetLeaving(l.searchers)
	}

	m.sendLeaving(m.controlSessions())
}

// sendLeaving sends what is known to the given sessions.
func (m *Mesh) sendLeaving(to []*session) {
	m.mu.Lock()
	l := m.leaving
	m.mu.Unlock()

	if l.listVersion == 0 {
		return
	}

	f := &pb.PeerFrame{Body: &pb.PeerFrame_LeavingSearchers{LeavingSearchers: &pb.LeavingSearchers{
		ListVersion: l.listVersion, Searchers: l.searchers,
	}}}

	for _, s := range to {
		s.send(f)
	}
}

// listLoop reads the platform's list: at the start, while this instance has no
// session, and as a watcher.
func (m *Mesh) listLoop(ctx context.Context) {
	if m.options.Lister == nil {
		return
	}

	for ctx.Err() == nil {
		m.mu.Lock()
		lonely := len(m.sessions) == 0
		m.mu.Unlock()

		if lonely || m.IsWatcher() {
			m.readList(ctx)
		}

		m.pause(ctx, listInterval/2+m.options.Jitter(listInterval/2))
	}
}

func (m *Mesh) readList(ctx context.Context) {
	listCalls.Inc()

	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()

	list, err := m.options.Lister.Instances(ctx, listed)
	if err != nil {
		m.options.Log.Debug().Str("event", "instance_list_failed").Err(err).Send()

		return
	}

	if list.Version == 0 {
		return
	}

	m.takeLeaving(leavingOf(list))

	leaving := make(map[string]bool)

	var entries []domain.Instance

	for _, l := range list.Instances {
		in := domain.Instance{ID: l.ID, PeerAddress: l.Address, FailureDomain: l.FailureDomain, Region: l.Region}
		if l.Role != "entry" || in.Validate() != nil {
			continue
		}

		entries = append(entries, in)
		if l.Leaving {
			leaving[l.ID] = true
		}
	}

	r, seeds := m.options.Table.HandleList(time.Now(), entries, leaving)

	m.mu.Lock()
	m.seeds = seeds
	m.listed = list.Version
	m.mu.Unlock()

	m.perform(r)
}

// IsWatcher reports whether this instance watches the store.
func (m *Mesh) IsWatcher() bool {
	return m.options.Table.View().Live.IsWatcher(m.options.Table.Self().Instance.ID)
}
