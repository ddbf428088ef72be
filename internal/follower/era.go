package follower

import "sync"

// Era keeps the newest era of the store that an instance knows of, from the store's answers and from
// other instances. The zero value knows none. It is safe for concurrent use.
type Era struct {
	// OnRestore is called when the store has come back from an older copy, with the era and the one
	// known before; nil if nobody wants to know. It must be set before Learn is called.
	OnRestore func(era, before uint64)

	mu      sync.Mutex // Guards the fields below.
	current uint64
	// known says that an era has been stated, which may be 0.
	known bool
}

// Current returns the newest era known, or 0 if none is.
func (e *Era) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.current
}

// Learn takes an era that the store or another instance states, and returns the newest one.
func (e *Era) Learn(era uint64) uint64 {
	e.mu.Lock()
	before, known := e.current, e.known
	e.current, e.known = max(before, era), true
	e.mu.Unlock()

	if known && era > before && e.OnRestore != nil {
		e.OnRestore(era, before)
	}

	return max(before, era)
}
