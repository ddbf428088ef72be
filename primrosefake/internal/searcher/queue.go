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

// queue gives a number of slots to requests in the order of their arrival.
type queue struct {
	mu      sync.Mutex // Guards all below.
	running int
	waiting list.List // Of chan struct{}, closed when the slot is given.
	mean    time.Duration
}

// limits bound one entry into the queue.
type limits struct {
	slots    int
	queued   int
	shedLate bool
	// left is the time left of the request; 0 means no deadline.
	left time.Duration
}

// enter waits for a slot. On an error the request holds neither a slot nor a
// place; it is errFull, errLate, errDeadline or that of ctx.
func (q *queue) enter(ctx context.Context, l limits) error {
	q.mu.Lock()

	if l.shedLate && l.left > 0 && q.expected(l.slots) > l.left {
		q.mu.Unlock()

		return errLate
	}

	if q.running < l.slots && q.waiting.Len() == 0 {
		q.running++
		q.mu.Unlock()

		return nil
	}

	if l.queued > 0 && q.waiting.Len() >= l.queued {
		q.mu.Unlock()

		return errFull
	}

	given := make(chan struct{})
	place := q.waiting.PushBack(given)
	q.mu.Unlock()

	return q.wait(ctx, place, given, l)
}

func (q *queue) wait(ctx context.Context, place *list.Element, given chan struct{}, l limits) error {
	var expired <-chan time.Time

	if l.left > 0 {
		t := time.NewTimer(l.left)
		defer t.Stop()

		expired = t.C
	}

	err := errDeadline

	select {
	case <-given:
		return nil
	case <-expired:
	case <-ctx.Done():
		err = ctx.Err()
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	select {
	case <-given: // The slot was given at the same moment; it is passed on.
		q.running--
		q.giveFree(l.slots)
	default:
		q.waiting.Remove(place)
	}

	return err
}

// leave frees a slot. served is the time that the request took in it, or 0 if
// that says nothing about the service time.
func (q *queue) leave(slots int, served time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if served > 0 {
		if q.mean == 0 {
			q.mean = served
		}

		q.mean += time.Duration(meanWeight * float64(served-q.mean))
	}

	q.running--
	q.giveFree(slots)
}

func (q *queue) load() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.running, q.waiting.Len()
}

func (q *queue) giveFree(slots int) {
	for q.running < slots && q.waiting.Len() > 0 {
		given, _ := q.waiting.Remove(q.waiting.Front()).(chan struct{})
		close(given)

		q.running++
	}
}

// expected returns the expected wait and service time of a new request.
func (q *queue) expected(slots int) time.Duration {
	ahead := q.running + q.waiting.Len() + 1 - slots

	return q.mean + q.mean*time.Duration(max(ahead, 0))/time.Duration(slots)
}
