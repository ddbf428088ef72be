package execute

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/lease"
)

const (
	// Retention is the least time for which claims are kept, counted from the
	// time in their keys, unless a bucket exceeds its size limit.
	Retention = 24 * time.Hour
	// initialLookback is how much further back than the retention the first
	// holder of the lease begins. Later holders continue from the cursor in the
	// lease.
	initialLookback = 24 * time.Hour
	// expiryInterval is the time between two buckets. With a read and a write
	// for each, that is at most four store calls a second.
	expiryInterval = 500 * time.Millisecond
	// expiryRetryWait bounds the random wait after a failure.
	expiryRetryWait = 4 * expiryInterval
	// leaseName names the lease in the store.
	leaseName = "claim-expiry"
)

// Expirer expires the buckets of old slots while it holds the claim-expiry
// lease. It skips buckets that were never written, so that an instance whose
// clock is ahead can't block keys of future slots. The cursor in the lease is
// the first slot that may have buckets to expire.
type Expirer struct {
	log    zerolog.Logger
	store  Store
	jitter func(limit time.Duration) time.Duration
	keeper *lease.Keeper
	// term is the lease term for which next was set. next is the bucket to
	// expire at due.
	term uint64
	next claims.BucketID
	due  time.Time
}

// NewExpirer returns an expirer that does nothing until Run. Jitter returns a
// random duration from zero up to limit.
func NewExpirer(log zerolog.Logger, instance domain.Instance, store Store, jitter func(limit time.Duration) time.Duration) *Expirer {
	return &Expirer{log: log, store: store, jitter: jitter, keeper: lease.NewKeeper(processID(instance.ID))}
}

// Run expires buckets until ctx ends and then releases the lease.
func (e *Expirer) Run(ctx context.Context) {
	// Instances that start together read the lease at different times.
	observe := time.Now().Add(e.jitter(lease.ObserveInterval))

	for ctx.Err() == nil {
		now := time.Now()
		if !now.Before(observe) {
			observe = now.Add(e.observe(ctx))
		}

		if !now.Before(e.due) {
			e.expireNext(ctx)
		}

		wake := observe
		if _, held := e.keeper.Term(time.Now()); held && e.due.Before(wake) {
			wake = e.due
		}

		sleep(ctx, max(time.Until(wake), time.Millisecond))
	}

	e.release(context.WithoutCancel(ctx))
}

// observe reads the lease, takes or renews it if that is due, and returns the
// time until the next observation.
func (e *Expirer) observe(ctx context.Context) time.Duration {
	o, err := e.store.Get(ctx, lease.ObjectKind, leaseName)
	if err != nil {
		return e.leaseFailed("read lease", err)
	}

	var stored lease.Lease
	if o.Version > 0 {
		if stored, err = lease.Decode(o.Value); err != nil {
			return e.leaseFailed("read lease", err)
		}
	}

	start := time.Now()

	next, write := e.keeper.Decide(start, stored)
	if !write {
		return lease.ObserveInterval
	}

	// The term also differs if an earlier write took the lease and its answer
	// was lost.
	if next.Term != e.term {
		e.next = claims.BucketID{Slot: firstSlot(next.Cursor, start)}
	}

	next.Cursor = e.next.Slot

	if err := e.putLease(ctx, o.Version, next); err != nil {
		return e.leaseFailed("write lease", err)
	}

	if next.Term != e.term {
		e.term, e.due = next.Term, start
		e.log.Info().Str("event", "lease_taken").Str("duty", leaseName).Uint64("term", next.Term).
			Uint64("slot", next.Cursor).Send()
	}

	e.keeper.Written(start, next)

	return lease.RenewInterval
}

// firstSlot returns the slot at which a new holder begins: the cursor, but no
// later than the slot due by its own clock, since an earlier holder's clock may
// have been ahead.
func firstSlot(cursor uint64, now time.Time) uint64 {
	due := slotAt(now.Add(-Retention))
	if cursor == 0 {
		return slotAt(now.Add(-Retention - initialLookback))
	}

	return min(cursor, due)
}

func slotAt(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) / claims.SlotMS }

func (e *Expirer) putLease(ctx context.Context, version uint64, l lease.Lease) error {
	data, err := l.Encode()
	if err != nil {
		return err
	}

	_, err = e.store.Put(ctx, lease.ObjectKind, leaseName, version, data)

	return err
}

// leaseFailed logs the error and returns the time until the next observation.
func (e *Expirer) leaseFailed(step string, err error) time.Duration {
	e.log.Warn().Str("event", "lease_failed").Str("duty", leaseName).Str("step", step).Err(err).Send()

	return lease.RenewInterval/2 + e.jitter(lease.RenewInterval/2)
}

// expireNext expires the next bucket if the lease is held and the bucket's slot
// is older than the retention.
func (e *Expirer) expireNext(ctx context.Context) {
	term, held := e.keeper.Term(time.Now())
	if !held {
		return
	}

	if end := time.UnixMilli(int64(e.next.EndMS())).Add(Retention); time.Now().Before(end) {
		e.due = end

		return
	}

	e.due = time.Now().Add(expiryInterval)

	err := e.expire(ctx, e.next, term)
	_, code := fateOf(err)

	switch {
	case err == nil:
		e.advance()
	case code == domain.CodeConflict:
		// A claim was written meanwhile, or the lease has expired. The next call
		// checks the lease and reads the bucket again.
		e.log.Info().Str("event", "expiry_conflict").Stringer("bucket", e.next).Uint64("term", term).Err(err).Send()
	default:
		e.log.Warn().Str("event", "expiry_failed").Stringer("bucket", e.next).Uint64("term", term).Err(err).Send()

		e.due = time.Now().Add(expiryInterval + e.jitter(expiryRetryWait))
	}
}

func (e *Expirer) advance() {
	e.next.Number++

	if e.next.Number == claims.BucketsPerSlot {
		e.next = claims.BucketID{Slot: e.next.Slot + 1}
	}
}

func (e *Expirer) expire(ctx context.Context, bucket claims.BucketID, term uint64) error {
	name := bucket.String()

	o, err := e.store.Get(ctx, claims.ObjectKind, name)
	if err != nil {
		return err
	}

	if o.Version == 0 {
		return nil
	}

	b, err := claims.Decode(o.Value)
	if err != nil {
		return err
	}

	next, changed, err := b.Expire(term, bucket.EndMS())
	if err != nil || !changed {
		return err
	}

	data, err := next.Encode()
	if err != nil {
		return err
	}

	if _, err := e.store.Put(ctx, claims.ObjectKind, name, o.Version, data); err != nil {
		return err
	}

	dropped := len(b.Claims) - len(next.Claims)
	metrics.GetOrCreateCounter("primrosed_claims_expired_total").Add(dropped)
	e.log.Info().Str("event", "bucket_expired").Stringer("bucket", bucket).Uint64("term", term).
		Int("dropped", dropped).Send()

	return nil
}

// release releases the lease, so that a successor needn't wait until it
// expires.
func (e *Expirer) release(ctx context.Context) {
	l, held := e.keeper.Release(time.Now())
	if !held {
		return
	}

	l.Cursor = e.next.Slot

	o, err := e.store.Get(ctx, lease.ObjectKind, leaseName)
	if err != nil {
		return
	}

	stored, err := lease.Decode(o.Value)
	if err != nil || stored.Term != l.Term || stored.Holder == "" {
		return
	}

	if err := e.putLease(ctx, o.Version, l); err == nil {
		e.log.Info().Str("event", "lease_released").Str("duty", leaseName).Uint64("term", l.Term).Send()
	}
}
