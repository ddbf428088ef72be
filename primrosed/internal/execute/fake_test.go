package execute

import (
	"cmp"
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
	"primrosespring.example/primrosed/internal/platform"
)

// faults are the shares of calls, in percent, to which each fault happens.
type faults struct {
	// Of the store: a write's answer is lost, a write is applied after its error,
	// a call is refused, a read is stale, a call is slow or its process paused.
	lost, late, refused, stale, slow, pause int
	// Of the searchers: the request is shed, the connection breaks before the
	// run, the answer is lost after it.
	shed, broken, answerLost int
	// pauseLimit is the longest pause; zero means 3 s.
	pauseLimit time.Duration
}

// fakeStore is an in-memory store with faults. Everything random in the fakes
// comes from its seeded source.
type fakeStore struct {
	mu      sync.Mutex // Guards the fields below.
	rand    *rand.Rand
	faults  faults
	history map[string][]platform.Object
	calls   int
	writes  int
	// onWrite is called for each write that takes effect.
	onWrite func(name string, value []byte)
}

func newFakeStore(seed uint64, f faults) *fakeStore {
	return &fakeStore{rand: rand.New(rand.NewPCG(seed, 1)), faults: f, history: make(map[string][]platform.Object)}
}

func (s *fakeStore) rates() faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// counts returns how many writes took effect and how many calls reached the
// store.
func (s *fakeStore) counts() (writes, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.writes, s.calls
}

func (s *fakeStore) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

func (s *fakeStore) chance(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rand.IntN(100) < percent
}

func (s *fakeStore) jitter(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Duration(s.rand.Int64N(int64(limit) + 1))
}

// delay simulates the network's latency and, in the given shares, slow calls
// and paused processes.
func (s *fakeStore) delay() {
	switch {
	case s.chance(s.rates().pause):
		time.Sleep(s.jitter(cmp.Or(s.rates().pauseLimit, 3*time.Second)))
	case s.chance(s.rates().slow):
		time.Sleep(s.jitter(300 * time.Millisecond))
	default:
		time.Sleep(time.Millisecond + s.jitter(2*time.Millisecond))
	}
}

func storeError(fate domain.Fate, code domain.Code) error {
	return domain.Errorf(fate, code, "call store", "fault").WithPeer("platform")
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.delay()

	if s.chance(s.rates().refused) {
		return platform.Object{}, storeError(domain.FateNotRun, domain.CodeStoreUnavailable)
	}

	stale := s.chance(s.rates().stale)

	s.mu.Lock()
	s.calls++
	h := s.history[kind+"/"+name]
	i := len(h) - 1

	if stale && i > 0 {
		i = s.rand.IntN(i)
	}
	s.mu.Unlock()
	s.delay()

	if i < 0 {
		return platform.Object{}, nil
	}

	return h[i], nil
}

func (s *fakeStore) Put(_ context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	s.delay()

	switch {
	case s.chance(s.rates().refused):
		return 0, storeError(domain.FateNotRun, domain.CodeStoreUnavailable)
	case s.chance(s.rates().late):
		go func() {
			time.Sleep(s.jitter(time.Second))
			s.write(kind+"/"+name, version, value)
		}()

		return 0, storeError(domain.FateUnknown, domain.CodeStoreUnavailable)
	}

	ok := s.write(kind+"/"+name, version, value)
	s.delay()

	switch {
	case s.chance(s.rates().lost):
		return 0, storeError(domain.FateUnknown, domain.CodeStoreUnavailable)
	case !ok:
		return 0, storeError(domain.FateNotRun, domain.CodeConflict)
	}

	return version + 1, nil
}

func (s *fakeStore) write(name string, version uint64, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	h := s.history[name]
	if uint64(len(h)) != version {
		return false
	}

	if s.onWrite != nil {
		s.onWrite(name, value)
	}

	s.writes++
	s.history[name] = append(h, platform.Object{Version: version + 1, Value: value})

	return true
}

// searcherRun is one run of a request at a searcher.
type searcherRun struct {
	call    int
	payload string
}

// callID is the context key of a call's number.
type callID struct{}

// fakeSearchers are all searchers of the service.
type fakeSearchers struct {
	store *fakeStore // Source of randomness and delays.

	mu       sync.Mutex // Guards the fields below.
	runs     map[string][]searcherRun
	attempts []string
	// down is how many of the next attempts fail to connect.
	down int
}

func (f *fakeSearchers) Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error) {
	f.store.delay()

	f.mu.Lock()
	f.attempts = append(f.attempts, sr.ID)
	down := f.down > 0
	f.down--
	f.mu.Unlock()

	if down {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeSearcherUnavailable, "connect", "no connection").WithPeer(sr.ID)
	}

	switch {
	case f.store.chance(f.store.rates().shed):
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeOverloaded, "run", "shed").WithPeer(sr.ID)
	case f.store.chance(f.store.rates().broken):
		return nil, domain.Errorf(domain.FateUnknown, domain.CodePeerUnavailable, "run", "broken").WithPeer(sr.ID)
	}

	call, _ := ctx.Value(callID{}).(int)

	f.mu.Lock()
	f.runs[req.GetKey()] = append(f.runs[req.GetKey()], searcherRun{call, req.GetPayload()})
	f.mu.Unlock()

	f.store.delay()

	if f.store.chance(f.store.rates().answerLost) {
		return nil, domain.Errorf(domain.FateUnknown, domain.CodePeerUnavailable, "run", "answer lost").WithPeer(sr.ID)
	}

	return &pb.RunResponse{Result: "did " + req.GetPayload()}, nil
}

type fakeSnapshots struct{ none bool }

func (f *fakeSnapshots) AwaitChoice(context.Context, *domain.Service, uint64) (domain.Snapshot, bool) {
	return domain.Snapshot{IndexVersion: 3, PartitionMapVersion: 1}, !f.none
}

func (f *fakeSnapshots) Holds(string, uint32, string, domain.Snapshot) bool { return true }

func testConfiguration() *domain.Configuration {
	shards := make([]domain.Shard, 0, 2)

	for i := range uint32(2) {
		shards = append(shards, domain.Shard{Number: i, Searchers: []domain.Searcher{
			{ID: "a" + strconv.Itoa(int(i)), Slots: 2}, {ID: "b" + strconv.Itoa(int(i)), Slots: 2},
		}})
	}

	return &domain.Configuration{Version: 9, Services: []domain.Service{{
		Name: "garantias", PartitionMap: domain.PartitionMap{Version: 1, Shards: shards},
		Rules: domain.Rules{TimeoutMS: 2000, MaxAttempts: 3, NonRepeatable: true},
	}}}
}

func newTestExecutor(tb testing.TB, s *fakeStore, f *fakeSearchers) *Executor {
	tb.Helper()

	return New(Options{
		Log: zerolog.Nop(), Instance: domain.Instance{ID: "i"}, Store: s, Searchers: f,
		Router: &routing.Table{}, Snapshots: &fakeSnapshots{}, Jitter: s.jitter,
	})
}
