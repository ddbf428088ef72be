package operator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosed/internal/platform"
)

var errDown = domain.Errorf(domain.FateNotRun, domain.CodeStoreUnavailable, "get object", "down").WithPeer("platform")

// fakeStore is a store that can lose writes and their answers.
type fakeStore struct {
	mu     sync.Mutex // Guards the fields below; tests without a watcher don't lock it.
	object platform.Object
	// loseAnswers is how many of the next writes take effect without an answer, and
	// loseWrites how many have no effect. Both fail with an unknown fate.
	loseAnswers, loseWrites int
	// beforePut runs once before the next write.
	beforePut    func()
	down         bool
	downAfterPut bool // The store goes down after the next write.
	gets         []time.Time
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	change()
}

func (f *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.gets = append(f.gets, time.Now())
	if f.down {
		return platform.Object{}, errDown
	}

	return f.object, nil
}

func (f *fakeStore) Put(_ context.Context, _, _ string, version uint64, value []byte) (uint64, error) {
	if before := f.beforePut; before != nil {
		f.beforePut = nil
		before()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.down = f.down || f.downAfterPut
	lost := domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "put object", "no answer")

	if f.loseWrites > 0 {
		f.loseWrites--

		return 0, lost
	}

	if version != f.object.Version {
		return 0, domain.Errorf(domain.FateNotRun, domain.CodeConflict, "put object", "conflict")
	}

	f.object = platform.Object{Version: version + 1, Value: value}

	if f.loseAnswers > 0 {
		f.loseAnswers--

		return 0, lost
	}

	return f.object.Version, nil
}

func (f *fakeStore) Watch(ctx context.Context, kind, name string, after uint64) (platform.Object, error) {
	if o, err := f.Get(ctx, kind, name); err != nil || o.Version > after {
		return o, err
	}

	sleep(ctx, 2*time.Second)

	return platform.Object{}, ctx.Err()
}

func memberChange(n uint32) configuration.Change {
	return configuration.Change{ID: fmt.Sprintf("change-%d", n), SetMember: &domain.Member{Name: "member", Weight: n}}
}

func fateOf(t *testing.T, err error) (domain.Fate, domain.Code) {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)

	return e.Fate, e.Code
}

// Guards against a change that is reported as lost although it took effect, or
// made twice because its answer was lost.
func TestLostAnswersAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, f := range []*fakeStore{{loseAnswers: 1}, {loseWrites: 1}, {loseAnswers: 1, loseWrites: 2}} {
			var k configuration.Keeper

			v, err := NewStoreChanger(f, &k).Change(t.Context(), memberChange(1))
			require.NoError(t, err)
			require.Equal(t, uint64(1), v)
			require.Equal(t, uint64(1), f.object.Version)
			require.Equal(t, uint64(1), k.Configuration().Version)
		}
	})
}

// Guards against the fate not run for a change that may have taken effect, when
// the store goes down between a write and its answer, and against an endless
// wait for it.
func TestFateWhenTheStoreGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k configuration.Keeper

		start := time.Now()
		fate, _ := fateOf(t, changeError(NewStoreChanger(&fakeStore{loseAnswers: 1, downAfterPut: true}, &k)))
		require.Equal(t, domain.FateUnknown, fate)
		require.LessOrEqual(t, time.Since(start), changeTimeout)

		start = time.Now()
		fate, code := fateOf(t, changeError(NewStoreChanger(&fakeStore{down: true}, &k)))
		require.Equal(t, domain.FateNotRun, fate)
		require.Equal(t, domain.CodeStoreUnavailable, code)
		require.Zero(t, time.Since(start), "a refusal doesn't wait")
	})
}

func changeError(c *StoreChanger) error {
	_, err := c.Change(context.Background(), memberChange(1))

	return err
}

// Guards against an operator who loses a race and overwrites the other's
// change, or gives up although both changes can be made.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k configuration.Keeper

		f := &fakeStore{}
		other := NewStoreChanger(f, &k)
		f.beforePut = func() {
			_, err := other.Change(t.Context(), memberChange(2))
			require.NoError(t, err)
		}

		v, err := NewStoreChanger(f, &k).Change(t.Context(), memberChange(1))
		require.NoError(t, err)
		require.Equal(t, uint64(2), v)

		// A change of a service that doesn't exist is refused.
		_, err = other.Change(t.Context(), configuration.Change{ID: "x", DeleteService: &configuration.ServiceRef{Name: "gone", Version: 1}})
		fate, code := fateOf(t, err)
		require.Equal(t, domain.FateNotRun, fate)
		require.Equal(t, domain.CodeNotFound, code)
	})
}

// Guards against changes at an unlimited rate.
func TestChangesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k configuration.Keeper

		c := NewStoreChanger(&fakeStore{}, &k)
		for n := range uint32(changeBurst) {
			_, err := c.Change(t.Context(), memberChange(n+1))
			require.NoError(t, err)
		}

		fate, code := fateOf(t, changeError(c))
		require.Equal(t, domain.FateNotRun, fate)
		require.Equal(t, domain.CodeRateLimited, code)
		time.Sleep(time.Second)

		_, err := c.Change(t.Context(), memberChange(999))
		require.NoError(t, err)
	})
}

// roleFunc implements Role.
type roleFunc func() bool

func (f roleFunc) IsWatcher() bool { return f() }

func noJitter(d time.Duration) time.Duration { return d }

// Guards against a watcher that puts an older stored configuration in force or
// calls the store without pause while it is down, and against an instance that
// keeps calling the store without the role of a watcher.
func TestWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var k, elsewhere configuration.Keeper

		f := &fakeStore{}

		var released atomic.Bool

		w := NewWatcher(zerolog.Nop(), f, &k, roleFunc(func() bool { return !released.Load() }), noJitter)
		ctx, cancel := context.WithCancel(t.Context())

		go w.Run(ctx)

		time.Sleep(time.Second)
		require.True(t, k.Loaded(), "the store has no configuration, and that is known")

		for n := range uint32(3) {
			_, err := NewStoreChanger(f, &elsewhere).Change(t.Context(), memberChange(n+1))
			require.NoError(t, err)
		}

		old := f.object

		_, err := NewStoreChanger(f, &elsewhere).Change(t.Context(), memberChange(4))
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(4), k.Configuration().Version)

		// The store is set back to an older state with a newer object version.
		f.set(func() { f.object = platform.Object{Version: 99, Value: old.Value} })

		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(4), k.Configuration().Version)

		_, err = NewStoreChanger(f, &k).Change(t.Context(), memberChange(50))
		fate, code := fateOf(t, err)
		require.Equal(t, domain.FateNotRun, fate)
		require.Equal(t, domain.CodeStoreReverted, code)

		f.set(func() { f.down, f.gets = true, nil })
		time.Sleep(time.Minute)
		f.set(func() {
			require.Less(t, len(f.gets), 25, "calls in a minute of outage")
			require.Greater(t, len(f.gets), 5)
		})

		released.Store(true)
		time.Sleep(10 * time.Second)
		f.set(func() { f.gets = nil })
		time.Sleep(time.Minute)
		f.set(func() { require.Empty(t, f.gets) })
		cancel()
		synctest.Wait()
	})
}
