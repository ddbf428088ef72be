package execute

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosed/internal/platform"
)

const (
	// batchWait is how long the first operation of a bucket waits for others,
	// and busyBatchWait the same for a bucket that was written within busyTime.
	// The latter bounds the writes of all claims, since only the buckets of the
	// present slot are written often.
	batchWait     = 2 * time.Millisecond
	busyBatchWait = 40 * time.Millisecond
	busyTime      = 500 * time.Millisecond
	// lazyWait is how long an operation that nobody waits for may be held back
	// to share a write with a claim.
	lazyWait = 200 * time.Millisecond
	// maxConflictWait bounds the random wait after a lost race for a bucket, for
	// each race lost in a row.
	maxConflictWait = 2 * time.Millisecond
	// maxReadBackWait bounds the random wait before a lost answer is looked up.
	maxReadBackWait = 10 * time.Millisecond
	// maxCachedBytes bounds a bucket that is kept in memory between writes.
	maxCachedBytes = 256 << 10
	// queueIdleTime is how long a queue without operations is kept for its
	// cached bucket. Queues of past slots end after it.
	queueIdleTime = 3 * claims.SlotMS * time.Millisecond
	// maxPending bounds the operations that wait for one bucket.
	maxPending = 1024
)

// Store reads and writes the platform's objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// batcher applies operations to buckets. While one write of a bucket is in
// flight, it gathers the bucket's further operations for the next write.
type batcher struct {
	log    zerolog.Logger
	store  Store
	jitter func(limit time.Duration) time.Duration
	// bucketOf and busyBatchWait are Key.Bucket and the constant but in trials.
	bucketOf      func(claims.Key) claims.BucketID
	busyBatchWait time.Duration

	mu     sync.Mutex // Guards queues, and is locked before a queue's lock.
	queues map[claims.BucketID]*queue
}

func newBatcher(log zerolog.Logger, store Store, jitter func(time.Duration) time.Duration) *batcher {
	return &batcher{
		log: log, store: store, jitter: jitter, bucketOf: claims.Key.Bucket, busyBatchWait: busyBatchWait,
		queues: make(map[claims.BucketID]*queue),
	}
}

// submit applies op and returns the decision once it is durable. The fate of an
// error is FateNotRun if the operation wasn't sent to the store and won't be,
// and FateUnknown if it may have taken or may still take effect. A lazy
// operation may be held back.
func (b *batcher) submit(ctx context.Context, op claims.Operation, lazy bool) (claims.Result, error) {
	w := &waiter{op: op, lazy: lazy, done: make(chan struct{})}
	w.deadline, _ = ctx.Deadline()

	q, err := b.add(w) //nolint:contextcheck // The flush serves several requests, each with its deadline.
	if err != nil {
		return claims.Result{}, err
	}

	select {
	case <-w.done:
		return w.result, w.err
	case <-ctx.Done():
	}

	if q.remove(w) {
		return claims.Result{}, claimError(domain.FateNotRun, domain.CodeDeadline, ctx.Err())
	}

	select {
	case <-w.done:
		return w.result, w.err
	default:
		return claims.Result{}, claimError(domain.FateUnknown, domain.CodeDeadline, ctx.Err())
	}
}

// add puts w into the queue of its bucket.
func (b *batcher) add(w *waiter) (*queue, error) {
	id, now := b.bucketOf(w.op.Key), time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	q := b.queues[id]
	if q == nil {
		b.dropIdle(now)

		q = &queue{batcher: b, bucket: id, urgent: make(chan struct{}, 1)}
		b.queues[id] = q
	}

	q.lastUsed = now

	return q, q.add(w)
}

// dropIdle drops the queues of buckets that are no longer in use. It needs the
// lock.
func (b *batcher) dropIdle(now time.Time) {
	for id, q := range b.queues {
		if now.Sub(q.lastUsed) > queueIdleTime && !q.isRunning() {
			delete(b.queues, id)
		}
	}
}

// flushLazy ends the holding back of lazy operations.
func (b *batcher) flushLazy() {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, q := range b.queues {
		q.markUrgent()
	}
}

