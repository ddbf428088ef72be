package execute

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/lease"
	"primrosespring.example/internal/routing"
)

// testKey returns a random key of the current time, which can be claimed.
func testKey(r *rand.Rand) string { return keyAt(r, time.Now()).String() }

// keyAt returns a random key, which is a version 7 UUID, of time t.
func keyAt(r *rand.Rand, t time.Time) claims.Key {
	var k claims.Key

	ms := uint64(t.UnixMilli())
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}

	for i := 6; i < len(k); i++ {
		k[i] = byte(r.Uint32())
	}

	k[6], k[8] = 0x70|k[6]&0x0f, 0x80|k[8]&0x3f

	return k
}

// callResult is a call and what its caller received.
type callResult struct {
	key, payload string
	repeated     bool
	resp         *pb.ExecuteResponse
	err          error
}

func (c callResult) fate() domain.Fate {
	fate, _ := fateOf(c.err)

	return fate
}

// keyNeverRuns reports whether the error means that no request with the key
// ever runs, and not only that this one didn't. For a repeated request
// FateNotRun always means so.
func (c callResult) keyNeverRuns() bool {
	var e *domain.Error

	if c.repeated {
		return c.fate() == domain.FateNotRun
	}

	return c.fate() == domain.FateNotRun && errors.As(c.err, &e) &&
		(e.Step != "claim key" || e.Code == domain.CodeAlreadyClaimed) && e.Code != domain.CodeStopping
}

// checkGuarantees describes the first violated guarantee, or returns "".
func checkGuarantees(calls []callResult, runs map[string][]searcherRun) string {
	for key, r := range runs {
		if len(r) > 1 {
			return fmt.Sprintf("key %s ran %d times", key, len(r))
		}
	}

	for i, c := range calls {
		r := runs[c.key]

		switch {
		case c.err == nil && (len(r) == 0 || c.resp.GetResult() != "did "+c.payload || r[0].payload != c.payload):
			return fmt.Sprintf("call %d got %q for %q; runs: %v", i, c.resp.GetResult(), c.payload, r)
		case c.err == nil && c.resp.GetReplayed() == (r[0].call == i):
			return fmt.Sprintf("call %d has replayed = %t; runs: %v", i, c.resp.GetReplayed(), r)
		case c.err != nil && c.fate() == domain.FateRan && len(r) == 0:
			return fmt.Sprintf("call %d got FateRan, but its key didn't run", i)
		case c.err != nil && c.fate() == domain.FateNotRun && len(r) > 0 && r[0].call == i:
			return fmt.Sprintf("call %d ran and got: %v", i, c.err)
		case c.err != nil && c.keyNeverRuns() && len(r) > 0:
			return fmt.Sprintf("the key of call %d ran, and the call got: %v", i, c.err)
		}
	}

	return checkRepeats(calls)
}

// checkRepeats compares the last call with each key, made after the faults
// ended, with the earlier answers for the key.
func checkRepeats(calls []callResult) string {
	for i, last := range calls[raceCalls:] {
		mayBeClaimed := false

		for j, c := range calls[:raceCalls] {
			if c.key != last.key {
				continue
			}

			// The key may have been claimed with the other payload.
			if c.payload != last.payload {
				mayBeClaimed = true

				continue
			}

			if c.keyNeverRuns() && last.fate() != domain.FateNotRun {
				return fmt.Sprintf("call %d got: %v; the last call with key %d got: %v", j, c.err, i, last.err)
			}

			mayBeClaimed = mayBeClaimed || c.fate() != domain.FateNotRun
		}

		if !mayBeClaimed && last.err != nil && last.fate() == domain.FateUnknown {
			return fmt.Sprintf("every call got FateNotRun; the last call with key %d got: %v", i, last.err)
		}
	}

	return ""
}

// raceCalls is the number of calls before the faults end.
const raceCalls = 24

