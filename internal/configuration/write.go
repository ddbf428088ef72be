package configuration

import (
	"errors"

	"primrosespring.example/internal/domain"
)

// Write makes one change durable by conditional update, and tracks its fate when
// the store's answers are lost. The caller reads the object, passes it to Read,
// writes what Read returns, and passes a failure to WriteFailed. It repeats this
// until Read reports that the change is made, a write succeeds, an error is final,
// or its time is up.
type Write struct {
	change Change
	// uncertain says that an answer was lost: the write against object version
	// uncertainAt may have taken effect, or may still do so.
	uncertain   bool
	uncertainAt uint64
}

// NewWrite returns a Write for one change.
func NewWrite(c Change) *Write { return &Write{change: c} }

// ReadResult says what to do after a read of the object.
type ReadResult struct {
	// Done says that the change is part of the object, since Version.
	Done    bool
	Version uint64
	// Stored is what to write against the object version that was read, or
	// what was read when Done.
	Stored *Stored
}

// Read takes the object's version and content, and the configuration version
// in force at this instance. Its errors are final.
func (w *Write) Read(object uint64, cur *Stored, inForce uint64) (ReadResult, error) {
	if v, ok := cur.AppliedVersion(w.change.ID); ok {
		return ReadResult{Done: true, Version: v, Stored: cur}, nil
	}

	// The object changed without this change: the lost write names an older
	// version and can't take effect any more.
	if w.uncertain && object > w.uncertainAt {
		w.uncertain = false
	}

	if cur.Configuration.Version < inForce {
		return ReadResult{}, w.Fate(domain.Errorf(domain.FateNotRun, domain.CodeStoreReverted, "check stored configuration",
			"the store holds version %d, but version %d is in force", cur.Configuration.Version, inForce).WithPeer("platform"))
	}

	next, err := Apply(cur, w.change)
	if err != nil {
		return ReadResult{}, w.Fate(err)
	}

	return ReadResult{Version: next.Configuration.Version, Stored: next}, nil
}

// WriteFailed records the failure of a write against object version at. Unless the
// error's fate is not run, the write may have taken effect.
func (w *Write) WriteFailed(at uint64, err error) {
	var e *domain.Error
	if errors.As(err, &e) && e.Fate == domain.FateNotRun {
		return
	}

	w.uncertain, w.uncertainAt = true, max(at, w.uncertainAt)
}

// Fate returns err, the last error of the change, with the fate of the change.
func (w *Write) Fate(err error) error {
	fate := domain.FateNotRun
	if w.uncertain {
		fate = domain.FateUnknown
	}

	var e *domain.Error
	if errors.As(err, &e) {
		return e.WithFate(fate)
	}

	return &domain.Error{
		Fate: fate, Code: domain.CodeStoreUnavailable, Step: "change configuration", Peer: "platform",
		Message: "the store didn't confirm the change", Cause: err,
	}
}
