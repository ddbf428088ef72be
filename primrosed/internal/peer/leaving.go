package peer

import (
	"slices"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/platform"
)

// searcherRole marks a searcher on the platform's list.
const searcherRole = "searcher"

func leavingOf(list platform.InstanceList) *pb.LeavingSearchers {
	l := &pb.LeavingSearchers{ListVersion: list.Version}

	for _, i := range list.Instances {
		if i.Role == searcherRole && i.Leaving {
			l.Searchers = append(l.Searchers, i.ID)
		}
	}

	slices.Sort(l.GetSearchers())

	return l
}

// takeLeaving takes the searchers that the list calls leaving if the list is
// newer than the one known, and passes a change on to the other peers. from is
// nil for the list that this instance has read. A peer that knows an older list
// is sent the newer one.
func (m *Mesh) takeLeaving(from *session, l *pb.LeavingSearchers) {
	m.mu.Lock()

	have := m.leaving
	if l.GetListVersion() <= have.GetListVersion() {
		m.mu.Unlock()

		if from != nil && l.GetListVersion() < have.GetListVersion() {
			m.sendLeaving(from)
		}

		return
	}

	m.leaving = l
	changed := !slices.Equal(l.GetSearchers(), have.GetSearchers())

	var targets []*session

	for _, all := range m.sessions {
		if s := all[len(all)-1]; s != from {
			targets = append(targets, s)
		}
	}

	// The lock orders the calls, so that an older list doesn't come last.
	if changed && m.options.Leaving != nil {
		m.options.Leaving(l.GetSearchers())
	}
	m.mu.Unlock()

	if !changed {
		return
	}

	m.options.Log.Info().Str("event", "searchers_leaving").Strs("searchers", l.GetSearchers()).
		Uint64("list_version", l.GetListVersion()).Send()

	for _, s := range targets {
		m.sendLeaving(s)
	}
}

// sendLeaving sends what is known of leaving searchers to a peer.
func (m *Mesh) sendLeaving(s *session) {
	m.mu.Lock()
	l := m.leaving
	m.mu.Unlock()

	if l != nil {
		s.send(&pb.PeerFrame{Body: &pb.PeerFrame_Leaving{Leaving: l}})
	}
}
