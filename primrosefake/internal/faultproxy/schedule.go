package faultproxy

import (
	"container/heap"
	"sync"
	"time"
)

// alarm wakes one waiter at a settable time.
type alarm interface {
	// set replaces the time at which wait returns.
	set(at time.Time)
	// wait blocks until the time that was set; it may return early. It reports
	// false once the alarm is closed.
	wait() bool
	close()
}

// schedule wakes any number of sleepers with one alarm.
type schedule struct {
	alarm alarm

	mu       sync.Mutex // Guards sleepers.
	sleepers sleeperHeap
}

type sleeper struct {
	at   time.Time
	woke chan struct{}
	// index is the position in the heap, or -1 once the sleeper was woken.
	index int
}

func newSchedule(a alarm) *schedule {
	s := &schedule{alarm: a}

	go s.run()

	return s
}

// sleep waits until at and reports true, or false if done was closed first.
func (s *schedule) sleep(at time.Time, done <-chan struct{}) bool {
	if !at.After(time.Now()) {
		return true
	}

	sl := &sleeper{at: at, woke: make(chan struct{})}

	s.mu.Lock()
	heap.Push(&s.sleepers, sl)

	if sl.index == 0 {
		s.alarm.set(at)
	}
	s.mu.Unlock()

	select {
	case <-sl.woke:
		return true
	case <-done:
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if sl.index >= 0 {
		heap.Remove(&s.sleepers, sl.index)
	}

	return false
}

func (s *schedule) run() {
	for s.alarm.wait() {
		s.wakeDue()
	}
}

func (s *schedule) wakeDue() {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()

	for len(s.sleepers) > 0 {
		next := s.sleepers[0]
		if next.at.After(now) {
			s.alarm.set(next.at)

			return
		}

		heap.Pop(&s.sleepers)
		close(next.woke)
	}
}

// sleeperHeap implements heap.Interface, ordered by wake-up time.
type sleeperHeap []*sleeper

func (h sleeperHeap) Len() int           { return len(h) }
func (h sleeperHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h sleeperHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *sleeperHeap) Push(v any) {
	sl, _ := v.(*sleeper)
	sl.index = len(*h)
	*h = append(*h, sl)
}

// Pop implements heap.Interface.
func (h *sleeperHeap) Pop() any {
	old := *h
	sl := old[len(old)-1]
	old[len(old)-1] = nil
	sl.index = -1
	*h = old[:len(old)-1]

	return sl
}

// timerAlarm is an alarm that uses a Go timer. On Linux it may fire up to a
// millisecond late in an idle process, since the network poller waits in whole
// milliseconds.
type timerAlarm struct {
	timer  *time.Timer
	closed chan struct{}
}

func newTimerAlarm() *timerAlarm {
	return &timerAlarm{time.NewTimer(time.Hour), make(chan struct{})}
}

func (a *timerAlarm) set(at time.Time) { a.timer.Reset(time.Until(at)) }

func (a *timerAlarm) wait() bool {
	select {
	case <-a.timer.C:
		return true
	case <-a.closed:
		return false
	}
}

func (a *timerAlarm) close() { close(a.closed) }