// raceExecutors calls several executors at once with a few keys under faults.
// One executor is closed midway, and another one repeats each key in the end.
// It returns all calls and the runs of each key.
func raceExecutors(t *testing.T, seed uint64, f faults) ([]callResult, map[string][]searcherRun) {
	t.Helper()

	r := rand.New(rand.NewPCG(seed, 2))
	store := newFakeStore(seed, f)
	searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
	cfg := testConfiguration()
	keys := []string{testKey(r), testKey(r), testKey(r)}
	executors := make([]*Executor, 3)

	for i := range executors {
		executors[i] = newTestExecutor(t, store, searchers)
	}

	var (
		wg    sync.WaitGroup
		calls = make([]callResult, raceCalls, raceCalls+len(keys))
	)

	for i := range calls {
		c := &calls[i]
		c.key, c.payload, c.repeated = keys[r.IntN(len(keys))], "p", r.IntN(2) == 0

		if r.IntN(10) == 0 {
			c.payload = "other"
		}

		x := executors[r.IntN(len(executors))]
		start, timeout := time.Duration(r.Int64N(int64(2*time.Second))), time.Duration(r.Int64N(int64(2*time.Second)))

		wg.Go(func() {
			time.Sleep(start)

			ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), callID{}, i), timeout)
			defer cancel()

			c.resp, c.err = x.Execute(ctx, cfg, &pb.ExecuteRequest{
				Service: "garantias", Key: c.key, Payload: c.payload, Repeated: c.repeated,
			})
		})
	}

	// One executor is closed while it works. Its context has ended, so it drops
	// the records that aren't written.
	time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))

	cancelled, cancel := context.WithCancel(context.Background())
	cancel()

	_ = executors[0].Close(cancelled)

	wg.Wait()
	time.Sleep(time.Minute)
	store.setFaults(faults{})

	for _, x := range executors[1:] {
		require.NoError(t, x.Close(context.Background()))
	}

	// Every key is repeated at a new instance, now without faults.
	last := newTestExecutor(t, store, searchers)

	for _, key := range keys {
		ctx := context.WithValue(context.Background(), callID{}, len(calls))
		resp, err := last.Execute(ctx, cfg, &pb.ExecuteRequest{Service: "garantias", Key: key, Payload: "p"})
		calls = append(calls, callResult{key: key, payload: "p", resp: resp, err: err})
	}

	require.NoError(t, last.Close(context.Background()))
	time.Sleep(time.Minute) // For late writes.

	return calls, searchers.runs
}

// Guards against a key that runs twice, a wrong FateNotRun, the answer of
// another request and an error that contradicts what ran. The store loses
// answers, applies writes late, conflicts, refuses and reads stale; processes
// pause and close; searchers shed, disconnect and lose answers.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := func(name string, limit int) int {
			return rapid.SampledFrom([]int{0, 0, limit / 4, limit}).Draw(rt, name)
		}
		f := faults{
			lost: share("lost", 40), late: share("late", 40), refused: share("refused", 60), stale: share("stale", 40),
			slow: share("slow", 30), pause: share("pause", 10),
			shed: share("shed", 90), broken: share("broken", 40), answerLost: share("answer_lost", 40),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		violation := ""

		synctest.Test(t, func(t *testing.T) {
			calls, runs := raceExecutors(t, seed, f)
			violation = checkGuarantees(calls, runs)
		})

		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func execute(x *Executor, key, payload string) (*pb.ExecuteResponse, error) {
	return x.Execute(context.Background(), testConfiguration(), &pb.ExecuteRequest{Service: "garantias", Key: key, Payload: payload})
}

func executeRepeated(x *Executor, key string) error {
	_, err := x.Execute(context.Background(), testConfiguration(),
		&pb.ExecuteRequest{Service: "garantias", Key: key, Payload: "p", Repeated: true})

	return err
}

func requireError(t *testing.T, err error, fate domain.Fate, code domain.Code) {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, fate, e.Fate, err)
	require.Equal(t, code, e.Code, err)
}

// Guards against a repeated key that isn't answered from what is recorded for
// it.
func TestRepeatedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, faults{})
		searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
		x, y := newTestExecutor(t, store, searchers), newTestExecutor(t, store, searchers)
		r := rand.New(rand.NewPCG(1, 1))
		small, large, shed, unheld := testKey(r), testKey(r), testKey(r), testKey(r)
		long := strings.Repeat("x", claims.MaxAnswerBytes)

		for _, c := range []struct{ key, payload string }{{small, "p"}, {large, long}} {
			resp, err := execute(x, c.key, c.payload)
			require.NoError(t, err)
			require.False(t, resp.GetReplayed())
		}

		// The record is delayed, so y finds the claim without an outcome. It
		// must read the bucket again when the key is repeated.
		_, err := execute(y, large, long)
		requireError(t, err, domain.FateUnknown, domain.CodeAlreadyClaimed)

		store.setFaults(faults{shed: 100})
		_, err = execute(x, shed, "p")
		requireError(t, err, domain.FateNotRun, domain.CodeOverloaded)

		// Each searcher of the shard was asked once.
		asked := searchers.attempts[2:]
		require.Len(t, asked, 2)
		require.NotEqual(t, asked[0], asked[1])

		store.setFaults(faults{})
		x.options.Snapshots = &fakeSnapshots{none: true}
		_, err = execute(x, unheld, "p")
		requireError(t, err, domain.FateNotRun, domain.CodeNoLiveSearcher)
		require.NoError(t, x.Close(context.Background()))

		_, err = execute(x, small, "p")
		requireError(t, err, domain.FateNotRun, domain.CodeStopping)
		requireError(t, executeRepeated(x, small), domain.FateUnknown, domain.CodeStopping)

		resp, err := execute(y, small, "p")
		require.NoError(t, err)
		require.True(t, resp.GetReplayed())
		require.Equal(t, "did p", resp.GetResult())
		require.Equal(t, uint64(3), resp.GetSnapshot().GetIndexVersion())

		_, err = execute(y, large, long)
		requireError(t, err, domain.FateRan, domain.CodeAlreadyClaimed)
		_, err = execute(y, small, "another")
		requireError(t, err, domain.FateUnknown, domain.CodeAlreadyClaimed)

		for _, key := range []string{shed, unheld} {
			_, err = execute(y, key, "p")
			requireError(t, err, domain.FateNotRun, domain.CodeAlreadyClaimed)
			requireError(t, executeRepeated(y, key), domain.FateNotRun, domain.CodeAlreadyClaimed)
		}

		y.options.Snapshots = &fakeSnapshots{none: true}
		requireError(t, executeRepeated(y, testKey(r)), domain.FateNotRun, domain.CodeNoLiveSearcher)

		require.Len(t, searchers.runs, 2)
		require.NoError(t, y.Close(context.Background()))
	})
}

