package follower

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

// scriptedSource is a Source with scripted answers. It records the calls.
type scriptedSource struct {
	mu    sync.Mutex // Guards calls, fail, silent and batches.
	calls []string
	// fail holds the error codes of the next calls; an empty code succeeds.
	fail []domain.Code
	// silent makes calls hang until their context ends, failing has them refused at once.
	silent, failing bool
	// cuts is how many more watches are cut off after they have waited for a while.
	cuts   int
	events chan Change[int]
	// batches are the sizes of the first answers to watches; events follow them.
	batches []int
}

func (s *scriptedSource) next(ctx context.Context, call string) error {
	s.mu.Lock()
	s.calls = append(s.calls, call)

	var code domain.Code
	if len(s.fail) > 0 && !s.silent {
		code, s.fail = s.fail[0], s.fail[1:]
	}

	if s.failing {
		code = domain.CodeStoreUnavailable
	}

	silent := s.silent
	s.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	if code == "" {
		return nil
	}

	return domain.Errorf(domain.FateUnknown, code, "call", "scripted")
}

// recorded returns the calls made so far.
func (s *scriptedSource) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.calls)
}

// setSilent begins or ends a silence.
func (s *scriptedSource) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.silent = silent
}

// setFailing begins or ends a time in which calls are refused.
func (s *scriptedSource) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.failing = failing
}

// cutOff cuts off the next watches, after cutAfter each.
func (s *scriptedSource) cutOff(watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.cuts = watches
}

// cutAfter is how long a watch waits until it is cut off.
const cutAfter = 150 * time.Millisecond

// isCut waits and reports whether the watch is cut off.
func (s *scriptedSource) isCut(wait time.Duration) bool {
	s.mu.Lock()
	cut := s.cuts > 0
	s.cuts = max(s.cuts-1, 0)
	s.mu.Unlock()

	if cut {
		time.Sleep(min(cutAfter, wait))
	}

	return cut
}

// succeed ends the failures.
func (s *scriptedSource) succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.fail = nil
}

// nextBatch returns the size of the next batch, or 0 if none is left.
func (s *scriptedSource) nextBatch() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.batches) == 0 {
		return 0
	}

	n := s.batches[0]
	s.batches = s.batches[1:]

	return n
}

// at returns a revision of a store that states no era.
func at(number uint64) Revision { return Revision{Number: number} }

func (s *scriptedSource) List(ctx context.Context, stale bool) ([]int, Revision, error) {
	err := s.next(ctx, fmt.Sprintf("list stale=%t", stale))

	return []int{1, 2}, at(7), err
}

func (s *scriptedSource) Watch(ctx context.Context, revision Revision, wait time.Duration) ([]Change[int], Revision, error) {
	if err := s.next(ctx, fmt.Sprintf("watch %d", revision.Number)); err != nil {
		return nil, Revision{}, err
	}

	if s.isCut(wait) {
		return nil, Revision{}, domain.Errorf(domain.FateUnknown, domain.CodeStoreUnavailable, "watch", "cut off")
	}

	if n := s.nextBatch(); n > 0 {
		return make([]Change[int], n), at(revision.Number + uint64(n)), nil
	}

	select {
	case c := <-s.events:
		return []Change[int]{c}, at(revision.Number + 1), nil
	case <-time.After(wait):
		return nil, revision, nil
	case <-ctx.Done():
		return nil, Revision{}, ctx.Err()
	}
}

// recordingSink is a Sink that records the calls.
type recordingSink struct {
	mu  sync.Mutex // Guards got.
	got []string
}

func (r *recordingSink) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.got = append(r.got, line)
}

func (r *recordingSink) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.got)
}

func (r *recordingSink) Replace(items []int) { r.add(fmt.Sprint("replace ", items)) }
func (r *recordingSink) Apply(list []Change[int]) {
	for _, c := range list {
		r.add(fmt.Sprint("apply ", c.Item, c.Removed))
	}
}
func (r *recordingSink) StoreRecovered() { r.add("store recovered") }
func (r *recordingSink) StoreRestored()  { r.add("store restored") }

