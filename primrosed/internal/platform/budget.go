package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// The fleet's budget is a quarter of the rates that the platform sustains:
	// several hundred writes, taken as 400, and 2,000 reads per second.
	fleetWritesPerSecond = 100
	fleetReadsPerSecond  = 500
	// The limits of one instance, however few live instances it sees.
	instanceWritesPerSecond = 50
	instanceReadsPerSecond  = 200
	// A burst may use the tokens of burstSeconds, but at least minBurst.
	burstSeconds = 2
	minBurst     = 10
	// defaultFleetSize is used when the number of live instances isn't known.
	defaultFleetSize = 9
)

// Fleet provides the number of instances that share the platform's rates.
type Fleet interface {
	// LiveInstances returns the number of live instances; 0 means unknown.
	LiveInstances() int
}

// callBudget is a token bucket whose rate, in calls per second, is the lower of
// the instance's limit and its share of the fleet's budget.
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

// wait takes a token. It returns an error at once if none becomes available
// before the deadline of ctx.
func (b *callBudget) wait(ctx context.Context) error { return b.currentLimiter().Wait(ctx) }

// currentLimiter returns the limiter, adjusted to the number of live instances.
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

// backoff delays calls after consecutive failures: exponentially, with full
// jitter.
type backoff struct {
	jitter func(limit time.Duration) time.Duration

	mu       sync.Mutex // Guards the fields below.
	maxDelay time.Duration
	until    time.Time
}

// wait blocks until the next call is allowed. It returns an error at once if
// that is after the deadline of ctx, so that a request is refused while the
// store is down rather than held until its deadline.
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

// failed doubles the maximum delay, unless the delay after an earlier failure
// is still running: calls that fail together count once.
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

// succeeded ends the backoff.
func (b *backoff) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.maxDelay, b.until = 0, time.Time{}
}

// inactive reports whether no call has failed since the last success.
func (b *backoff) inactive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.maxDelay == 0
}
