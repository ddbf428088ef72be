package searcher

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"
)

// meanWeight is the weight of the newest service time in the running mean.
const meanWeight = 1.0 / 16

var (
	errFull     = errors.New("queue is full")
	errLate     = errors.New("time left doesn't cover the expected wait")
	errDeadline = errors.New("deadline passed in the queue")
)

// queue grants slots to requests in the order of their arrival.
type queue struct {
	mu      sync.Mutex // Guards the fields below.
	running int
	waiting list.List // Of chan struct{}, closed when the slot is granted.
	mean    time.Duration
}

// limits apply to one acquire.
type limits struct {
	slots      int
	queueLimit int
	shedLate   bool
	// timeLeft is the time to the request's deadline; 0 means no deadline.
	timeLeft time.Duration
}

// acquire waits for a slot. On an error the request has neither a slot nor a
// place in the queue; it is errFull, errLate, errDeadline or that of ctx.
func (q *queue) acquire(ctx context.Context, l limits) error {
	q.mu.Lock()

	if l.shedLate && l.timeLeft > 0 && q.expected(l.slots) > l.timeLeft {
		q.mu.Unlock()

		return errLate
	}

	if q.running < l.slots && q.waiting.Len() == 0 {
		q.running++
		q.mu.Unlock()

		return nil
	}

	if l.queueLimit > 0 && q.waiting.Len() >= l.queueLimit {
		q.mu.Unlock()

		return errFull
	}

	granted := make(chan struct{})
	entry := q.waiting.PushBack(granted)
	q.mu.Unlock()

	return q.wait(ctx, entry, granted, l)
}

func (q *queue) wait(ctx context.Context, entry *list.Element, granted chan struct{}, l limits) error {
	var expired <-chan time.Time

	if l.timeLeft > 0 {
		t := time.NewTimer(l.timeLeft)
		defer t.Stop()

		expired = t.C
	}

	err := errDeadline

	select {
	case <-granted:
		return nil
	case <-expired:
	case <-ctx.Done():
		err = ctx.Err()
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	select {
	case <-granted: // The slot was granted in the meantime; it is passed on.
		q.running--
		q.grantSlots(l.slots)
	default:
		q.waiting.Remove(entry)
	}

	return err
}

// release frees a slot. served is the service time of the request, or 0 if it
// didn't run to the end.
func (q *queue) release(slots int, served time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if served > 0 {
		if q.mean == 0 {
			q.mean = served
		}

		q.mean += time.Duration(meanWeight * float64(served-q.mean))
	}

	q.running--
	q.grantSlots(slots)
}

func (q *queue) load() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.running, q.waiting.Len()
}

// grantSlots gives free slots to the longest waiting requests. The caller holds
// q.mu.
func (q *queue) grantSlots(slots int) {
	for q.running < slots && q.waiting.Len() > 0 {
		granted, _ := q.waiting.Remove(q.waiting.Front()).(chan struct{})
		close(granted)

		q.running++
	}
}

// expected returns the expected wait and service time of a new request. The
// caller holds q.mu.
func (q *queue) expected(slots int) time.Duration {
	ahead := q.running + q.waiting.Len() + 1 - slots

	return q.mean + q.mean*time.Duration(max(ahead, 0))/time.Duration(slots)
}
