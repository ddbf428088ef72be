// Package execute runs requests that must not be repeated: it claims the key in
// the platform's store, sends one attempt to one searcher of the key's shard,
// and records how that ended.
package execute

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"primrosespring.example/internal/claims"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/routing"
)

const (
	// minSendTime is the least time before the deadline at which an attempt is
	// still sent.
	minSendTime = 2 * time.Millisecond
	// maxKeyLead is how far a key's time may be ahead of this instance's clock.
	// Claims of keys further ahead would never expire, and trimming their
	// bucket to its size limit would raise its floor above the present time.
	maxKeyLead = 5 * time.Minute
	nonceBytes = 8
)

// SearcherClient sends attempts to searchers.
type SearcherClient interface {
	Run(ctx context.Context, sr *domain.Searcher, req *pb.RunRequest) (*pb.RunResponse, error)
}

// Router chooses the searcher of an attempt.
type Router interface {
	Choose(now time.Time, r routing.Request) (routing.Choice, bool)
	Release(now time.Time, searcher string, outcome routing.Outcome, latency time.Duration, load *routing.Load)
}

// Snapshots chooses the snapshot of a request and reports which searchers hold
// it.
type Snapshots interface {
	AwaitChoice(ctx context.Context, service *domain.Service, version uint64) (domain.Snapshot, bool)
	Holds(service string, shard uint32, searcher string, s domain.Snapshot) bool
}

// ForwardFunc sends an operation to the owner of its bucket and returns the
// owner's decision. The fate of an error is FateNotRun only if the owner didn't
// apply the operation and won't.
type ForwardFunc func(ctx context.Context, op claims.Operation) (claims.Result, error)

// Forwarder finds the owner of a bucket. Ownership only saves writes:
// correctness doesn't depend on it, and two instances may act as the owner of
// the same bucket.
type Forwarder interface {
	// Owner reports whether this instance owns the bucket; otherwise forward
	// reaches the owner.
	Owner(bucket claims.BucketID) (self bool, forward ForwardFunc)
}

// Local is the Forwarder of an instance that owns every bucket.
type Local struct{}

// Owner implements Forwarder.
func (Local) Owner(claims.BucketID) (bool, ForwardFunc) { return true, nil }

// Options are the dependencies of an executor.
type Options struct {
	Log       zerolog.Logger
	Instance  domain.Instance
	Store     Store
	Searchers SearcherClient
	Router    Router
	Snapshots Snapshots
	// Forwarder defaults to Local.
	Forwarder Forwarder
	// Jitter returns a random duration from zero up to limit; nil uses
	// math/rand/v2.
	Jitter func(limit time.Duration) time.Duration
}

// Executor implements caller.Executor. It is safe for concurrent use.
type Executor struct {
	options  Options
	batcher  *batcher
	recorder *recorder
	idPrefix string
	lastID   atomic.Uint64

	mu       sync.Mutex // Guards requests and stopped.
	requests sync.WaitGroup
	stopped  bool
}

// New returns an executor, which must be closed with Close.
func New(o Options) *Executor {
	if o.Forwarder == nil {
		o.Forwarder = Local{}
	}

	if o.Jitter == nil {
		o.Jitter = func(limit time.Duration) time.Duration { return mathrand.N(limit + 1) }
	}

	x := &Executor{options: o, idPrefix: processID(o.Instance.ID) + "-", batcher: newBatcher(o.Log, o.Store, o.Jitter)}
	x.recorder = newRecorder(o.Log, o.Jitter, x.applyAtOwner)

	return x
}

// processID returns a name that is unique to this process: it changes when the
// instance restarts.
func processID(instance string) string {
	var nonce [nonceBytes]byte

	_, _ = rand.Read(nonce[:])

	return instance + "-" + hex.EncodeToString(nonce[:])
}

// Close refuses new requests and waits until those in progress have finished and
// their outcomes are stored, or until ctx ends.
func (x *Executor) Close(ctx context.Context) error {
	x.mu.Lock()
	x.stopped = true
	x.mu.Unlock()

	finished := make(chan struct{})

	go func() {
		x.requests.Wait()
		close(finished)
	}()

	select {
	case <-finished:
	case <-ctx.Done():
	}

	x.batcher.flushLazy()

	return x.recorder.close(ctx)
}

// Apply applies an operation that another instance forwarded to this one as the
// owner of its bucket.
func (x *Executor) Apply(ctx context.Context, op claims.Operation) (claims.Result, error) {
	return x.batcher.submit(ctx, op, op.Kind == claims.RecordRan)
}

