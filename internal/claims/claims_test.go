package claims

import (
	"encoding/binary"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/domain"
)

func testKey(ms uint64, n byte) Key {
	var k Key

	binary.BigEndian.PutUint64(k[:8], ms<<16)
	k[6], k[8], k[15] = keyVersion<<4, keyVariant<<6, n

	return k
}

// Guards against keys whose first bytes aren't a time, and against one key
// with two encodings.
func TestParseKeyTakesVersion7Only(t *testing.T) {
	k, err := ParseKey("019AE8C0-0000-7ABC-8123-456789ABCDEF")
	require.NoError(t, err)
	require.Equal(t, "019ae8c0-0000-7abc-8123-456789abcdef", k.String())
	require.Equal(t, uint64(0x019ae8c00000), k.UnixMilli())

	for _, s := range []string{
		"", "x", "019ae8c0-0000-4abc-8123-456789abcdef", "019ae8c0-0000-7abc-c123-456789abcdef",
		"019ae8c000007abc8123456789abcdef", "019ae8c0-0000-7abc-8123-456789abcdeg", strings.Repeat("a", 5000),
	} {
		_, err := ParseKey(s)

		var e *domain.Error

		require.ErrorAs(t, err, &e, s)
		require.Equal(t, domain.CodeInvalid, e.Code)
		require.Equal(t, "key", e.Field)
	}

	require.Error(t, new(Key).UnmarshalText([]byte("019AE8C0-0000-7ABC-8123-456789ABCDEF")))
}

// Guards against a claim that is granted to a second claimer, a final state that
// changes, and a key that runs after it was aborted or fell below the floor. Each
// operation is applied late, twice or to an old version, as after a lost response.
func TestAtMostOneClaimIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Bucket{{}}
		granted := make(map[Key]string)
		final := make(map[Key]Outcome)

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			ops := make([]Operation, rapid.IntRange(1, 4).Draw(t, "batch"))
			for i := range ops {
				ops[i] = Operation{
					Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind")), Digest: 1,
					Key:     testKey(uint64(rapid.IntRange(1, 3).Draw(t, "ms")), 0),
					ClaimID: strconv.Itoa(rapid.IntRange(1, 3).Draw(t, "claimer")),
				}
				// Only the holder of a claim records a run.
				if ops[i].Kind == RecordRan && granted[ops[i].Key] != ops[i].ClaimID {
					ops[i].Kind = ClaimKey
				}
			}

			base := rapid.IntRange(0, len(history)-1).Draw(t, "base")

			next, results, changed := history[base].Apply(ops)
			if changed && base != len(history)-1 {
				continue // The conditional write fails.
			}

			if changed {
				history = append(history, next)
			}

			_, again, changedAgain := next.Apply(ops)
			require.False(t, changedAgain, "applied again, a batch must change nothing")

			for i, op := range ops {
				o := results[i].Outcome
				if o == Granted {
					require.Contains(t, []string{"", op.ClaimID}, granted[op.Key], "granted to a second claimer")
					// An old version may lack the final state that the holder recorded.
					if base == len(history)-1 || changed {
						require.Zero(t, final[op.Key], "granted after a final state")
						require.GreaterOrEqual(t, op.Key.UnixMilli(), next.FloorMS)
					}

					granted[op.Key] = op.ClaimID
				}

				if o == Ran || o == Aborted {
					require.Contains(t, []Outcome{Undecided, o}, final[op.Key], "final state changed")
					final[op.Key] = o
					require.Equal(t, o, again[i].Outcome)
				}
			}

			if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				b := history[len(history)-1]
				e, changed, err := b.Expire(b.ExpiryTerm, uint64(rapid.IntRange(1, 4).Draw(t, "end")))
				require.NoError(t, err)

				if changed {
					history = append(history, e)
				}
			}
		}
	})
}

