package searcher

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/integrity"
	"primrosespring.example/internal/refusal"
)

// fixedOptions returns options of a searcher whose every request takes 10 ms.
func fixedOptions(change func(*Options)) Options {
	o := DefaultOptions()
	o.ID, o.Service, o.Slots, o.MedianMS, o.Sigma = "a", "portal", 1, 10, 0

	if change != nil {
		change(&o)
	}

	return o
}

func newServer(t *testing.T, change func(*Options)) *Server {
	t.Helper()

	s, err := New(fixedOptions(change))
	require.NoError(t, err)

	return s
}

func request(id string) *pb.RunRequest {
	return &pb.RunRequest{
		Service: "portal", QueryId: id, Query: "q " + id, Snapshot: &pb.Snapshot{IndexVersion: 1, PartitionMapVersion: 1},
	}
}

func requireRefusal(t *testing.T, err error, fate domain.Fate, code domain.Code) {
	t.Helper()
	require.Error(t, err)

	e := refusal.FromConnect(err, "", "")
	require.Equal(t, code, e.Code)
	require.Equal(t, fate, e.Fate)
}

// Guards against a queue that isn't FIFO or isn't bounded.
func TestQueueIsBoundedAndInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, func(o *Options) { o.QueueLimit = 3 })
		done := make(chan string, 4)

		for i := range 4 {
			go func() {
				if _, err := s.Run(t.Context(), request(strconv.Itoa(i))); err == nil {
					done <- strconv.Itoa(i)
				}
			}()
			synctest.Wait()
		}

		_, err := s.Run(t.Context(), request("too many"))
		requireRefusal(t, err, domain.FateNotRun, domain.CodeOverloaded)

		for i := range 4 {
			require.Equal(t, strconv.Itoa(i), <-done)
		}

		require.EqualValues(t, 4, s.stats().Runs)
		require.EqualValues(t, 1, s.stats().Sheds)
	})
}

// Guards against a searcher that queues requests which it can't finish in time
// although ShedLate is set.
func TestShedsWhenTheTimeLeftIsTooShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, func(o *Options) { o.ShedLate = true })
		_, err := s.Run(t.Context(), request("sets the mean"))
		require.NoError(t, err)

		go func() { _, _ = s.Run(t.Context(), request("running")) }()
		synctest.Wait()

		r := request("late")
		r.TimeoutUs = 15_000
		_, err = s.Run(t.Context(), r)
		requireRefusal(t, err, domain.FateNotRun, domain.CodeOverloaded)

		r.TimeoutUs = 25_000
		_, err = s.Run(t.Context(), r)
		require.NoError(t, err)
	})
}

// Guards against a cancelled request that keeps its slot or its place in the
// queue, or that gets the wrong fate.
func TestCancellationFreesSlotAndPlaceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		begin := time.Now()
		run := func() (context.CancelFunc, chan error) {
			ctx, cancel := context.WithCancel(t.Context())
			c := make(chan error, 1)

			go func() {
				_, err := s.Run(ctx, request("x"))
				c <- err
			}()
			synctest.Wait()

			return cancel, c
		}

		cancelRunning, running := run()
		cancelQueued, queued := run()
		_, last := run()

		cancelQueued()
		requireRefusal(t, <-queued, domain.FateNotRun, domain.CodeCancelled)
		cancelRunning()
		requireRefusal(t, <-running, domain.FateRan, domain.CodeCancelled)
		require.NoError(t, <-last)
		require.Equal(t, 10*time.Millisecond, time.Since(begin))
	})
}

// Guards against ignored deadlines, and against a wrong fate after a deadline.
func TestDeadlineIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		r := request("short")
		r.TimeoutUs = 4_000

		_, err := s.Run(t.Context(), r)
		requireRefusal(t, err, domain.FateRan, domain.CodeDeadline)

		go func() { _, _ = s.Run(t.Context(), request("running")) }()
		synctest.Wait()

		_, err = s.Run(t.Context(), r)
		requireRefusal(t, err, domain.FateNotRun, domain.CodeDeadline)
	})
}

// Guards against a drain that interrupts work, isn't reported, or doesn't
// count the requests that still arrive.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)

		go func() {
			time.Sleep(5 * time.Millisecond)
			s.Drain(20*time.Millisecond, false)
		}()

		resp, err := s.Run(t.Context(), request("before"))
		require.NoError(t, err)
		require.True(t, resp.GetLoad().GetDraining())

		_, err = s.Run(t.Context(), request("in the grace time"))
		require.NoError(t, err)

		time.Sleep(10 * time.Millisecond)

		_, err = s.Run(t.Context(), request("after it"))
		requireRefusal(t, err, domain.FateNotRun, domain.CodeSearcherDraining)

		require.Equal(t, 2, s.stats().NewAfterDrain)
		require.InDelta(t, 25, s.stats().LastNewAfterDrainMS, 1e-9)
	})
}

