package configuration

import (
	"errors"

	"primrosespring.example/internal/domain"
)

// Write decides how one change becomes durable by conditional update, and what
// is known of its fate when the store's answers are lost. The adapter reads
// the object, gives it to Read, sends what Read returns, and gives the outcome
// to WriteFailed; it repeats this until Read reports that the change is made, an
// error is final, or its time is up.
type Write struct {
	change Change
	// uncertain says that an answer was lost: the write against object version
	// uncertainAt may have taken effect, or still may.
	uncertain   bool
	uncertainAt uint64
}

// NewWrite returns the decisions for one change.
func NewWrite(c Change) *Write { return &Write{change: c} }

// ReadResult is what follows from a read of the object.
type ReadResult struct {
	// Done says that the change is part of the object, with Version.
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

	// The object moved on without this change: the lost write can't take
	// effect any more, as it names an older version.
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

// WriteFailed takes the failure of a write against object version at. The write
// took effect for certain only if there was none.
func (w *Write) WriteFailed(at uint64, err error) {
	var e *domain.Error
	if errors.As(err, &e) && e.Fate == domain.FateNotRun {
		return
	}

	w.uncertain, w.uncertainAt = true, max(at, w.uncertainAt)
}

// Fate returns err with the fate that the change has if nothing more is done.
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
		Message: "the change wasn't confirmed", Cause: err,
	}
}
