package integrity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Guards against passing on an answer that belongs to another request or snapshot, or
// was corrupted in transit.
func TestCheckAnswerRefusesMismatchedAndCorruptAnswers(t *testing.T) {
	snap := func() *pb.Snapshot { return &pb.Snapshot{IndexVersion: 7, PartitionMapVersion: 3} }
	request := &pb.RunRequest{QueryId: "q1", Attempt: 2, Shard: 4, Snapshot: snap()}
	answer := func() *pb.RunResponse {
		return &pb.RunResponse{
			QueryId: "q1", Attempt: 2, Shard: 4, Snapshot: snap(), Hits: []*pb.Hit{{Id: "h", Body: "text"}},
		}
	}

	good := answer()
	good.Checksum = RunChecksum(good)
	require.Nil(t, CheckAnswer(request, good))

	for name, change := range map[string]func(a *pb.RunResponse){
		"query":         func(a *pb.RunResponse) { a.QueryId = "q2" },
		"attempt":       func(a *pb.RunResponse) { a.Attempt = 1 },
		"shard":         func(a *pb.RunResponse) { a.Shard = 5 },
		"index":         func(a *pb.RunResponse) { a.Snapshot.IndexVersion = 8 },
		"partition map": func(a *pb.RunResponse) { a.Snapshot.PartitionMapVersion = 4 },
		"no snapshot":   func(a *pb.RunResponse) { a.Snapshot = nil },
	} {
		t.Run(name, func(t *testing.T) {
			a := answer()
			change(a)
			a.Checksum = RunChecksum(a)
			err := CheckAnswer(request, a)
			require.NotNil(t, err)
			require.Equal(t, domain.CodeCorrupt, err.Code)
			require.Equal(t, domain.FateUnknown, err.Fate, "the searcher may have run the request")
		})
	}

	for name, change := range map[string]func(a *pb.RunResponse){
		"hit changed": func(a *pb.RunResponse) { a.Hits[0].Body = "texs" },
		"hit lost":    func(a *pb.RunResponse) { a.Hits = nil },
		"checksum":    func(a *pb.RunResponse) { a.Checksum++ },
	} {
		t.Run(name, func(t *testing.T) {
			a := proto.CloneOf(good)
			change(a)
			require.NotNil(t, CheckAnswer(request, a))
		})
	}
}
