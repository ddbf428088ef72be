package integrity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// Guards against an answer that can be altered without changing its checksum.
func TestChecksumCoversEveryField(t *testing.T) {
	base := &pb.RunResponse{
		QueryId: "q", Attempt: 1, Shard: 2, Result: "r",
		Snapshot: &pb.Snapshot{IndexVersion: 3, PartitionMapVersion: 4},
		Hits:     []*pb.Hit{{Id: "a", Score: 1, Body: "bc"}},
	}
	sum := RunChecksum(base)

	for name, change := range map[string]func(*pb.RunResponse){
		"query":    func(r *pb.RunResponse) { r.QueryId = "p" },
		"attempt":  func(r *pb.RunResponse) { r.Attempt++ },
		"shard":    func(r *pb.RunResponse) { r.Shard++ },
		"index":    func(r *pb.RunResponse) { r.Snapshot.IndexVersion++ },
		"map":      func(r *pb.RunResponse) { r.Snapshot.PartitionMapVersion++ },
		"hits":     func(r *pb.RunResponse) { r.Hits = nil },
		"score":    func(r *pb.RunResponse) { r.Hits[0].Score = 2 },
		"boundary": func(r *pb.RunResponse) { r.Hits[0].Id, r.Hits[0].Body = "ab", "c" },
		"result":   func(r *pb.RunResponse) { r.Result = "s" },
	} {
		r := proto.CloneOf(base)
		change(r)
		require.NotEqual(t, sum, RunChecksum(r), name)
	}

	require.NotEqual(t, RelayChecksum("a", []byte("bc")), RelayChecksum("ab", []byte("c")))
}
