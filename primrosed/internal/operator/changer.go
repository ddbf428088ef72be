package operator

import (
	"context"
	"errors"

	"primrosespring.example/internal/configuration"
	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosed/internal/platform"
)

// maxWriteTries bounds how often a change is made again after another
// operator's write came first.
const maxWriteTries = 8

// Store reads and writes the platform's objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// StoreChanger makes changes by conditional update of the configuration
// object.
type StoreChanger struct {
	store  Store
	holder *configuration.Holder
}

// NewStoreChanger returns a changer that puts what it wrote in force in holder.
func NewStoreChanger(store Store, holder *configuration.Holder) *StoreChanger {
	return &StoreChanger{store: store, holder: holder}
}

// Change makes c durable and returns the version that it brought about. The
// fate of an error says whether the change may have been made.
func (s *StoreChanger) Change(ctx context.Context, c configuration.Change) (uint64, error) {
	var last error

	for range maxWriteTries {
		version, err := s.try(ctx, c)
		if err == nil {
			return version, nil
		}

		last = err

		if !isConflict(err) {
			break
		}
	}

	return 0, last
}

func (s *StoreChanger) try(ctx context.Context, c configuration.Change) (uint64, error) {
	obj, err := s.store.Get(ctx, configuration.ObjectKind, configuration.ObjectName)
	if err != nil {
		return 0, err
	}

	cur := &configuration.Stored{}
	if obj.Version > 0 {
		if cur, err = configuration.Decode(obj.Value); err != nil {
			return 0, err
		}
	}

	if v, ok := cur.AppliedVersion(c.ID); ok {
		s.holder.Offer(cur)

		return v, nil
	}

	next, err := configuration.Apply(cur, c)
	if err != nil {
		return 0, err
	}

	data, err := next.Encode()
	if err != nil {
		return 0, err
	}

	if _, err := s.store.Put(ctx, configuration.ObjectKind, configuration.ObjectName, obj.Version, data); err != nil {
		return 0, err
	}

	s.holder.Offer(next)

	return next.Configuration.Version, nil
}

// Watcher brings newer configurations from the store into force.
type Watcher struct {
	store interface {
		Watch(ctx context.Context, kind, name string, after uint64) (platform.Object, error)
	}
	holder *configuration.Holder
}

// NewWatcher returns a watcher that isn't running.
func NewWatcher(client *platform.Client, holder *configuration.Holder) *Watcher {
	return &Watcher{store: client, holder: holder}
}

// Run watches until ctx ends. wait is called after each failed call.
func (w *Watcher) Run(ctx context.Context, wait func(error)) {
	var after uint64

	for ctx.Err() == nil {
		obj, err := w.store.Watch(ctx, configuration.ObjectKind, configuration.ObjectName, after)
		if err != nil {
			wait(err)

			continue
		}

		if obj.Version == 0 {
			continue
		}

		after = obj.Version

		stored, err := configuration.Decode(obj.Value)
		if err != nil {
			wait(domain.Errorf(domain.FateNotRun, domain.CodeInvalid, "decode configuration", "%v", err))

			continue
		}

		w.holder.Offer(stored)
	}
}

// isConflict reports whether err says that the object's version had changed.
func isConflict(err error) bool {
	var e *domain.Error

	return errors.As(err, &e) && e.Code == domain.CodeConflict
}