func newFollower(s *scriptedSource, r *recordingSink) *Follower[int] {
	return &Follower[int]{
		Log: zerolog.New(io.Discard), Name: "numbers", Source: s, Sink: r, Pause: 500 * time.Millisecond,
	}
}

// Guards against a gap between the list and the first watch, and against one call
// for each of many changes.
func TestFollowerListsThenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int], 8)}, &recordingSink{}

		go newFollower(s, r).Run(ctx)

		time.Sleep(time.Second)
		s.events <- Change[int]{Item: 3}
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7"}, s.recorded())
		require.Equal(t, []string{"replace [1 2]", "apply 3 false"}, r.lines())
		time.Sleep(time.Second)
		require.Equal(t, []string{"list stale=true", "watch 7", "watch 8"}, s.recorded(), "a pause follows each watch")
		cancel()
		synctest.Wait()
	})
}

// Guards against a second watch on history that is gone, and against a stale
// list after it, which may be older than the remaining history.
func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int]), fail: []domain.Code{"", domain.CodeHistoryGone}}, &recordingSink{}

		go newFollower(s, r).Run(ctx)

		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7", "list stale=false", "watch 7"}, s.recorded())
		cancel()
		synctest.Wait()
	})
}

// Guards against retrying too often during an outage, noticing the recovery too
// late, and a sink that gets changes before StoreRecovered.
func TestFollowerWaitsOutAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int], 1)}, &recordingSink{}
		s.fail = []domain.Code{"", domain.CodeStoreUnavailable, domain.CodeRateLimited}

		for range 20 {
			s.fail = append(s.fail, domain.CodeStoreUnavailable)
		}

		go newFollower(s, r).Run(ctx)

		time.Sleep(5 * time.Second)

		n := len(s.recorded())
		require.Less(t, n, 15, "about a second between retries")

		s.succeed()
		s.events <- Change[int]{Item: 9}
		time.Sleep(time.Second)
		require.Equal(t, []string{"replace [1 2]", "store recovered", "apply 9 false"}, r.lines())
		require.Greater(t, len(s.recorded()), n)
		cancel()
		synctest.Wait()
	})
}

// Guards against pauses between the batches of a long backlog: instances that the
// store had refused learned of a drain 6 s late, since they read thousands of
// changes some hundreds at a time (rule DRAIN broken on deployment
// agreca-busqueda-grown, test day trouble-1, seed 383469677873).
func TestFollowerReadsABacklogWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int]), batches: []int{500, 500, 480, 3}}, &recordingSink{}

		go newFollower(s, r).Run(ctx)

		time.Sleep(600 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7", "watch 507", "watch 1007", "watch 1487"}, s.recorded())
		require.Len(t, r.lines(), 1+500+500+480+3)
		cancel()
		synctest.Wait()
	})
}

// Guards against a watch that hangs although changes were made, on a connection
// where a middlebox acknowledges and forwards nothing (soak, seed 1004), and
// against a call for each of many hints.
func TestFollowerRestartsAWatchOnAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int])}, &recordingSink{}
		hints := make(chan struct{}, 1)
		f := newFollower(s, r)
		f.RestartHints = hints

		go f.Run(ctx)

		time.Sleep(time.Second)

		for range 100 {
			select {
			case hints <- struct{}{}:
			default:
			}

			time.Sleep(50 * time.Millisecond)
		}

		require.Equal(t, []string{"list stale=true", "watch 7", "watch 7"}, s.recorded(), "the second one runs for longer")
		require.Equal(t, []string{"replace [1 2]"}, r.lines(), "a hint is no outage")
		cancel()
		synctest.Wait()
	})
}

// Guards against a call that hangs on a connection that went silent without a
// reset.
func TestFollowerTimesOutASilentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{silent: true}, &recordingSink{}

		go newFollower(s, r).Run(ctx)

		time.Sleep(listTimeout + time.Second)
		require.Len(t, s.recorded(), 2)
		cancel()
		synctest.Wait()
	})
}

