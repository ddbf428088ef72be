package budget

import (
	"math"
	"sync"
	"time"

	"primrosespring.example/internal/outcome"
)

// Limit is the number of extra attempts that a pool of searchers allows in any
// span of Window, summed over all instances.
type Limit struct {
	// Ratio is how many extra attempts are allowed for each request.
	Ratio float64
	// Slack is how many more are allowed, for all instances together.
	Slack int
	// Window is the length of the span.
	Window time.Duration
}

const (
	// buckets is the number of buckets in a window; a bucket counts in full until
	// all of it has left the window.
	buckets = 20
	// ratioShare is the share of the ratio that an instance uses. The rest covers
	// requests that a caller counts in another window than the instance does.
	ratioShare = 0.9
	// slackShare is the share of the slack that instances divide among them; the
	// rest covers instances that have just started and aren't counted yet.
	slackShare = 0.85
	// outcomeWeight is the weight of the latest outcome in the failure rate. It
	// lets the rate adapt to a change within some tens of attempts.
	outcomeWeight = 1.0 / 16
	// normalFailureRate is the failure rate up to which no budget is insufficient:
	// retries are rare then, and any budget can pay for them.
	normalFailureRate = 0.2
	// outcomeDecay is the time after which an outcome has lost two thirds of its
	// weight, so that requests are tried again after a time with few attempts.
	outcomeDecay = time.Second
)

// Window counts the requests and extra attempts of one pool over a sliding
// window. It keeps an instance's extra attempts within the ratio of its own
// requests and its share of the slack, so that all instances together stay within
// the limit without coordination. The zero value allows no extra attempts until
// SetLimit. It is safe for concurrent use.
type Window struct {
	mu    sync.Mutex // Guards the fields below.
	limit Limit
	// share is the share of the slack, 0 to 1, that this instance may use.
	share    float64
	requests [buckets + 1]int
	extras   [buckets + 1]int
	// failureRate is the recent share of attempts that failed or were refused.
	failureRate outcome.FailureRate
	// current is the number of the newest bucket; bucket 0 starts at origin.
	current int64
	origin  time.Time
	// since is when the process began to count; zero for long ago.
	since time.Time
}

// NewWindow returns a window for a process that began to count at since. The slack
// grows over one window from then on, so that a restarted instance doesn't use its
// share twice.
func NewWindow(since time.Time) *Window { return &Window{since: since} }

// SetLimit sets the limit and the share of the slack, 0 to 1, that this instance
// may use. The shares of all instances must not add up to more than 1.
func (w *Window) SetLimit(l Limit, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.limit, w.share = l, min(max(share, 0), 1)
}

// Request counts one request for the pool.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.roll(now)
	w.requests[w.current%(buckets+1)]++
}

// Take reports whether the limit allows one more extra attempt, and counts it if
// so.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.roll(now)

	if float64(w.sum(&w.extras)+1) > w.allowed(now) {
		return false
	}

	w.extras[w.current%(buckets+1)]++

	return true
}

// Return reverses Take for an attempt that turned out not to be extra. The oldest one that
// still counts is taken from the window, so that no other is forgotten before its time.
func (w *Window) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.roll(now)

	for n := w.current - buckets; n <= w.current; n++ {
		if e := &w.extras[(n+buckets+1)%(buckets+1)]; n >= 0 && *e > 0 {
			*e--

			return
		}
	}
}

// Move counts an attempt that was taken at one time at another, later one.
func (w *Window) Move(from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.limit.Window <= 0 {
		return
	}

	w.roll(to)

	taken := int64(from.Sub(w.origin) / (w.limit.Window / buckets))
	if taken >= w.current {
		return
	}

	// One that has left the window counts again.
	if e := &w.extras[max(taken, 0)%(buckets+1)]; taken >= w.current-buckets && *e > 0 {
		*e--
	}

	w.extras[w.current%(buckets+1)]++
}

