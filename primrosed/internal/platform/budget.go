package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// The fleet's budget is a quarter of the rates that the platform stands:
	// several hundred writes, taken as 400, and 2,000 reads a second.
	fleetWritesPerSecond = 100
	fleetReadsPerSecond  = 500
	// An instance never calls faster than this, however small the fleet seems.
	instanceWritesPerSecond = 50
	instanceReadsPerSecond  = 200
	// burstSeconds is how many seconds of its rate an instance may save up.
	burstSeconds = 2
	minBurst     = 10
	// defaultFleetSize is used when the number of live instances isn't known.
	defaultFleetSize = 9
)

// Fleet tells how many instances share the platform's rates.
type Fleet interface {
	// LiveInstances returns 0 if the number isn't known.
	LiveInstances() int
}

// callBudget is a token bucket whose rate is the lower of the instance's limit
// and its share of the fleet's.
type callBudget struct {
	fleet        Fleet
	fleetRate    float64
	instanceRate float64

	mu      sync.Mutex // Guards live, and limiter's creation.
	live    int
	limiter *rate.Limiter
}

func newCallBudget(fleet Fleet, fleetRate, instanceRate float64) *callBudget {
	return &callBudget{fleet: fleet, fleetRate: fleetRate, instanceRate: instanceRate}
}

// wait takes a token. It returns an error at once if none comes before ctx
// ends.
func (b *callBudget) wait(ctx context.Context) error { return b.currentLimiter().Wait(ctx) }

func (b *callBudget) currentLimiter() *rate.Limiter {
	live := 0
	if b.fleet != nil {
		live = b.fleet.LiveInstances()
	}

	if live <= 0 {
		live = defaultFleetSize
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	if live == b.live {
		return b.limiter
	}

	perSecond := min(b.fleetRate/float64(live), b.instanceRate)
	burst := max(int(perSecond*burstSeconds), minBurst)

	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	} else {
		b.limiter.SetLimit(rate.Limit(perSecond))
		b.limiter.SetBurst(burst)
	}

	b.live = live

	return b.limiter
}

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff spaces calls after failures in a row, with full jitter.
type backoff struct {
	jitter func(limit time.Duration) time.Duration

	mu       sync.Mutex // Guards all below.
	maxDelay time.Duration
	until    time.Time
}

// wait blocks until the next call is due. It returns an error at once if that
// is after ctx ends, so that a request is refused while the store is down
// rather than held until its deadline.
func (b *backoff) wait(ctx context.Context) error {
	b.mu.Lock()
	until := b.until
	b.mu.Unlock()

	if !time.Now().Before(until) {
		return nil
	}

	if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
		return errBackingOff
	}

	t := time.NewTimer(time.Until(until))
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// failed lengthens the limit, unless the backoff of an earlier failure is
// still running: calls that fail together count once.
func (b *backoff) failed() {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := time.Now()
	if now.Before(b.until) {
		return
	}

	b.maxDelay = min(max(2*b.maxDelay, minBackoff), maxBackoff)
	b.until = now.Add(b.jitter(b.maxDelay))
}

func (b *backoff) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.maxDelay, b.until = 0, time.Time{}
}

func (b *backoff) inactive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.maxDelay == 0
}
