package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testProof = 4 * time.Second

// heldUpSource delays the answers of a source on their way back.
type heldUpSource struct {
	*scriptedSource

	by time.Duration
}

func (s *heldUpSource) Watch(ctx context.Context, revision Revision, wait time.Duration) ([]Change[int], Revision, error) {
	changes, next, err := s.scriptedSource.Watch(ctx, revision, wait)
	time.Sleep(s.by)

	return changes, next, err
}

// Guards against acting on keys that the store may have taken away since: the proof that a copy
// is the newest counts from the sending of the call that showed it, and ends with the store's
// answers. Stale lists, copies, positions of others that are too old, and positions with a change
// that is missing here prove nothing.
func TestProof(t *testing.T) {
	start := func(t *testing.T, source Source[int]) *Follower[int] {
		t.Helper()

		f := newFollower(&scriptedSource{}, &recordingSink{})
		f.Source, f.Bound, f.Proof, f.Pause = source, testProof, testProof, 400*time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})

		go func() {
			f.Run(ctx)
			close(done)
		}()

		t.Cleanup(func() {
			cancel()
			<-done
		})

		return f
	}

	t.Run("while the store answers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := start(t, &scriptedSource{})
			require.False(t, f.Proven(), "nothing is known at the start")

			for range 200 {
				time.Sleep(100 * time.Millisecond)
				require.True(t, f.Proven())
			}
		})
	})

	t.Run("after its last answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSource{}
			f := start(t, s)
			time.Sleep(10 * time.Second)

			s.setSilent(true)
			time.Sleep(testProof)
			require.False(t, f.Proven())
		})
	})

	t.Run("answers held up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := start(t, &heldUpSource{&scriptedSource{}, 1500 * time.Millisecond})
			time.Sleep(20 * time.Second)
			require.GreaterOrEqual(t, f.Position().Age, 1500*time.Millisecond)
		})
	})

	t.Run("by others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFollower(&scriptedSource{}, &recordingSink{})
			f.Bound, f.Proof = testProof, testProof
			f.progress.listed(at(7), true, time.Now())
			require.False(t, f.Proven(), "a stale list proves nothing")

			f.progress.copied(at(8))
			require.False(t, f.Proven(), "a copy proves nothing")

			asked := time.Now()
			time.Sleep(time.Second)
			f.Confirm(Position{Changed: at(9)}, asked)
			require.False(t, f.Proven(), "a change is missing")

			f.Confirm(Position{Changed: at(8), Age: testProof}, asked)
			require.False(t, f.Proven(), "the position is too old")

			f.Confirm(Position{Changed: at(8), Age: time.Second}, asked)
			require.True(t, f.Proven())

			time.Sleep(testProof - 2*time.Second)
			require.True(t, f.Proven())
			time.Sleep(time.Millisecond)
			require.False(t, f.Proven(), "it counts from the question, less the position's age")
		})
	})
}
