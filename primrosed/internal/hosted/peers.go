package hosted

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/hosting"
	"primrosespring.example/internal/http1"
	"primrosespring.example/internal/leaving"
	"primrosespring.example/internal/quarantine"
	"primrosespring.example/internal/quota"
	"primrosespring.example/internal/serving"
	"primrosespring.example/primrosed/internal/mux"
	"primrosespring.example/primrosed/internal/replica"
)

// newReplicaClient returns a client that knows the instances that the settings name.
func newReplicaClient(log zerolog.Logger, s hosting.Settings, b *budgets) *replica.Client {
	return replica.NewClient(log, s.Instance.PeerAddress, http1.DialTCP, b.frames, s.Peers)
}

// newPositions returns the exchange of positions in the collections that are followed.
func newPositions(log zerolog.Logger, s hosting.Settings, f *followers, q *quota.Table, k *serving.SignKeeper, b *budgets,
	era *follower.Era, c *replica.Client,
) *replica.Positions {
	p := &replica.Positions{
		Log: log, Self: s.Instance.ID, Dial: http1.DialTCP, Frames: b.frames, Era: era, Quota: q, OnLimits: k.LimitsLearned,
		Settlement: f.configuration.Settlement, Others: c.All,
		Interval: follower.AskInterval(min(f.configuration.Bound, f.registrations.Bound)),
		Followed: map[string]replica.Followed{
			replica.Configuration: &replica.Collection[*domain.RouteTable]{Follower: &f.configuration},
			replica.Registrations: &replica.Collection[domain.Registration]{Follower: &f.registrations},
		},
	}

	if f.evacuations.Bound > 0 {
		p.Followed[replica.Evacuations] = &replica.Collection[domain.Evacuation]{Follower: &f.evacuations}
	}

	return p
}

// suspects gives and takes what is known of requests that end searchers. It implements
// replica.Suspects.
type suspects struct{ *Instance }

// All implements replica.Suspects.
func (s suspects) All(now time.Time) []quarantine.Suspect { return s.parts.Quarantine.All(now) }

// Learn implements replica.Suspects.
func (s suspects) Learn(from string, list []quarantine.Suspect) bool {
	return s.parts.Engine.SuspectsLearned(from, list)
}

// Cleared implements replica.Suspects.
func (s suspects) Cleared(now time.Time) []quarantine.Suspect { return s.parts.Quarantine.Cleared(now) }

// LearnCleared implements replica.Suspects.
func (s suspects) LearnCleared(from string, list []quarantine.Suspect) bool {
	return s.parts.Engine.SuspectsCleared(from, list)
}

// newNotifier returns a notifier without suspects; newInstance sets them.
func newNotifier(log zerolog.Logger, s hosting.Settings, c *replica.Client, b *budgets) *replica.Notifier {
	return &replica.Notifier{Log: log, Self: s.Instance.ID, Address: s.Instance.PeerAddress, Peers: c.Instances, Send: replica.SendNotice(http1.DialTCP, b.frames)}
}

// leavingSigns gives and takes the signs of searchers that leave. It implements
// replica.LeavingSigns.
type leavingSigns struct{ *Instance }

// All implements replica.LeavingSigns.
func (s leavingSigns) All(now time.Time) []leaving.Sign { return s.parts.Signs.Leaving.All(now) }

// Learn implements replica.LeavingSigns.
func (s leavingSigns) Learn(from string, signs []leaving.Sign) {
	if s.parts.Signs.LeavingLearned(from, signs) {
		s.viewChanged()
	}
}

// collections returns what this instance serves to others. A revision is read before
// the items, which may be newer: applying a change twice does no harm.
func (i *Instance) collections() map[string]replica.ReadFunc {
	return map[string]replica.ReadFunc{
		replica.Configuration: func() (any, follower.Revision) {
			at := i.parts.Followers.configuration.Revision()

			return i.parts.Directory.Configurations(), at
		},
		replica.Registrations: func() (any, follower.Revision) {
			at := i.parts.Followers.registrations.Revision()

			list, settled := i.parts.Directory.Registrations()
			if !settled {
				return nil, follower.Revision{}
			}

			return list, at
		},
		replica.Evacuations: func() (any, follower.Revision) {
			at := i.parts.Followers.evacuations.Revision()

			return i.parts.Directory.Evacuations(), at
		},
		replica.Instances: func() (any, follower.Revision) {
			list := i.parts.Roster.Entries()
			if list == nil {
				return nil, follower.Revision{}
			}

			return list, follower.Revision{Number: 1} // Every list has it; see roster.Peers.
		},
	}
}

// evacuationKeeper gives and takes the evacuations that the store may have lost. It implements
// replica.EvacuationKeeper.
type evacuationKeeper struct{ *Instance }

// InForce implements replica.EvacuationKeeper.
func (k evacuationKeeper) InForce() (list []directory.EvacuationInForce, era uint64) {
	at := k.parts.Followers.evacuations.Revision()

	return k.parts.Directory.EvacuationsInForce(), at.Era
}

// Learn implements replica.EvacuationKeeper. The evacuations of an earlier era than the one that this instance
// has read are those of before the store's return.
func (k evacuationKeeper) Learn(list []directory.EvacuationInForce, era uint64) bool {
	at := k.parts.Followers.evacuations.Revision()
	if at.IsZero() {
		return false
	}

	if era < at.Era {
		for i := range list {
			list[i].Until = time.Now().Add(directory.EvacuationGrace)
		}
	}

	before := k.parts.Directory.Evacuations()

	if k.parts.Directory.LearnEvacuations(list) {
		s := evacuationSink(k)
		s.changed(before, nil)
		s.viewChanged()
		s.expireRetained()
	}

	return true
}

// servePeers serves the sessions of other instances until the listener is closed.
func (i *Instance) servePeers(ctx context.Context, s *mux.Server, l net.Listener) {
	if err := s.Serve(ctx, l); !errors.Is(err, net.ErrClosed) {
		i.log.Error().Str("event", "serve_failed").Str("address", l.Addr().String()).Err(err).Send()
	}
}

// servePeer serves one exchange with another instance.
func (i *Instance) servePeer(ctx context.Context, peer string, first *pb.PeerFrame, stream *yamux.Stream) {
	switch b := first.GetBody().(type) {
	case *pb.PeerFrame_HandoverOffer:
		i.parts.GathererServer.Handle(ctx, peer, b.HandoverOffer, stream)
	case *pb.PeerFrame_CopyRequest:
		i.replicaServer.Handle(peer, b.CopyRequest, stream)
	case *pb.PeerFrame_SuspectNotice:
		i.parts.Notifier.ServeNotice(peer, b.SuspectNotice, stream)
	case *pb.PeerFrame_PositionRequest:
		i.parts.Positions.Handle(peer, b.PositionRequest, stream)
	default:
		i.log.Warn().Str("event", "peer_frame_unexpected").Str("peer", peer).Str("type", fmt.Sprintf("%T", b)).Send()
	}
}
