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
	// batchWait is how long a write of a bucket is delayed so that further
	// operations can join it. busyBatchWait applies instead if the bucket was
	// written within busyTime; it bounds the rate of all claim writes, since
	// only the buckets of the current slot are written often.
	batchWait     = 2 * time.Millisecond
	busyBatchWait = 40 * time.Millisecond
	busyTime      = 500 * time.Millisecond
	// lazyWait is how long a lazy operation, which no caller waits for, may be
	// delayed to share a write with a claim.
	lazyWait = 200 * time.Millisecond
	// maxConflictWait bounds the random wait after a version conflict. It is
	// multiplied by the number of conflicts in the flush.
	maxConflictWait = 2 * time.Millisecond
	// maxReadBackWait bounds the random wait before a bucket is read back
	// because the answer to a write was lost.
	maxReadBackWait = 10 * time.Millisecond
	// maxCachedBytes bounds the encoded size of a bucket that is cached between
	// writes.
	maxCachedBytes = 256 << 10
	// queueIdleTime is how long an unused queue is kept for its cached bucket,
	// before it is dropped. Queues of past slots aren't used any more.
	queueIdleTime = 3 * claims.SlotMS * time.Millisecond
	// maxPending bounds the operations that wait for one bucket.
	maxPending = 1024
)

// Store reads and writes the platform's objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// batcher applies operations to buckets by group commit: operations that arrive
// during a write of their bucket share the next write.
type batcher struct {
	log    zerolog.Logger
	store  Store
	jitter func(limit time.Duration) time.Duration
	// bucketOf and busyBatchWait differ from Key.Bucket and the constant only
	// in trials.
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
// and FateUnknown if it may have taken effect or may still do so. A lazy
// operation may be delayed.
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

// dropIdle drops the queues that are stopped and unused for queueIdleTime. The
// caller holds b.mu.
func (b *batcher) dropIdle(now time.Time) {
	for id, q := range b.queues {
		if now.Sub(q.lastUsed) > queueIdleTime && !q.isRunning() {
			delete(b.queues, id)
		}
	}
}

// flushLazy makes queues write their lazy operations without further delay.
func (b *batcher) flushLazy() {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, q := range b.queues {
		q.markUrgent()
	}
}

// waiter is an operation that waits for its result. result and err are set
// before done is closed.
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

// queue holds the operations of one bucket. One goroutine processes them and
// returns when nothing is pending.
type queue struct {
	batcher  *batcher
	bucket   claims.BucketID
	lastUsed time.Time // Guarded by the batcher's mu.
	// urgent has an element if the pending operations mustn't wait for
	// lazyWait.
	urgent chan struct{}

	mu      sync.Mutex // Guards pending and running.
	pending []*waiter
	running bool

	// cached and version are the bucket last written or read, and lastFlush is
	// the start of the last flush; only the queue's goroutine uses them.
	// Version 0 means that nothing is cached.
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

// remove removes w from the pending operations and reports whether it was
// there.
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
			continue // All were removed when their contexts ended.
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

// awaitBatch delays the next write so that further operations can share it.
func (q *queue) awaitBatch() {
	timer := time.NewTimer(lazyWait)
	defer timer.Stop()

	select {
	case <-q.urgent:
		if time.Since(q.lastFlush) < busyTime {
			time.Sleep(q.batcher.busyBatchWait)
		} else {
			time.Sleep(batchWait)
		}
	case <-timer.C:
	}
}

// stopIfEmpty reports whether nothing is pending. The queue is then marked as
// stopped, and its goroutine must return.
func (q *queue) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.running = len(q.pending) > 0

	return !q.running
}

// takePending removes and returns the pending operations. It clears urgent,
// which was set for them and mustn't hasten later ones.
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

// flush makes the batch durable in one conditional write, unless the bucket
// shows that it is durable already. If the answer to a write is lost, it reads
// the bucket back until the result is known or the flush's deadline has passed.
func (q *queue) flush(batch []*waiter) {
	ctx, cancel := flushContext(batch)
	defer cancel()

	f := flushState{queue: q, batch: batch}
	for !f.try(ctx) {
	}
}

// flushContext returns a context with the latest deadline of the batch. Lazy
// operations count only if there are no others, so that their longer deadlines
// don't keep claims waiting.
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
	// uncertain is set once the answer to a write was lost: the batch may be
	// durable.
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
			q.version = 0 // Read again: another instance may have written the bucket.

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

// handleError reports whether the flush is over after err. After a conflict or
// a lost answer it waits, and the flush goes on.
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
		f.queue.lastFlush = time.Time{} // The flush failed, so the next batch needn't wait for busyBatchWait.
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

// failPending fails the operations behind a flush that can't reach the store,
// so that they needn't wait for its end. They weren't sent.
func (q *queue) failPending(err error) {
	q.mu.Lock()
	pending := q.pending
	q.pending = nil
	q.mu.Unlock()

	for _, w := range pending {
		w.finish(claims.Result{}, claimError(domain.FateNotRun, domain.CodeStoreUnavailable, err))
	}
}

// load reads the bucket unless it is cached, and reports whether it did.
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

// claimError returns the error of an operation that has no result. Its code is
// CodeRateLimited if that is the cause's.
func claimError(fate domain.Fate, code domain.Code, cause error) error {
	var e *domain.Error
	if errors.As(cause, &e) && e.Code == domain.CodeRateLimited {
		code = e.Code
	}

	return &domain.Error{
		Fate: fate, Code: code, Step: "claim key", Peer: "platform",
		Message: "the key's claim couldn't be updated", Cause: cause,
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