// Guards against a failed connection to one searcher that fails the request,
// though nothing was sent and another searcher can run it, or that doesn't keep
// the searcher from being chosen again.
func TestSearcherUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, faults{})
		searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun), down: 1}
		x := newTestExecutor(t, store, searchers)

		_, err := execute(x, testKey(store.rand), "p")
		require.NoError(t, err)
		require.Len(t, searchers.attempts, 2)
		require.NotEqual(t, searchers.attempts[0], searchers.attempts[1])

		searchers.down = 10
		key := testKey(store.rand)
		_, err = execute(x, key, "p")
		requireError(t, err, domain.FateNotRun, domain.CodeSearcherUnavailable)
		requireError(t, executeRepeated(x, key), domain.FateNotRun, domain.CodeAlreadyClaimed)
		require.Len(t, searchers.runs, 1)
		require.NoError(t, x.Close(context.Background()))

		unreachable := domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "connect", "refused")
		require.Equal(t, routing.Unreachable, outcomeOf(unreachable))
	})
}

// Guards against a request that waits for its deadline while the store is down,
// one that gets FateUnknown though nothing was sent, and a repeated one that
// gets FateNotRun though an earlier request with the key may have run.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, faults{refused: 100})
		searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
		x := newTestExecutor(t, store, searchers)
		start := time.Now()
		_, err := execute(x, testKey(store.rand), "p")
		requireError(t, err, domain.FateNotRun, domain.CodeStoreUnavailable)
		require.LessOrEqual(t, time.Since(start), 10*time.Millisecond)
		requireError(t, executeRepeated(x, testKey(store.rand)), domain.FateUnknown, domain.CodeStoreUnavailable)

		_, err = x.Execute(context.Background(), testConfiguration(), &pb.ExecuteRequest{
			Service: "no such service", Key: testKey(store.rand), Repeated: true,
		})
		requireError(t, err, domain.FateUnknown, domain.CodeNotFound)

		// A version 4 UUID isn't a valid key.
		_, err = execute(x, "3b241101-e2bb-4255-8caf-4136c566a962", "p")
		requireError(t, err, domain.FateNotRun, domain.CodeInvalid)
		require.NoError(t, x.Close(context.Background()))
	})
}

// Guards against sending a request whose claim may not be durable, and against
// a wrong fate then. This request never runs, since only the call that claimed
// the key could send it; whether another request with the key ran is unknown.
func TestLostClaimAnswer(t *testing.T) {
	for _, c := range []struct {
		readable, repeated bool
		fate               domain.Fate
	}{
		{readable: true},
		{readable: false, repeated: false, fate: domain.FateNotRun},
		{readable: false, repeated: true, fate: domain.FateUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(1, faults{lost: 100})
			store.onWrite = func(string, []byte) { // Called with store.mu held.
				store.faults = faults{lost: 100}
				if !c.readable {
					store.faults.refused = 100
				}
			}
			searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
			x := newTestExecutor(t, store, searchers)

			key := testKey(store.rand)

			_, err := x.Execute(context.Background(), testConfiguration(), &pb.ExecuteRequest{
				Service: "garantias", Key: key, Payload: "p", Repeated: c.repeated,
			})
			if c.readable {
				require.NoError(t, err)
				require.Len(t, searchers.runs, 1)
			} else {
				require.Error(t, err)

				fate, _ := fateOf(err)
				require.Equal(t, c.fate, fate)
				require.Empty(t, searchers.attempts)
			}

			store.setFaults(faults{})
			store.onWrite = nil

			if !c.readable {
				// The key still can't run when the store is available again.
				_, err = execute(x, key, "p")
				require.Error(t, err)
				require.Empty(t, searchers.attempts)
			}

			require.NoError(t, x.Close(context.Background()))
		})
	}
}

