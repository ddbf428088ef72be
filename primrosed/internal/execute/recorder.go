package execute

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
)

const (
	// recordTimeout bounds all attempts to write a record. After it the key
	// stays claimed, and a repeated key is answered with FateUnknown.
	recordTimeout = 2 * time.Minute
	// recordAttemptTimeout bounds one attempt.
	recordAttemptTimeout = 5 * time.Second
	minRecordBackoff     = 50 * time.Millisecond
	maxRecordBackoff     = 5 * time.Second
	// maxPendingRecords bounds the records that aren't written yet. Each may
	// hold an answer; a record above the bound is dropped, and its key stays
	// claimed.
	maxPendingRecords = 4096
)

// recorder writes the outcomes of claimed requests in the background.
type recorder struct {
	log    zerolog.Logger
	apply  func(ctx context.Context, op claims.Operation, lazy bool) (claims.Result, error)
	jitter func(limit time.Duration) time.Duration
	ctx    context.Context //nolint:containedctx // Bounds the background writes.
	cancel context.CancelFunc

	mu      sync.Mutex // Guards pending, closing and the closing of idle.
	pending int
	closing bool
	idle    chan struct{} // Closed when closing and nothing is pending.
	once    sync.Once     // Closes idle.
}

func newRecorder(log zerolog.Logger, jitter func(time.Duration) time.Duration,
	apply func(context.Context, claims.Operation, bool) (claims.Result, error),
) *recorder {
	ctx, cancel := context.WithCancel(context.Background())

	return &recorder{log: log, apply: apply, jitter: jitter, ctx: ctx, cancel: cancel, idle: make(chan struct{})}
}

// add writes op in the background and retries until recordTimeout.
func (r *recorder) add(op claims.Operation) {
	r.mu.Lock()
	full := r.pending >= maxPendingRecords

	if !full {
		r.pending++
	}
	r.mu.Unlock()

	if full {
		r.drop(op, nil)

		return
	}

	go func() {
		defer r.finish()

		r.write(op)
	}()
}

// close waits until all records are written or ctx ends, and then cancels the
// remaining writes. Records added later are dropped.
func (r *recorder) close(ctx context.Context) error {
	r.mu.Lock()
	r.closing = true

	r.checkIdle()
	r.mu.Unlock()

	defer r.cancel()

	select {
	case <-r.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *recorder) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.pending--
	r.checkIdle()
}

// checkIdle closes idle if the recorder is closing and nothing is pending. The
// caller holds r.mu.
func (r *recorder) checkIdle() {
	if r.closing && r.pending == 0 {
		r.once.Do(func() { close(r.idle) })
	}
}

func (r *recorder) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.closing
}

func (r *recorder) write(op claims.Operation) {
	ctx, cancel := context.WithTimeout(r.ctx, recordTimeout)
	defer cancel()

	for wait := minRecordBackoff; ; wait = min(2*wait, maxRecordBackoff) {
		result, err := r.try(ctx, op)
		if err == nil {
			r.log.Info().Str("event", "claim_settled").Str("key", op.Key.String()).Str("claim_id", op.ClaimID).
				Str("kind", op.Kind.String()).Str("outcome", result.Outcome.String()).Send()

			return
		}

		if ctx.Err() != nil {
			r.drop(op, err)

			return
		}

		sleep(ctx, r.jitter(wait))
	}
}

func (r *recorder) try(ctx context.Context, op claims.Operation) (claims.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordAttemptTimeout)
	defer cancel()

	return r.apply(ctx, op, !r.isClosing())
}

func (r *recorder) drop(op claims.Operation, err error) {
	metrics.GetOrCreateCounter(`primrosed_claim_records_dropped_total{kind="` + op.Kind.String() + `"}`).Inc()
	r.log.Error().Str("event", "claim_record_dropped").Str("key", op.Key.String()).Str("claim_id", op.ClaimID).
		Str("kind", op.Kind.String()).Err(err).Send()
}