// Guards against a response from a snapshot that isn't held, also when it is
// dropped while the request is queued, and against hits that don't name their
// snapshot.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		resp, err := s.Run(t.Context(), request("x"))
		require.NoError(t, err)
		require.Equal(t, "portal/0@1.1", resp.GetHits()[0].GetId())
		require.Equal(t, "q x", resp.GetHits()[0].GetBody())

		go func() { _, _ = s.Run(t.Context(), request("running")) }()
		synctest.Wait()

		queued := make(chan error, 1)

		go func() {
			_, err := s.Run(t.Context(), request("queued"))
			queued <- err
		}()
		synctest.Wait()
		s.SetSnapshots("portal", 0, []domain.Snapshot{{IndexVersion: 2, PartitionMapVersion: 1}})
		requireRefusal(t, <-queued, domain.FateNotRun, domain.CodeSnapshotGone)

		r := request("y")
		r.Snapshot.IndexVersion = 2
		_, err = s.Run(t.Context(), r)
		require.NoError(t, err)
	})
}

// Guards against corrupt responses with a valid checksum, crossed responses
// with an invalid one or with the caller's query id, and late ones that aren't
// late.
func TestResponseFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		s.faults.Store(&Faults{CorruptShare: 1})

		for range 8 {
			resp, err := s.Run(t.Context(), request("x"))
			require.NoError(t, err)
			require.NotEqual(t, integrity.RunChecksum(resp), resp.GetChecksum())
		}

		s.faults.Store(&Faults{CrossedShare: 1})

		// Each query is sent twice, as by two attempts.
		for i := range 8 {
			resp, err := s.Run(t.Context(), request(strconv.Itoa(i/2)))
			require.NoError(t, err)
			require.Equal(t, integrity.RunChecksum(resp), resp.GetChecksum())
			require.NotEqual(t, strconv.Itoa(i/2), resp.GetQueryId())

			if i > 0 && i%2 == 0 {
				require.Equal(t, strconv.Itoa(i/2-1), resp.GetQueryId(), "the response to the previous query")
			}
		}

		s.faults.Store(&Faults{LateShare: 1, LateMS: 30})

		begin := time.Now()
		_, err := s.Run(t.Context(), request("x"))
		require.NoError(t, err)
		require.Equal(t, 40*time.Millisecond, time.Since(begin))
	})
}

// Guards against a second run of a key that isn't counted.
func TestRunsOfAKeyAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		r := request("x")
		r.Key = "k"

		for range 2 {
			resp, err := s.Run(t.Context(), r)
			require.NoError(t, err)
			require.Equal(t, "k:done", resp.GetResult())
		}

		require.Equal(t, map[string]int{"k": 2}, runsByKey([]*Endpoint{{Server: s}}))
	})
}

// Guards against a cold start that isn't slow, doesn't end or isn't reported.
func TestColdStart(t *testing.T) {
	s := newServer(t, func(o *Options) { o.ColdFactor, o.ColdRequests = 5, 4 })

	for _, want := range []time.Duration{50, 40, 30, 20, 10, 10} {
		require.Equal(t, want > 10, s.load().GetCold())
		require.Equal(t, want*time.Millisecond, s.startRun(s.options.Load(), ""))
	}

	require.False(t, s.load().GetCold())
	s.Restart()
	require.True(t, s.load().GetCold())
}

// Guards against service times that don't follow the options.
func TestServiceTimes(t *testing.T) {
	s := newServer(t, func(o *Options) { o.StragglerShare, o.StragglerFactor, o.SlowFactor = 0.02, 20, 2 })
	slow := 0

	for range 10_000 {
		switch d := s.startRun(s.options.Load(), ""); d {
		case 20 * time.Millisecond:
		case 400 * time.Millisecond:
			slow++
		default:
			require.Fail(t, "unexpected service time", d)
		}
	}

	require.InDelta(t, 200, slow, 60)
}

// Guards against a status that ignores the lag or the mode of the options.
func TestStatusModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, func(o *Options) { o.StatusLagMS = 100 })
		status := func() *pb.GetStatusResponse {
			r, err := s.GetStatus(t.Context(), &pb.GetStatusRequest{})
			require.NoError(t, err)

			return r
		}

		status()
		time.Sleep(50 * time.Millisecond)
		s.Drain(0, false)
		require.False(t, status().GetLoad().GetDraining())
		time.Sleep(99 * time.Millisecond)
		require.False(t, status().GetLoad().GetDraining())
		time.Sleep(time.Millisecond)
		require.True(t, status().GetLoad().GetDraining())

		s.SetOptions(fixedOptions(func(o *Options) { o.StatusMode = StatusHealthy }))
		require.False(t, status().GetLoad().GetDraining())
		s.SetOptions(fixedOptions(func(o *Options) { o.StatusMode = StatusUnhealthy }))
		require.False(t, status().GetHealthy())
	})
}
