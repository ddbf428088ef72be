package replica

import (
	"encoding/json"
	"io"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosed/internal/frame"
)

// ReadFunc returns this instance's copy of a collection: a slice of items and the
// store's revision that they are at least as new as, or the zero revision if it has none.
type ReadFunc func() (items any, revision follower.Revision)

// Server serves copies to other instances.
type Server struct {
	Log zerolog.Logger
	// Collections are the collections served, by name.
	Collections map[string]ReadFunc
	// Client records the instances that ask; it may be nil.
	Client *Client
}

// Handle answers one request.
func (s *Server) Handle(peer string, r *pb.CopyRequest, stream io.Writer) {
	if s.Client != nil {
		s.Client.addRequester(r.GetPeerAddress())
	}

	a, err := s.answer(r)
	if err == nil {
		err = frame.Write(stream, &pb.PeerFrame{Body: &pb.PeerFrame_CopyAnswer{CopyAnswer: a}}, frame.MaxRelayBytes)
	}

	if err != nil {
		s.Log.Warn().Str("event", "copy_not_given").Str("collection", r.GetCollection()).Str("peer", peer).Err(err).Send()

		return
	}

	if a.GetRevision() > 0 {
		given.Inc()
		s.Log.Info().Str("event", "copy_given").Str("collection", r.GetCollection()).Str("peer", peer).
			EmbedObject(revisionOf(a)).Stringer("peer_revision", revisionOf(r)).Int("bytes", len(a.GetItems())).Send()
	}
}

// answer returns a newer copy, or an empty answer if this instance has none.
func (s *Server) answer(r *pb.CopyRequest) (*pb.CopyAnswer, error) {
	get, ok := s.Collections[r.GetCollection()]
	if !ok {
		return &pb.CopyAnswer{}, nil
	}

	items, revision := get()
	if !revision.After(revisionOf(r)) {
		return &pb.CopyAnswer{}, nil
	}

	data, err := json.Marshal(items)

	return &pb.CopyAnswer{Revision: revision.Number, Era: revision.Era, Items: data}, err
}
