package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosed/internal/platform"
)

const (
	// maxWriteAttempts bounds how often a change is tried when other operators'
	// writes come first.
	maxWriteAttempts = 16
	// changeTimeout bounds one change, also for callers with a longer timeout.
	changeTimeout = 5 * time.Second
	// The wait before another attempt is random, up to a bound that doubles from
	// minRetryWait to maxRetryWait.
	minRetryWait = 10 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
	// changesPerSecond and changeBurst limit the changes that one instance accepts.
	// The 1,300 changes a day of the whole fleet are far below.
	changesPerSecond = 20
	changeBurst      = 40
)

// Store reads and writes the platform's objects.
type Store interface {
	// Get returns an object, with version 0 if it doesn't exist.
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	// Put replaces an object if its version still is version, where 0 creates it, and
	// returns the new version. The fate of an error says whether it may have done so.
	Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// StoreChanger makes changes by conditional update of the configuration
// object. It is safe for concurrent use.
type StoreChanger struct {
	store   Store
	keeper  *configuration.Keeper
	limiter *rate.Limiter
}

// NewStoreChanger returns a changer that puts what it has written into keeper.
func NewStoreChanger(store Store, keeper *configuration.Keeper) *StoreChanger {
	return &StoreChanger{store: store, keeper: keeper, limiter: rate.NewLimiter(changesPerSecond, changeBurst)}
}

// Change makes c durable and returns the version that it resulted in. The fate of
// an error says whether the change may have been made: after a lost answer the
// object is read back, and the fate is unknown only if that fails too.
func (s *StoreChanger) Change(ctx context.Context, c configuration.Change) (uint64, error) {
	if !s.limiter.Allow() {
		return 0, &domain.Error{
			Fate: domain.FateNotRun, Code: domain.CodeRateLimited, Step: "change configuration",
			Message: "too many changes at this instance", RetryAfter: time.Second,
		}
	}

	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()

	w := configuration.NewWrite(c)
	wait := minRetryWait

	var last error

	for range maxWriteAttempts {
		version, final, err := s.try(ctx, w)
		if err == nil {
			return version, nil
		}

		if last = err; final || !sleep(ctx, rand.N(wait)) {
			break
		}

		wait = min(2*wait, maxRetryWait)
	}

	return 0, w.Fate(last)
}

// try makes one read and one write. final reports whether there is no point in
// another try.
func (s *StoreChanger) try(ctx context.Context, w *configuration.Write) (version uint64, final bool, err error) {
	obj, err := s.store.Get(ctx, configuration.ObjectKind, configuration.ObjectName)
	if err != nil {
		// If no write can have taken effect, the change fails without a retry.
		return 0, isNotRun(w.Fate(err)), err
	}

	cur, err := decodeObject(obj)
	if err != nil {
		return 0, true, err
	}

	next, err := w.Read(obj.Version, cur, s.keeper.Configuration().Version)
	if err != nil {
		return 0, true, err
	}

	if next.Done {
		s.keeper.SetIfNewer(next.Stored)

		return next.Version, true, nil
	}

	data, err := next.Stored.Encode()
	if err != nil {
		return 0, true, err
	}

	if _, err := s.store.Put(ctx, configuration.ObjectKind, configuration.ObjectName, obj.Version, data); err != nil {
		w.WriteFailed(obj.Version, err)

		return 0, isNotRun(w.Fate(err)) && !isConflict(err), err
	}

	s.keeper.SetIfNewer(next.Stored)

	return next.Version, true, nil
}

func decodeObject(obj platform.Object) (*configuration.Stored, error) {
	if obj.Version == 0 {
		return &configuration.Stored{}, nil
	}

	s, err := configuration.Decode(obj.Value)
	if err != nil {
		return nil, domain.Errorf(domain.FateNotRun, domain.CodeCorrupt, "decode stored configuration",
			"object version %d isn't a configuration", obj.Version).WithPeer("platform").WithCause(err)
	}

	return s, nil
}

func isNotRun(err error) bool {
	var e *domain.Error

	return errors.As(err, &e) && e.Fate == domain.FateNotRun
}

// isConflict reports whether err says that the object's version had changed.
func isConflict(err error) bool {
	var e *domain.Error

	return errors.As(err, &e) && e.Code == domain.CodeConflict
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