// Execute runs at most one request per key, whichever instances receive it.
// Errors have the type *domain.Error. If the caller disconnects, the request
// continues until its deadline, so that its outcome is known when the key is
// repeated.
//
// The fate of an error is the fate of this request or, if it is marked as
// repeated, of all requests with its key. A repeated request gets FateNotRun
// only from the key's stored claim, or if the key is malformed.
func (x *Executor) Execute(ctx context.Context, cfg *domain.Configuration, req *pb.ExecuteRequest) (*pb.ExecuteResponse, error) {
	start := time.Now()

	if !x.beginRequest() {
		return nil, unknownIfRepeated(req, domain.Errorf(domain.FateNotRun, domain.CodeStopping, "execute", "the instance is stopping"))
	}
	defer x.requests.Done()

	r, err := x.newRun(cfg, req)
	if err != nil {
		x.countOutcome(nil, err)

		return nil, err
	}

	ctx, cancel := withoutCancel(ctx, r.svc.Rules.TimeoutFor(req.GetTimeoutMs()))
	defer cancel()

	resp, err := r.run(ctx)
	if err != nil && !r.fromClaim {
		err = unknownIfRepeated(req, err)
	}

	x.countOutcome(resp, err)

	if err != nil {
		return nil, err
	}

	resp.ElapsedUs = uint64(time.Since(start).Microseconds())

	return resp, nil
}

// unknownIfRepeated changes FateNotRun to FateUnknown if the request is
// repeated. It is for errors that occur before the key's claim is read: an
// earlier request with the key may have run.
func unknownIfRepeated(req *pb.ExecuteRequest, err error) error {
	if e := asError(err); req.GetRepeated() && e.Fate == domain.FateNotRun {
		return e.WithFate(domain.FateUnknown)
	}

	return err
}

func (x *Executor) beginRequest() bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.stopped {
		return false
	}

	x.requests.Add(1)

	return true
}

func (x *Executor) newRun(cfg *domain.Configuration, req *pb.ExecuteRequest) (*run, error) {
	key, err := claims.ParseKey(req.GetKey())
	if err != nil {
		return nil, err
	}

	// An earlier request with the key may have been accepted under another
	// configuration.
	svc, ok := cfg.Service(req.GetService())
	if !ok {
		return nil, unknownIfRepeated(req,
			domain.Errorf(domain.FateNotRun, domain.CodeNotFound, "execute", "service %q doesn't exist", req.GetService()))
	}

	if !svc.Rules.NonRepeatable {
		return nil, unknownIfRepeated(req, domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "execute",
			"service %s takes only repeatable requests", svc.Name))
	}

	// An instance whose clock is ahead may have accepted the key, so the fate
	// is unknown.
	if lead := time.Until(time.UnixMilli(int64(key.UnixMilli()))); lead > maxKeyLead {
		e := domain.Errorf(domain.FateUnknown, domain.CodeInvalid, "check",
			"the time in the key is %s ahead of this instance's clock", lead.Round(time.Second))
		e.Field = "key"

		return nil, e
	}

	shard := key.Shard(len(svc.PartitionMap.Shards))

	return &run{
		executor: x, cfg: cfg, svc: svc, shard: &svc.PartitionMap.Shards[shard],
		op: claims.Operation{
			Key: key, ClaimID: x.idPrefix + strconv.FormatUint(x.lastID.Add(1), 36),
			Digest: claims.Digest(svc.Name, req.GetPayload()),
		},
		payload: req.GetPayload(),
	}, nil
}

// applyAtOwner applies an operation at the owner of its bucket, and here if
// that fails. The claim id stays the same, so that the second try recognises
// what the owner may have written.
func (x *Executor) applyAtOwner(ctx context.Context, op claims.Operation, lazy bool) (claims.Result, error) {
	self, forward := x.options.Forwarder.Owner(x.batcher.bucketOf(op.Key))
	if self {
		return x.batcher.submit(ctx, op, lazy)
	}

	result, ferr := forward(ctx, op)
	if ferr == nil {
		return result, nil
	}

	x.options.Log.Warn().Str("event", "claim_forward_failed").Str("key", op.Key.String()).Err(ferr).Send()

	result, err := x.batcher.submit(ctx, op, lazy)
	if err == nil {
		return result, nil
	}

	if fate, _ := fateOf(ferr); fate != domain.FateNotRun {
		return claims.Result{}, claimError(domain.FateUnknown, domain.CodeStoreUnavailable, err)
	}

	return claims.Result{}, err
}

func (x *Executor) countOutcome(resp *pb.ExecuteResponse, err error) {
	outcome := "ran"

	switch fate, code := fateOf(err); {
	case err != nil:
		outcome = fateLabel(fate) + `",code="` + string(code)
	case resp.GetReplayed():
		outcome = "replayed"
	}

	metrics.GetOrCreateCounter(`primrosed_executions_total{outcome="` + outcome + `"}`).Inc()
}

func fateLabel(f domain.Fate) string {
	switch f {
	case domain.FateNotRun:
		return "not_run"
	case domain.FateRan:
		return "ran_earlier"
	case domain.FateUnknown:
	}

	return "unknown"
}

// withoutCancel returns a context that isn't cancelled with ctx but has its
// deadline, at most timeout from now.
func withoutCancel(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}

	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

func asError(err error) *domain.Error {
	var e *domain.Error
	if errors.As(err, &e) {
		return e
	}

	return domain.Errorf(domain.FateUnknown, domain.CodeInternal, "execute", "%v", err).WithCause(err)
}
