package serving

import (
	"bytes"
	"container/heap"
)

// recordBytes is the size of one record of a shard's answer. Fewer bytes at the
// end of an answer are ignored.
const recordBytes = 16

// recordHeap is a min-heap of records.
type recordHeap [][]byte

// Len implements heap.Interface.
func (r recordHeap) Len() int { return len(r) }

// Less implements heap.Interface.
func (r recordHeap) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }

// Swap implements heap.Interface.
func (r recordHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *recordHeap) Push(x any) { *r = append(*r, x.([]byte)) } //nolint:forcetypeassert // Only topRecords pushes.

// Pop implements heap.Interface.
func (r *recordHeap) Pop() any {
	n := len(*r) - 1
	x := (*r)[n]
	*r = (*r)[:n]

	return x
}

// topRecords returns the count greatest records of all parts, in descending order.
// Duplicates are kept.
func topRecords(parts [][]byte, count int) []byte {
	best := make(recordHeap, 0, count)

	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			record := p[:recordBytes]

			switch {
			case len(best) < count:
				heap.Push(&best, record)
			case count > 0 && bytes.Compare(record, best[0]) > 0:
				best[0] = record
				heap.Fix(&best, 0)
			}
		}
	}

	out := make([]byte, len(best)*recordBytes)
	for i := len(best) - 1; i >= 0; i-- {
		copy(out[i*recordBytes:], best[0])
		heap.Pop(&best)
	}

	return out
}