// waiter is an operation until its end. result and err are set before done is
// closed.
type waiter struct {
	op       claims.Operation
	lazy     bool
	deadline time.Time // Zero if there is none.
	done     chan struct{}
	result   claims.Result
	err      error
}

func (w *waiter) finish(r claims.Result, err error) {
	w.result, w.err = r, err
	close(w.done)
}

// queue holds the operations of one bucket. At most one goroutine works on it,
// and it ends when nothing is left.
type queue struct {
	batcher  *batcher
	bucket   claims.BucketID
	lastUsed time.Time // The batcher's lock guards it.
	// urgent has an element when an operation came that isn't held back.
	urgent chan struct{}

	mu      sync.Mutex // Guards pending and running.
	pending []*waiter
	running bool

	// cached and version are the bucket last written or read, and lastFlush is the
	// beginning of the last flush; only the working goroutine uses them. Version
	// 0 means that nothing is cached.
	cached    claims.Bucket
	version   uint64
	lastFlush time.Time
}

func (q *queue) add(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.pending) >= maxPending {
		return claimError(domain.FateNotRun, domain.CodeOverloaded, errors.New("too many operations wait for the bucket"))
	}

	q.pending = append(q.pending, w)

	if !w.lazy {
		q.markUrgent()
	}

	if !q.running {
		q.running = true

		go q.work()
	}

	return nil
}

func (q *queue) markUrgent() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// remove takes w off the queue and reports whether it was still there.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	for i, p := range q.pending {
		if p == w {
			q.pending = append(q.pending[:i:i], q.pending[i+1:]...)

			return true
		}
	}

	return false
}

func (q *queue) work() {
	for !q.stopIfEmpty() {
		q.awaitBatch()

		batch := q.takePending()
		if len(batch) == 0 {
			continue // Their waiters gave up.
		}

		metrics.GetOrCreateHistogram("primrosed_claim_batch_size").Update(float64(len(batch)))
		q.lastFlush = time.Now()
		q.flush(batch)
	}
}

func (q *queue) isRunning() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.running
}

// awaitBatch waits for operations to share the next write.
func (q *queue) awaitBatch() {
	held := time.NewTimer(lazyWait)
	defer held.Stop()

	select {
	case <-q.urgent:
		if time.Since(q.lastFlush) < busyTime {
			time.Sleep(q.batcher.busyBatchWait)
		} else {
			time.Sleep(batchWait)
		}
	case <-held.C:
	}
}

// stopIfEmpty reports whether nothing is left; the working goroutine must end then.
func (q *queue) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.running = len(q.pending) > 0

	return !q.running
}

// takePending empties the queue. What was urgent is in the batch, so that it must not
// hurry the operations after it.
func (q *queue) takePending() []*waiter {
	q.mu.Lock()
	defer q.mu.Unlock()

	batch := q.pending
	q.pending = nil

	select {
	case <-q.urgent:
	default:
	}

	return batch
}

// flush makes the batch durable in one conditional write, or finds out that it
// already is. After a lost answer it reads back until it knows or until every
// operation's time is over.
func (q *queue) flush(batch []*waiter) {
	ctx, cancel := flushContext(batch)
	defer cancel()

	f := flushState{queue: q, batch: batch}
	for !f.try(ctx) {
	}
}

// flushContext ends with the last operation that somebody waits for; lazy ones
// count only in a batch of their own, so that they don't keep claims waiting.
func flushContext(batch []*waiter) (context.Context, context.CancelFunc) {
	var last, lastLazy time.Time

	for _, w := range batch {
		switch {
		case w.lazy && w.deadline.After(lastLazy):
			lastLazy = w.deadline
		case !w.lazy && w.deadline.After(last):
			last = w.deadline
		}
	}

	if last.IsZero() {
		last = lastLazy
	}

	if last.IsZero() {
		return context.WithCancel(context.Background())
	}

	return context.WithDeadline(context.Background(), last)
}

// flushState is the state of one flush.
type flushState struct {
	queue *queue
	batch []*waiter
	// uncertain is set once a write's answer was lost.
	uncertain bool
	conflicts int
}