// Guards against requests that are refused for want of searchers which have registered
// meanwhile: after an outage of the store and a restart of all instances, an instance
// listed 33 to 112 of 677 registrations, and paused for 1.5 s before its first watch. Guards
// also against short pauses for as long as a pool has no searcher at all.
func TestHintsShortenPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &scriptedSource{events: make(chan Change[int])}, &recordingSink{}
		f := newFollower(s, r)
		f.Pause = 1500 * time.Millisecond

		hints := make(chan struct{}, 1)
		f.RestartHints = hints

		go f.Run(ctx)

		// Something changes 50 times a second, and a pool lacks searchers all the time.
		repeat := func(interval time.Duration, do func()) {
			for ctx.Err() == nil {
				time.Sleep(interval)
				do()
			}
		}

		go repeat(20*time.Millisecond, func() {
			select {
			case s.events <- Change[int]{Item: 3}:
			default:
			}
		})
		go repeat(10*time.Millisecond, func() {
			select {
			case hints <- struct{}{}:
			default:
			}
		})

		time.Sleep(2 * time.Second)

		watches := len(s.recorded()) - 1
		require.GreaterOrEqual(t, watches, 8, "each watch follows its predecessor within 0.25 s")

		time.Sleep(30 * time.Second)
		require.LessOrEqual(t, len(s.recorded())-1, maxShortened+30*2/3+2, "the pauses are whole again")
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// Guards against an instance that has just started and confirms the state of a stale list
// to others, which may lack a change as well.
func TestStaleListsConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &scriptedSource{events: make(chan Change[int], 1)}
		f := newFollower(s, &recordingSink{})
		f.Bound = 3 * time.Second

		go f.Run(ctx)

		time.Sleep(time.Second)

		p := f.Rely()
		require.Equal(t, Position{Revision: at(7), Changed: at(7), Age: unknownAge}, p)
		require.False(t, f.Confirm(p, time.Now()))

		s.events <- Change[int]{Revision: at(8)}
		time.Sleep(time.Second)
		require.Equal(t, Position{Revision: at(8), Changed: at(8), Age: time.Second}, f.Position())
		cancel()
		synctest.Wait()
	})
}

// Guards against an outage in name only, in whose wake removed searchers are used again: one waiting watch that
// the store cut off, several in a row, and a store that answers the other instances all the while. An outage that
// the others notice as well is one, also if they see its end first, and so is one that ends a watch in silence.
func TestOutages(t *testing.T) {
	const bound = 3 * time.Second

	type play struct {
		f *Follower[int]
		s *scriptedSource
	}

	for name, c := range map[string]struct {
		disturb func(p play)
		outage  bool
	}{
		"one watch is cut off": {func(p play) { p.s.cutOff(1) }, false},
		"some in a row":        {func(p play) { p.s.cutOff(3) }, false},
		"others are answered": {func(p play) {
			p.s.setFailing(true)

			for range 40 {
				time.Sleep(100 * time.Millisecond)
				p.f.Confirm(Position{Changed: at(7)}, time.Now())
				p.f.Rely()
			}

			p.s.setFailing(false)
		}, false},
		"nobody is answered": {func(p play) {
			p.s.setFailing(true)
			time.Sleep(3 * time.Second)
			p.f.Confirm(Position{Changed: at(7)}, time.Now())
			p.f.Rely()
			p.s.setFailing(false)
		}, true},
		"silence": {func(p play) {
			p.s.setSilent(true)
			time.Sleep(3 * time.Second)
			p.s.setSilent(false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s, r := &scriptedSource{events: make(chan Change[int], 1)}, &recordingSink{}
				f := newFollower(s, r)
				f.Bound, f.FollowOthers = bound, true

				go f.Run(ctx)

				for range 30 {
					time.Sleep(100 * time.Millisecond)
					f.Rely()
				}

				c.disturb(play{f, s})

				for range 20 {
					time.Sleep(100 * time.Millisecond)
					f.Rely()
				}

				require.Equal(t, c.outage, slices.Contains(r.lines(), "store recovered"), "%v", r.lines())
				cancel()
				synctest.Wait()
			})
		})
	}
}
