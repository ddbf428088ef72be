package load

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

const testShards = 4

var testWant = expectation{requestID: "r-1", service: "portal", query: "query of r-1", shards: testShards}

// correctAnswer includes every shard but those that are missing.
func correctAnswer(missing map[uint32]bool) *pb.SearchResponse {
	resp := &pb.SearchResponse{
		RequestId: "r-1", Snapshot: &pb.Snapshot{IndexVersion: 7, PartitionMapVersion: 3},
		Coverage: &pb.Coverage{Shards: testShards},
	}

	for shard := range uint32(testShards) {
		if missing[shard] {
			resp.Coverage.Missing = append(resp.Coverage.Missing, &pb.MissingShard{Shard: shard, Reason: "deadline"})

			continue
		}

		resp.Coverage.Included = append(resp.Coverage.Included, shard)
		resp.Results = append(resp.Results, &pb.ShardResult{Shard: shard, Hits: []*pb.Hit{
			{Id: fmt.Sprintf("portal/%d@3.7", shard), Body: "query of r-1"},
		}})
	}

	return resp
}

// Guards against a correct answer, whole or partial, that is reported as wrong.
func TestCheckAcceptsCorrectAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		missing := rapid.MapOf(rapid.Uint32Max(testShards-1), rapid.Just(true)).Draw(t, "missing")
		require.Empty(t, check(testWant, correctAnswer(missing)))
	})
}

// Guards against a kind of wrong answer that the load command doesn't detect.
func TestCheckFindsWrongAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   finding
		mutate func(*pb.SearchResponse)
	}{
		{"another request id", crossed, func(r *pb.SearchResponse) { r.RequestId = "r-2" }},
		{"a hit for another query", crossed, func(r *pb.SearchResponse) { r.Results[2].Hits[0].Body = "query of r-2" }},
		{"a hit of another service", crossed, func(r *pb.SearchResponse) { r.Results[2].Hits[0].Id = "dues/2@3.7" }},
		{"a hit of another index version", mixedSnapshot, func(r *pb.SearchResponse) { r.Results[1].Hits[0].Id = "portal/1@3.8" }},
		{"a hit of another partition map", mixedSnapshot, func(r *pb.SearchResponse) { r.Results[1].Hits[0].Id = "portal/1@4.7" }},
		{"a hit without a version", mixedSnapshot, func(r *pb.SearchResponse) { r.Results[1].Hits[0].Id = "portal/1" }},
		{"no snapshot", mixedSnapshot, func(r *pb.SearchResponse) { r.Snapshot = nil }},
		{"a hit of another shard", falseCoverage, func(r *pb.SearchResponse) { r.Results[1].Hits[0].Id = "portal/2@3.7" }},
		{"an included shard without a result", falseCoverage, func(r *pb.SearchResponse) { r.Results = r.Results[:3] }},
		{"a result without hits", falseCoverage, func(r *pb.SearchResponse) { r.Results[0].Hits = nil }},
		{"two results for a shard", falseCoverage, func(r *pb.SearchResponse) { r.Results = append(r.Results, r.Results[0]) }},
		{"a result for a missing shard", falseCoverage, func(r *pb.SearchResponse) {
			r.Coverage.Included = r.Coverage.Included[:3]
			r.Coverage.Missing = []*pb.MissingShard{{Shard: 3, Reason: "deadline"}}
		}},
		{"a shard that isn't stated", falseCoverage, func(r *pb.SearchResponse) {
			r.Coverage.Included = r.Coverage.Included[:3]
			r.Results = r.Results[:3]
		}},
		{"a shard that is included and missing", falseCoverage, func(r *pb.SearchResponse) {
			r.Coverage.Missing = []*pb.MissingShard{{Shard: 3, Reason: "deadline"}}
		}},
		{"a shard that is included twice", falseCoverage, func(r *pb.SearchResponse) { r.Coverage.Included[3] = 2 }},
		{"a shard that doesn't exist", falseCoverage, func(r *pb.SearchResponse) {
			r.Coverage.Missing = []*pb.MissingShard{{Shard: testShards, Reason: "deadline"}}
		}},
		{"fewer shards than the service has", falseCoverage, func(r *pb.SearchResponse) { r.Coverage.Shards = 3 }},
		{"a missing shard without a reason", falseCoverage, func(r *pb.SearchResponse) {
			r.Coverage.Included = r.Coverage.Included[:3]
			r.Results = r.Results[:3]
			r.Coverage.Missing = []*pb.MissingShard{{Shard: 3}}
		}},
		{"no coverage", falseCoverage, func(r *pb.SearchResponse) { r.Coverage = nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := correctAnswer(nil)
			c.mutate(resp)

			found := make(map[finding]bool)
			for _, p := range check(testWant, resp) {
				found[p.finding] = true
			}

			require.Equal(t, map[finding]bool{c.want: true}, found)
		})
	}
}
