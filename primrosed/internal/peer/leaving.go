package peer

import (
	"slices"

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
	m.mu.Lock()

	if l.listVersion <= m.leaving.listVersion {
		m.mu.Unlock()

		return
	}

	same := slices.Equal(l.searchers, m.leaving.searchers)
	m.leaving = l

	if same {
		m.mu.Unlock()

		return
	}

	targets := make([]*session, 0, len(m.sessions))
	for _, all := range m.sessions {
		targets = append(targets, all[len(all)-1])
	}
	m.mu.Unlock()

	if m.options.SetLeaving != nil {
		m.options.SetLeaving(l.searchers)
	}

	m.sendLeaving(targets)
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