// try makes one attempt and reports whether the flush is over.
func (f *flushState) try(ctx context.Context) bool {
	q := f.queue

	fresh, err := q.load(ctx)
	if err != nil {
		return f.handleError(ctx, err)
	}

	next, results, changed := q.cached.Apply(f.operations())
	if !changed {
		if !fresh {
			q.version = 0 // Another instance may have recorded more.

			return false
		}

		f.finish(results)

		return true
	}

	data, err := next.Encode()
	if err != nil {
		return f.handleError(ctx, err)
	}

	version, err := q.batcher.store.Put(ctx, claims.ObjectKind, q.bucket.String(), q.version, data)
	if err != nil {
		return f.handleError(ctx, err)
	}

	q.cached, q.version = next, version
	if len(data) > maxCachedBytes {
		q.cached, q.version = claims.Bucket{}, 0
	}

	f.finish(results)

	return true
}

// handleError decides how to go on after err.
func (f *flushState) handleError(ctx context.Context, err error) bool {
	f.queue.cached, f.queue.version = claims.Bucket{}, 0

	fate, code := fateOf(err)
	wait := maxReadBackWait

	switch {
	case code == domain.CodeConflict && ctx.Err() == nil:
		f.conflicts++
		wait = maxConflictWait * time.Duration(f.conflicts)
	case fate == domain.FateUnknown:
		f.uncertain = true
	}

	if code != domain.CodeConflict {
		f.queue.failPending(err)
	}

	if ctx.Err() != nil || (code != domain.CodeConflict && !f.uncertain) {
		f.queue.lastFlush = time.Time{} // Nothing was written, and refusals needn't wait.
		f.fail(err)

		return true
	}

	f.queue.batcher.log.Debug().Str("event", "claim_write_again").Stringer("bucket", f.queue.bucket).
		Bool("uncertain", f.uncertain).Str("code", string(code)).Err(err).Send()

	sleep(ctx, f.queue.batcher.jitter(wait))

	return false
}

func (f *flushState) operations() []claims.Operation {
	ops := make([]claims.Operation, len(f.batch))
	for i, w := range f.batch {
		ops[i] = w.op
	}

	return ops
}

func (f *flushState) finish(results []claims.Result) {
	for i, w := range f.batch {
		w.finish(results[i], nil)
	}
}

func (f *flushState) fail(err error) {
	fate := domain.FateNotRun
	if f.uncertain {
		fate = domain.FateUnknown
	}

	for _, w := range f.batch {
		w.finish(claims.Result{}, claimError(fate, domain.CodeStoreUnavailable, err))
	}
}

// failPending refuses the claims that wait behind a flush that can't reach the
// store, so that they needn't wait for its end. They weren't sent.
func (q *queue) failPending(err error) {
	q.mu.Lock()
	pending := q.pending
	q.pending = nil
	q.mu.Unlock()

	for _, w := range pending {
		w.finish(claims.Result{}, claimError(domain.FateNotRun, domain.CodeStoreUnavailable, err))
	}
}

// load reads the bucket unless it is cached, and reports whether it was read
// now.
func (q *queue) load(ctx context.Context) (bool, error) {
	if q.version > 0 {
		return false, nil
	}

	o, err := q.batcher.store.Get(ctx, claims.ObjectKind, q.bucket.String())
	if err != nil {
		return false, err
	}

	q.cached, q.version = claims.Bucket{}, o.Version
	if o.Version == 0 {
		return true, nil
	}

	q.cached, err = claims.Decode(o.Value)

	return true, err
}

// claimError is the error of an operation that didn't come to a decision.
func claimError(fate domain.Fate, code domain.Code, cause error) error {
	var e *domain.Error
	if errors.As(cause, &e) && e.Code == domain.CodeRateLimited {
		code = e.Code
	}

	return &domain.Error{
		Fate: fate, Code: code, Step: "claim key", Peer: "platform",
		Message: "the key's claim couldn't be settled", Cause: cause,
	}
}

// fateOf returns the fate and code of err; an error that isn't a domain.Error
// has the fate unknown.
func fateOf(err error) (domain.Fate, domain.Code) {
	var e *domain.Error
	if !errors.As(err, &e) {
		return domain.FateUnknown, domain.CodeInternal
	}

	return e.Fate, e.Code
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
