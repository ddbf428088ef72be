package peer

import (
	"context"
	"slices"
	"time"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/platform"
)

// leavingSearchers are the searchers that a version of the platform's list marks
// as leaving.
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

// applyLeaving applies a list of leaving searchers and sends it to the connected
// peers. A list that isn't newer than the current one, as the platform may serve,
// is ignored, and one with the same searchers isn't sent on.
func (m *Mesh) applyLeaving(l leavingSearchers) {
	m.leavingMu.Lock()
	defer m.leavingMu.Unlock()

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

// sendLeaving sends the current list of leaving searchers on the given sessions.
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

// listLoop reads the platform's list while this instance has no session, as at
// the start, or is a watcher.
func (m *Mesh) listLoop(ctx context.Context) {
	if m.options.Lister == nil {
		return
	}

	for ctx.Err() == nil {
		m.mu.Lock()
		isolated := len(m.sessions) == 0
		m.mu.Unlock()

		if isolated || m.IsWatcher() {
			m.readList(ctx)
		}

		m.sleep(ctx, listInterval/2+m.options.Jitter(listInterval/2))
	}
}

func (m *Mesh) readList(ctx context.Context) {
	listCalls.Inc()

	m.mu.Lock()
	listed := m.listVersion
	m.mu.Unlock()

	list, err := m.options.Lister.Instances(ctx, listed)
	if err != nil {
		m.options.Log.Debug().Str("event", "instance_list_failed").Err(err).Send()

		return
	}

	if list.Version == 0 {
		return
	}

	m.applyLeaving(leavingOf(list))

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
	m.listVersion = list.Version
	m.mu.Unlock()

	m.perform(r)
}

// IsWatcher reports whether this instance watches the store.
func (m *Mesh) IsWatcher() bool {
	return m.options.Table.View().Live.IsWatcher(m.options.Table.Self().Instance.ID)
}
