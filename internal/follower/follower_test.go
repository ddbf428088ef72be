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

// script answers calls in turn and records them.
type script struct {
	mu    sync.Mutex // Guards calls, fail and pieces.
	calls []string
	// fail holds the error codes of the calls in turn; an empty code succeeds.
	fail []domain.Code
	// silent lets a call hang until its context ends.
	silent bool
	events chan Change[int]
	// pieces are the sizes of the answers to watches, before events.
	pieces []int
}

func (s *script) next(ctx context.Context, call string) error {
	s.mu.Lock()
	s.calls = append(s.calls, call)

	var code domain.Code
	if len(s.fail) > 0 && !s.silent {
		code, s.fail = s.fail[0], s.fail[1:]
	}
	s.mu.Unlock()

	if s.silent {
		<-ctx.Done()

		return ctx.Err()
	}

	if code == "" {
		return nil
	}

	return domain.Errorf(domain.FateUnknown, code, "call", "scripted")
}

// seen returns the calls so far.
func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.calls)
}

// succeed ends the failures.
func (s *script) succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.fail = nil
}

// piece returns the size of the next answer, or 0.
func (s *script) piece() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.pieces) == 0 {
		return 0
	}

	n := s.pieces[0]
	s.pieces = s.pieces[1:]

	return n
}

func (s *script) List(ctx context.Context, stale bool) ([]int, uint64, error) {
	err := s.next(ctx, fmt.Sprintf("list stale=%t", stale))

	return []int{1, 2}, 7, err
}

func (s *script) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]Change[int], uint64, error) {
	if err := s.next(ctx, fmt.Sprintf("watch %d", revision)); err != nil {
		return nil, 0, err
	}

	if n := s.piece(); n > 0 {
		return make([]Change[int], n), revision + uint64(n), nil
	}

	select {
	case c := <-s.events:
		return []Change[int]{c}, revision + 1, nil
	case <-time.After(wait):
		return nil, revision, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// record is a sink that writes down what it gets.
type record struct {
	mu  sync.Mutex // Guards got.
	got []string
}

func (r *record) note(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.got = append(r.got, line)
}

func (r *record) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.got)
}

func (r *record) Replace(items []int) { r.note(fmt.Sprint("replace ", items)) }
func (r *record) Apply(list []Change[int]) {
	for _, c := range list {
		r.note(fmt.Sprint("apply ", c.Item, c.Removed))
	}
}
func (r *record) Returned() { r.note("returned") }

func follow(s *script, r *record) *Follower[int] {
	return &Follower[int]{
		Log: zerolog.New(io.Discard), Name: "numbers", Source: s, Sink: r, Pause: 500 * time.Millisecond,
	}
}

// Guards against a watch that leaves a gap after the list, and against one call
// for each of many changes.
func TestFollowerListsThenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{events: make(chan Change[int], 8)}, &record{}

		go follow(s, r).Run(ctx)

		time.Sleep(time.Second)
		s.events <- Change[int]{Item: 3}
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7"}, s.seen())
		require.Equal(t, []string{"replace [1 2]", "apply 3 false"}, r.lines())
		time.Sleep(time.Second)
		require.Equal(t, []string{"list stale=true", "watch 7", "watch 8"}, s.seen(), "a pause follows each watch")
		cancel()
		synctest.Wait()
	})
}

// Guards against a second watch on history that is gone, and against a stale
// list after it, which may be older than what is left.
func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{events: make(chan Change[int]), fail: []domain.Code{"", domain.CodeHistoryGone}}, &record{}

		go follow(s, r).Run(ctx)

		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7", "list stale=false", "watch 7"}, s.seen())
		cancel()
		synctest.Wait()
	})
}

// Guards against a store that is hammered while it is away, one that is found
// again too late, and a sink that isn't told before the changes.
func TestFollowerWaitsOutAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{events: make(chan Change[int], 1)}, &record{}
		s.fail = []domain.Code{"", domain.CodeStoreUnavailable, domain.CodeRateLimited}

		for range 20 {
			s.fail = append(s.fail, domain.CodeStoreUnavailable)
		}

		go follow(s, r).Run(ctx)

		time.Sleep(5 * time.Second)

		n := len(s.seen())
		require.Less(t, n, 15, "a second or so between tries")

		s.succeed()
		s.events <- Change[int]{Item: 9}
		time.Sleep(time.Second)
		require.Equal(t, []string{"replace [1 2]", "returned", "apply 9 false"}, r.lines())
		require.Greater(t, len(s.seen()), n)
		cancel()
		synctest.Wait()
	})
}

// Guards against a pause between the pieces of a long backlog: instances that the
// store had turned away learned of a drain 6 s late, since they read thousands of
// changes some hundreds at a time (DRAIN on agreca-busqueda-grown, trouble-1, seed
// 383469677873).
func TestFollowerReadsABacklogWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{events: make(chan Change[int]), pieces: []int{500, 500, 480, 3}}, &record{}

		go follow(s, r).Run(ctx)

		time.Sleep(600 * time.Millisecond)
		require.Equal(t, []string{"list stale=true", "watch 7", "watch 507", "watch 1007", "watch 1487"}, s.seen())
		require.Len(t, r.lines(), 1+500+500+480+3)
		cancel()
		synctest.Wait()
	})
}

// Guards against a watch that hangs although changes were made, on a connection
// whose middle acknowledges and forwards nothing (soak, seed 1004), and against
// a call for each of many suspicions.
func TestFollowerRestartsASuspectWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{events: make(chan Change[int])}, &record{}
		suspicions := make(chan struct{}, 1)
		f := follow(s, r)
		f.Suspicions = suspicions

		go f.Run(ctx)

		time.Sleep(time.Second)

		for range 100 {
			select {
			case suspicions <- struct{}{}:
			default:
			}

			time.Sleep(50 * time.Millisecond)
		}

		require.Equal(t, []string{"list stale=true", "watch 7", "watch 7"}, s.seen(), "the second one runs for longer")
		require.Equal(t, []string{"replace [1 2]"}, r.lines(), "a suspicion is no outage")
		cancel()
		synctest.Wait()
	})
}

// Guards against a watch on a connection that has gone silent without a reset.
func TestFollowerGivesUpASilentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, r := &script{silent: true}, &record{}

		go follow(s, r).Run(ctx)

		time.Sleep(listTimeout + time.Second)
		require.Len(t, s.seen(), 2)
		cancel()
		synctest.Wait()
	})
}
