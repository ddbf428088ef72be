package execute

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/placement"
	"primrosespring.example/internal/routing"
)

const (
	commitInstances = 9
	// commitWrites is the write budget of all instances together, per second.
	commitWrites = 100
)

var compareLayouts = flag.Bool("weigh", false, "also run TestGroupCommit with other slot lengths, bucket counts and waits")

// commitTrial is one layout of buckets under one load.
type commitTrial struct {
	slot    time.Duration
	buckets uint32
	wait    time.Duration
	rate    float64 // Executions a second.
}

func (c commitTrial) bucketOf(k claims.Key) claims.BucketID {
	return claims.BucketID{Slot: k.UnixMilli() / uint64(c.slot.Milliseconds()), Number: uint32(k.Hash()>>32) % c.buckets}
}

// commitFigures are what a trial measures in virtual time. writes, calls,
// kilobytes and refused are per second.
type commitFigures struct {
	claimsPerWrite, writes, calls, kilobytes, refused float64
	p50, p99                                          time.Duration
	trimmed                                           int
}

func (f commitFigures) String() string {
	return fmt.Sprintf("claims/write=%.2f writes/s=%.1f calls/s=%.1f kB/s=%.0f p50=%v p99=%v refused/s=%.2f floors raised by size=%d",
		f.claimsPerWrite, f.writes, f.calls, f.kilobytes, f.p50.Round(time.Millisecond), f.p99.Round(time.Millisecond), f.refused, f.trimmed)
}

// budgetedStore is one instance's store client whose writes are limited to its
// share of the budget.
type budgetedStore struct {
	*fakeStore

	writes *rate.Limiter
}

func (s budgetedStore) Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	if err := s.writes.Wait(ctx); err != nil {
		return 0, storeError(domain.FateNotRun, domain.CodeRateLimited)
	}

	return s.fakeStore.Put(ctx, kind, name, version, value)
}

// commitForwarder forwards operations with a latency of 3 ms each way.
type commitForwarder struct {
	self   string
	owners *placement.Set
	fleet  map[string]*Executor
}

func (f commitForwarder) Owner(id claims.BucketID) (bool, ForwardFunc) {
	owner, _ := f.owners.Owner("claims/"+strconv.FormatUint(id.Slot, 10), id.Number)

	return owner.ID == f.self, func(ctx context.Context, op claims.Operation) (claims.Result, error) {
		time.Sleep(3 * time.Millisecond)
		defer time.Sleep(3 * time.Millisecond)

		return f.fleet[owner.ID].Apply(ctx, op)
	}
}

