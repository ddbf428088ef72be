package coverage

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/integrity"
)

// Guards against an answer that is passed on though it belongs to another
// request or snapshot, or was damaged on the way.
func TestCheckRefusesForeignAndDamagedAnswers(t *testing.T) {
	snap := func() *pb.Snapshot { return &pb.Snapshot{IndexVersion: 7, PartitionMapVersion: 3} }
	request := &pb.RunRequest{QueryId: "q1", Attempt: 2, Shard: 4, Snapshot: snap()}
	answer := func() *pb.RunResponse {
		return &pb.RunResponse{
			QueryId: "q1", Attempt: 2, Shard: 4, Snapshot: snap(), Hits: []*pb.Hit{{Id: "h", Body: "text"}},
		}
	}

	good := answer()
	good.Checksum = integrity.RunChecksum(good)
	require.Nil(t, Check(request, good))

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
			a.Checksum = integrity.RunChecksum(a)
			err := Check(request, a)
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
			require.NotNil(t, Check(request, a))
		})
	}
}

// Guards against a partial answer that is let through below the rule's share
// because a count is rounded up, and an empty one that passes as an answer.
func TestAcceptsByTheRule(t *testing.T) {
	for _, c := range []struct {
		permille         uint32
		included, shards int
		want             bool
	}{
		{1000, 59, 59, true},
		{1000, 58, 59, false},
		{999, 58, 59, false},
		{900, 18, 20, true},
		{900, 17, 20, false},
		{901, 18, 20, false},
		{0, 1, 59, true},
		{0, 0, 59, false},
	} {
		rules := domain.Rules{MinCoveragePermille: c.permille}
		require.Equal(t, c.want, AcceptsCount(rules, c.included, c.shards), "%+v", c)

		cov := Coverage{Shards: uint32(c.shards), Included: make([]uint32, c.included)}
		require.Equal(t, c.want, Accepts(rules, cov), "%+v", c)
	}
}

// Guards against a share that claims more than was included.
func TestPermilleRoundsDown(t *testing.T) {
	require.EqualValues(t, 983, Coverage{Shards: 59, Included: make([]uint32, 58)}.Permille())
	require.Zero(t, Coverage{}.Permille())
}
