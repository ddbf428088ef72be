package operator

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/primrosed/internal/platform"
)

const (
	// peerTimeout is how long a new instance waits for the configuration of a
	// peer before it asks the store.
	peerTimeout = 300 * time.Millisecond
	// roleInterval is how often an instance checks whether it has to watch.
	roleInterval = 500 * time.Millisecond
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// WatchStore is the part of the store that a watcher needs.
type WatchStore interface {
	// Get returns an object, with version 0 if it doesn't exist.
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	// Watch returns the object once its version is above after, or an object of
	// version 0 if that takes too long.
	Watch(ctx context.Context, kind, name string, after uint64) (platform.Object, error)
}

// Role reports whether this instance is one of those that watch the store.
type Role interface {
	IsWatcher() bool
}

// Watcher brings the configuration from the store into force: at the start if
// no peer has it, and then while this instance has the role of a watcher.
type Watcher struct {
	log     zerolog.Logger
	store   WatchStore
	keeper  *configuration.Keeper
	role    Role
	jitter  func(time.Duration) time.Duration
	backoff time.Duration
}

// NewWatcher returns a watcher that isn't running. jitter returns a random duration up
// to its argument.
func NewWatcher(log zerolog.Logger, store WatchStore, keeper *configuration.Keeper, role Role,
	jitter func(time.Duration) time.Duration,
) *Watcher {
	return &Watcher{log: log, store: store, keeper: keeper, role: role, jitter: jitter}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.load(ctx)

	var after uint64

	for ctx.Err() == nil {
		if !w.role.IsWatcher() {
			sleep(ctx, roleInterval)

			continue
		}

		obj, err := w.store.Watch(ctx, configuration.ObjectKind, configuration.ObjectName, after)
		if err != nil {
			w.waitBackoff(ctx, err)

			continue
		}

		w.backoff = 0

		if obj.Version > 0 {
			after = obj.Version
			w.apply(obj)
		}
	}
}

// load waits for a peer's configuration and then asks the store until either
// has given one.
func (w *Watcher) load(ctx context.Context) {
	changed := w.keeper.Changed()

	select {
	case <-changed:
	case <-ctx.Done():
	case <-time.After(peerTimeout):
	}

	for ctx.Err() == nil && !w.keeper.Loaded() {
		obj, err := w.store.Get(ctx, configuration.ObjectKind, configuration.ObjectName)
		if err != nil {
			w.waitBackoff(ctx, err)

			continue
		}

		w.backoff = 0
		w.apply(obj)
	}
}

func (w *Watcher) apply(obj platform.Object) {
	s, err := decodeObject(obj)
	if err != nil {
		w.log.Error().Str("event", "store_corrupt").Err(err).Send()

		return
	}

	stored, inForce := s.Configuration.Version, w.keeper.Configuration().Version
	if stored < inForce {
		w.log.Error().Str("event", "store_reverted").Uint64("stored_version", stored).Uint64("version", inForce).Send()

		return
	}

	if w.keeper.SetIfNewer(s) {
		w.log.Info().Str("event", "configuration_read").Uint64("version", stored).Send()
	}
}

// waitBackoff logs a failure and waits, longer after each in a row, with full jitter.
// A newer configuration from a peer ends the wait.
func (w *Watcher) waitBackoff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	w.log.Warn().Str("event", "store_failed").Err(err).Send()

	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	changed := w.keeper.Changed()

	t := time.NewTimer(w.jitter(w.backoff))
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}