// Guards against a bucket that outgrows the store's limit, and against a key
// that is granted again after its claim was dropped.
func TestFloorBoundsTheSize(t *testing.T) {
	for _, text := range []string{"a", `"`, "\x01", "é"} {
		var b Bucket

		answer := strings.Repeat(text, MaxAnswerBytes/2)

		for i := range uint64(6) {
			ops := make([]Operation, 0, 400)

			for j := range uint64(200) {
				k := testKey(1000+200*i+j, byte(i))
				ops = append(ops, Operation{Key: k, ClaimID: "c"}, Operation{Kind: RecordRan, Key: k, ClaimID: "c", Answer: answer})
			}

			next, results, _ := b.Apply(ops)
			data, err := next.Encode()
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), MaxBucketBytes)

			decoded, err := Decode(data)
			require.NoError(t, err)
			require.Equal(t, next, decoded)

			for k, op := range ops {
				if op.Key.UnixMilli() < next.FloorMS {
					require.Equal(t, BelowFloor, results[k].Outcome)
				}
			}

			b = next
		}

		_, results, changed := b.Apply([]Operation{{Key: testKey(1000, 0), ClaimID: "late"}})
		require.False(t, changed)
		require.Equal(t, BelowFloor, results[0].Outcome)
	}
}

// Guards against a paused holder of the expiry lease that changes a bucket, and
// against a key that runs again after its claim was dropped with its slot.
func TestExpireRefusesLowerTerm(t *testing.T) {
	key := testKey(SlotMS-1, 0)
	require.Equal(t, uint64(SlotMS), key.Bucket().EndMS())
	require.Equal(t, uint64(1), testKey(SlotMS, 0).Bucket().Slot)

	open, _, _ := Bucket{}.Apply([]Operation{{Key: testKey(10, 0), ClaimID: "a"}, {Key: key, ClaimID: "b"}})

	b, changed, err := open.Expire(2, SlotMS)
	require.NoError(t, err)
	require.True(t, changed)
	require.Empty(t, b.Claims)

	_, results, changed := b.Apply([]Operation{{Key: key, ClaimID: "c"}, {Kind: AbortKey, Key: testKey(20, 0), ClaimID: "d"}})
	require.False(t, changed)
	require.Equal(t, BelowFloor, results[0].Outcome)
	require.Equal(t, BelowFloor, results[1].Outcome)

	_, _, err = b.Expire(1, SlotMS)

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.CodeConflict, e.Code)

	_, changed, err = b.Expire(3, SlotMS)
	require.NoError(t, err)
	require.False(t, changed)

	open.ExpiryTerm = 2
	_, _, err = open.Expire(1, SlotMS)
	require.Error(t, err)
}

// Guards against an answer that is returned for another request with the same key.
func TestKeyUsedForAnotherRequest(t *testing.T) {
	b, _, _ := Bucket{}.Apply([]Operation{{Key: testKey(10, 0), ClaimID: "a", Digest: Digest("s", "x")}})
	_, results, changed := b.Apply([]Operation{{Key: testKey(10, 0), ClaimID: "b", Digest: Digest("s", "y")}})
	require.False(t, changed)
	require.Equal(t, OtherRequest, results[0].Outcome)
}

// Guards against decoded buckets that are invalid, and panics in the decoder.
func FuzzDecode(f *testing.F) {
	b, _, _ := Bucket{}.Apply([]Operation{
		{Key: testKey(10, 0), ClaimID: "a"},
		{Kind: RecordRan, Key: testKey(20, 0), ClaimID: "b", Answer: "x", Snapshot: domain.Snapshot{IndexVersion: 1}},
		{Kind: AbortKey, Key: testKey(30, 0), ClaimID: "c"},
	})
	data, err := b.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"floor_ms":50,"claims":{"00000000-000a-7000-8000-000000000000":{"state":"claimed","claim_id":"a"}}}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}

		require.NoError(t, b.Validate())

		again, err := b.Encode()
		require.NoError(t, err)

		c, err := Decode(again)
		require.NoError(t, err)
		require.Len(t, c.Claims, len(b.Claims))
		require.Equal(t, b.FloorMS, c.FloorMS)

		for k, claim := range b.Claims {
			require.GreaterOrEqual(t, k.UnixMilli(), b.FloorMS)
			require.Contains(t, []State{StateClaimed, StateRan, StateAborted}, claim.State)
		}
	})
}