// Observe records the outcome of an attempt at the pool: an answer, or else a
// failure or refusal.
func (w *Window) Observe(now time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.failureRate.Add(now, !answered, outcomeWeight, outcomeDecay)
}

// Insufficient reports whether the unspent budget can't pay for the attempts that
// one more request needs at the current failure rate to get an answer from the
// pool in all but missingShare of cases. It is for pools that refuse most
// requests for a while: spread over all requests, the budget would get an answer
// for none.
func (w *Window) Insufficient(now time.Time, missingShare float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	rate := min(w.failureRate.At(now, outcomeDecay), 0.99)
	if rate <= normalFailureRate || missingShare <= 0 || missingShare >= 1 {
		return false
	}

	w.roll(now)

	attempts := math.Ceil(math.Log(missingShare) / math.Log(rate))

	return w.allowed(now)-float64(w.sum(&w.extras)) < attempts-1
}

// Level returns the unspent part of what the window allows now, 0 to 1.
func (w *Window) Level(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.roll(now)

	allowed := w.allowed(now)
	if allowed < 1 {
		return 0
	}

	return min(max(1-float64(w.sum(&w.extras))/allowed, 0), 1)
}

// allowed returns how many extra attempts the window may contain.
func (w *Window) allowed(now time.Time) float64 {
	if w.limit.Window <= 0 {
		return 0
	}

	slack := slackShare * float64(w.limit.Slack) * w.share
	age := min(float64(now.Sub(w.since))/float64(w.limit.Window), 1)

	return w.limit.Ratio*ratioShare*float64(w.sum(&w.requests)-w.requests[w.oldest()]) + age*slack
}

// oldest returns the index of the oldest bucket. The extra attempts in it count, as some are within a window of now,
// but not its requests: others are not.
func (w *Window) oldest() int64 { return (w.current + 1) % (buckets + 1) }

// Use is what a Window has counted in its buckets, the newest last.
type Use struct {
	Requests, Extras []uint32
}

// Use returns what counts now.
func (w *Window) Use(now time.Time) Use {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.roll(now)

	u := Use{Requests: make([]uint32, 0, buckets+1), Extras: make([]uint32, 0, buckets+1)}

	for n := range int64(buckets + 1) {
		i := (w.oldest() + n) % (buckets + 1)
		u.Requests, u.Extras = append(u.Requests, uint32(w.requests[i])), append(u.Extras, uint32(w.extras[i]))
	}

	return u
}

// TakeOver counts what another instance used before this process started, as if this one's predecessor had used the
// same: they share the load, and nobody else knows. Of several instances' uses of a bucket, that with the most extra
// attempts counts.
func (w *Window) TakeOver(now time.Time, u Use) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.limit.Window <= 0 || len(u.Requests) != buckets+1 || len(u.Extras) != buckets+1 {
		return
	}

	w.roll(now)

	length := w.limit.Window / buckets
	inBucket := now.Sub(w.origin) % length

	for ago := range int64(buckets + 1) {
		// Those that begin after the start are this process's own.
		if !now.Add(-inBucket - time.Duration(ago)*length).Before(w.since) {
			continue
		}

		i := (w.current - ago + buckets + 1) % (buckets + 1)
		if n := int(u.Extras[buckets-ago]); n > w.extras[i] {
			w.extras[i], w.requests[i] = n, max(int(u.Requests[buckets-ago]), w.requests[i])
		}
	}
}

func (w *Window) sum(counts *[buckets + 1]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}

	return n
}

// roll advances to the bucket that contains now and clears those that have left
// the window.
func (w *Window) roll(now time.Time) {
	if w.limit.Window <= 0 {
		return
	}

	if w.origin.IsZero() {
		w.origin = now
	}

	bucket := int64(now.Sub(w.origin) / (w.limit.Window / buckets))
	for n := 0; w.current < bucket; n++ {
		if n > buckets {
			w.current = bucket

			break
		}

		w.current++
		w.requests[w.current%(buckets+1)], w.extras[w.current%(buckets+1)] = 0, 0
	}
}
