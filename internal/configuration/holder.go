// Package configuration keeps the configuration in force at an instance and
// decides the fate of changes to it. Versions only increase: neither a stale
// watch, a late peer nor a restart takes one back.
package configuration

import (
	"sync"
	"sync/atomic"

	"primrosespring.example/internal/domain"
)

// Holder keeps the configuration in force. The zero value holds the empty
// configuration of version 0. It is safe for concurrent use; readers take no
// lock.
type Holder struct {
	mu      sync.Mutex // Guards writes to current, and changed.
	current atomic.Pointer[Stored]
	changed chan struct{}
}

// Current returns the stored form in force. It must not be changed.
func (h *Holder) Current() *Stored {
	if s := h.current.Load(); s != nil {
		return s
	}

	return &Stored{}
}

// Offer puts s in force if it is newer than what is in force, and reports
// whether it did.
func (h *Holder) Offer(s *Stored) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if s.Configuration.Version <= h.Current().Configuration.Version {
		return false
	}

	h.current.Store(s)

	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}

	return true
}

// Changed returns a channel that is closed when a newer version than the one
// in force at the time of the call is put in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.changed == nil {
		h.changed = make(chan struct{})
	}

	return h.changed
}

// Configuration returns the configuration in force. It must not be changed.
func (h *Holder) Configuration() *domain.Configuration { return &h.Current().Configuration }