// run sends Poisson arrivals to random instances for a virtual minute after a
// warm-up of ten seconds.
func (c commitTrial) run(t *testing.T) commitFigures {
	t.Helper()

	const warmUp, measured = 10 * time.Second, time.Minute

	store := newFakeStore(1, faults{})
	searchers := &fakeSearchers{store: store, runs: make(map[string][]searcherRun)}
	instances := make([]domain.Instance, commitInstances)

	for i := range instances {
		instances[i].ID = "i" + strconv.Itoa(i)
	}

	var (
		fleet   = make(map[string]*Executor)
		owners  = placement.NewSet(instances)
		r       = rand.New(rand.NewPCG(2, 2))
		wg      sync.WaitGroup
		mu      sync.Mutex // Guards latency, counting and figures.refused; store.mu guards the rest.
		figures commitFigures
		latency []time.Duration
		floors  = make(map[string]string)
	)

	for _, in := range instances {
		x := newTestExecutor(t, store, searchers)
		x.options.Router = &routing.Table{}
		x.options.Forwarder = commitForwarder{in.ID, owners, fleet}
		x.batcher.store = budgetedStore{store, rate.NewLimiter(rate.Limit(commitWrites)/commitInstances, 2*commitWrites/commitInstances)}
		x.batcher.bucketOf, x.batcher.busyBatchWait = c.bucketOf, c.wait
		fleet[in.ID] = x
	}

	start := time.Now()
	store.onWrite = func(name string, value []byte) {
		floor, _, _ := bytes.Cut(value, []byte(","))
		if old, ok := floors[name]; ok && old != string(floor) {
			figures.trimmed++
		}

		floors[name] = string(floor)

		figures.kilobytes += float64(len(value)) / 1000
	}

	var writes, calls int

	counting := false

	for time.Since(start) < warmUp+measured {
		time.Sleep(time.Duration(r.ExpFloat64() / c.rate * float64(time.Second)))

		if !counting && time.Since(start) >= warmUp {
			mu.Lock()
			counting = true
			mu.Unlock()

			writes, calls = store.counts()
			store.mu.Lock()
			figures.kilobytes = 0
			store.mu.Unlock()
		}

		x := fleet[instances[r.IntN(len(instances))].ID]
		op := claims.Operation{Key: keyAt(r, time.Now()), ClaimID: x.idPrefix + strconv.FormatUint(x.lastID.Add(1), 36), Digest: r.Uint64()}

		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()

			begin := time.Now()
			_, err := x.applyAtOwner(ctx, op, false)
			took := time.Since(begin)

			mu.Lock()
			if counting && err != nil {
				figures.refused++
			} else if counting {
				latency = append(latency, took)
			}
			mu.Unlock()

			if err == nil {
				time.Sleep(5 * time.Millisecond)

				op.Kind, op.Answer = claims.RecordRan, "the answer of a request"
				op.Snapshot = domain.Snapshot{IndexVersion: 3, PartitionMapVersion: 1}
				x.recorder.add(op)
			}
		})
	}

	endWrites, endCalls := store.counts()
	store.mu.Lock()
	kilobytes := figures.kilobytes
	store.mu.Unlock()
	wg.Wait()

	for _, x := range fleet {
		require.NoError(t, x.Close(context.Background()))
	}

	slices.Sort(latency)

	figures.kilobytes = kilobytes / measured.Seconds()
	figures.writes = float64(endWrites-writes) / measured.Seconds()
	figures.calls = float64(endCalls-calls) / measured.Seconds()
	figures.claimsPerWrite = float64(len(latency)) / float64(endWrites-writes)
	figures.refused /= measured.Seconds()
	figures.p50, figures.p99 = latency[len(latency)/2], latency[len(latency)*99/100]

	return figures
}

// Guards against claims that exceed the store's write budget, and against
// batching that delays callers too long. The bounds are the stated targets; all
// times are virtual.
func TestGroupCommit(t *testing.T) {
	for _, c := range []struct {
		rate, writes float64
		p99          time.Duration
	}{{41, 40, 60 * time.Millisecond}, {360, commitWrites, 0}} {
		t.Run(fmt.Sprintf("rate=%v", c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := commitTrial{claims.SlotMS * time.Millisecond, claims.BucketsPerSlot, busyBatchWait, c.rate}.run(t)
				t.Log(f)
				require.LessOrEqual(t, f.writes, c.writes)
				require.Zero(t, f.refused)
				require.Zero(t, f.trimmed)

				if c.p99 > 0 {
					require.LessOrEqual(t, f.p99, c.p99)
				}
			})
		})
	}

	if !*compareLayouts {
		return
	}

	for _, slot := range []time.Duration{claims.SlotMS * time.Millisecond, time.Minute} {
		for _, buckets := range []uint32{2, 4, 8} {
			for _, wait := range []time.Duration{batchWait, busyBatchWait} {
				for _, perSecond := range []float64{41, 360} {
					name := fmt.Sprintf("slot=%v/buckets=%d/wait=%v/rate=%v", slot, buckets, wait, perSecond)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { t.Log(commitTrial{slot, buckets, wait, perSecond}.run(t)) })
					})
				}
			}
		}
	}
}
