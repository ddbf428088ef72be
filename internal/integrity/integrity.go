// Package integrity computes the checksums of answers, so that the next hop detects an
// answer that was corrupted, truncated or meant for another request.
package integrity

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// RunChecksum returns the xxhash64 of a searcher's answer: its identity, its snapshot
// and its content. Each variable-length part is preceded by its length, so that
// different answers never have the same input.
func RunChecksum(r *pb.RunResponse) uint64 {
	var d xxhash.Digest

	d.Reset()
	writeString(&d, r.GetQueryId())
	writeUint(&d, uint64(r.GetAttempt()))
	writeUint(&d, uint64(r.GetShard()))
	writeUint(&d, r.GetSnapshot().GetIndexVersion())
	writeUint(&d, r.GetSnapshot().GetPartitionMapVersion())
	writeUint(&d, uint64(len(r.GetHits())))

	for _, h := range r.GetHits() {
		writeString(&d, h.GetId())
		writeUint(&d, math.Float64bits(h.GetScore()))
		writeString(&d, h.GetBody())
	}

	writeString(&d, r.GetResult())

	return d.Sum64()
}

// RelayChecksum returns the xxhash64 of a relayed answer: the query id and the content.
func RelayChecksum(id string, content []byte) uint64 {
	var d xxhash.Digest

	d.Reset()
	writeString(&d, id)
	_, _ = d.Write(content)

	return d.Sum64()
}

func writeString(d *xxhash.Digest, s string) {
	writeUint(d, uint64(len(s)))
	_, _ = d.WriteString(s)
}

func writeUint(d *xxhash.Digest, v uint64) {
	var b [8]byte

	binary.LittleEndian.PutUint64(b[:], v)
	_, _ = d.Write(b[:])
}
