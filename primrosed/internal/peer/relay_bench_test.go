package peer

import (
	"context"
	"testing"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// BenchmarkRelaySearch measures a relayed query over loopback, without the holder's
// own work. The answer has 59 shards with 2 hits each.
func BenchmarkRelaySearch(b *testing.B) {
	answer := &pb.SearchResponse{RequestId: "r"}

	for n := range uint32(59) {
		answer.Results = append(answer.Results, &pb.ShardResult{Shard: n, Hits: []*pb.Hit{
			{Id: "document-1", Score: 1, Body: "storage heater, 3 kW, Cobán"}, {Id: "document-2", Score: 0.5, Body: "storage heater"},
		}})
	}

	holder := start(b, "entry-0", "a", func(context.Context, *domain.Configuration, *pb.SearchRequest) (*pb.SearchResponse, error) {
		return answer, nil
	})
	other := start(b, "entry-1", "a", echo)

	b.ReportAllocs()

	for b.Loop() {
		if _, err := other.RelaySearch(b.Context(), holder.instance, 0, waitLimit, "q", searchRequest("r")); err != nil {
			b.Fatal(err)
		}
	}
}
