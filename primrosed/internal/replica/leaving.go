package replica

import (
	"time"

	"github.com/juju/errors"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/leaving"
)

func encodeLeaving(signs []leaving.Sign) []*pb.LeavingSign {
	out := make([]*pb.LeavingSign, len(signs))

	for i := range signs {
		s := &signs[i]
		out[i] = &pb.LeavingSign{
			SearcherId: s.Searcher, Incarnation: s.Incarnation, HeardBy: s.HeardBy, AgeMs: uint64(s.Age.Milliseconds()),
		}
	}

	return out
}

func decodeLeaving(list []*pb.LeavingSign) ([]leaving.Sign, error) {
	if len(list) > leaving.MaxSigns {
		return nil, errors.Errorf("%d signs of leaving, at most %d are allowed", len(list), leaving.MaxSigns)
	}

	out := make([]leaving.Sign, len(list))

	for i, s := range list {
		// An age that overflows is as good as none.
		age := time.Duration(min(s.GetAgeMs(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
		out[i] = leaving.Sign{Searcher: s.GetSearcherId(), Incarnation: s.GetIncarnation(), HeardBy: s.GetHeardBy(), Age: age}

		if err := out[i].Validate(); err != nil {
			return nil, err
		}
	}

	return out, nil
}