// Guards against a forwarded claim that is lost or applied twice when the
// owner's answer is lost.
func TestForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, faults{})
		searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
		owner, x := newTestExecutor(t, store, searchers), newTestExecutor(t, store, searchers)
		x.options.Forwarder = forwarderFunc(func(ctx context.Context, op claims.Operation) (claims.Result, error) {
			_, _ = owner.Apply(ctx, op)

			return claims.Result{}, errors.New("answer lost")
		})

		resp, err := execute(x, testKey(store.rand), "p")
		require.NoError(t, err)
		require.False(t, resp.GetReplayed())
		require.NoError(t, x.Close(context.Background()))
		require.NoError(t, owner.Close(context.Background()))
	})
}

type forwarderFunc ForwardFunc

func (f forwarderFunc) Owner(claims.BucketID) (bool, ForwardFunc) { return false, ForwardFunc(f) }

// Guards against claims that are dropped before the end of the retention, and
// against a lease holder that doesn't continue from its predecessor's cursor.
func TestExpiryKeepsTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1, faults{})
		key := keyAt(store.rand, time.Now().Add(10*time.Minute-Retention))
		b, _, _ := claims.Bucket{}.Apply([]claims.Operation{{Key: key, ClaimID: "c"}})
		data, err := b.Encode()
		require.NoError(t, err)

		name := claims.ObjectKind + "/" + key.Bucket().String()
		store.write(name, 0, data)

		l, err := lease.Lease{Holder: "", Term: 4, Cursor: slotAt(time.Now().Add(-Retention - time.Minute))}.Encode()
		require.NoError(t, err)
		store.write(lease.ObjectKind+"/"+leaseName, 0, l)

		for i, run := range []time.Duration{9 * time.Minute, 3 * time.Minute} {
			ctx, cancel := context.WithTimeout(context.Background(), run)
			NewExpirer(zerolog.Nop(), domain.Instance{ID: "i"}, store, store.jitter).Run(ctx)
			cancel()
			require.Len(t, store.history[name], 1+i)
		}
	})
}

// Guards against writes under an expired lease and claims that are never
// dropped. Expirers race under faults and pauses; the term in a bucket must
// never decrease.
func TestExpiryUnderLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		f := faults{lost: 10, late: rapid.IntRange(0, 20).Draw(rt, "late"), stale: 5, refused: 5, pause: 1, pauseLimit: 3 * time.Minute}
		violation := ""

		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(seed, f)
			terms := make(map[string]uint64)
			checkWrite := func(name string, value []byte) {
				var b claims.Bucket
				if json.Unmarshal(value, &b) == nil && strings.HasPrefix(name, claims.ObjectKind) {
					if b.ExpiryTerm < max(terms[name], 1) || len(b.Claims) > 0 {
						violation = fmt.Sprintf("%s went from term %d to %d", name, terms[name], b.ExpiryTerm)
					}

					terms[name] = b.ExpiryTerm
				}
			}

			// Most expirers hold the lease for less time than it takes to reach
			// the old key's slot.
			old := keyAt(store.rand, time.Now().Add(-Retention-initialLookback+20*time.Minute))
			b, _, _ := claims.Bucket{}.Apply([]claims.Operation{{Key: old, ClaimID: "c"}})
			data, _ := b.Encode()
			name := old.Bucket().String()
			store.write(claims.ObjectKind+"/"+name, 0, data)
			store.onWrite = checkWrite

			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Hour)
			defer cancel()

			var wg sync.WaitGroup

			for i := range 3 {
				e := NewExpirer(zerolog.Nop(), domain.Instance{ID: strconv.Itoa(i)}, store, store.jitter)

				wg.Go(func() {
					for ctx.Err() == nil { // The expirer is restarted at random.
						part, cancel := context.WithTimeout(ctx, 5*time.Minute+store.jitter(10*time.Minute))
						e.Run(part)
						cancel()
						time.Sleep(store.jitter(2 * time.Minute))
					}
				})
			}

			wg.Wait()
			time.Sleep(10 * time.Minute) // For late writes.

			store.mu.Lock()
			defer store.mu.Unlock()

			h := store.history[claims.ObjectKind+"/"+name]
			last, err := claims.Decode(h[len(h)-1].Value)
			require.NoError(t, err)

			if violation == "" && (len(last.Claims) > 0 || last.FloorMS != old.Bucket().EndMS()) {
				l := store.history[lease.ObjectKind+"/"+leaseName]
				violation = fmt.Sprintf("the old claim in slot %d is still kept; lease: %s", old.Bucket().Slot, l[len(l)-1].Value)
			}
		})

		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
