// Package configuration keeps the configuration in force at an instance and
// determines the fate of changes to it. Versions only increase: a stale watch, a
// late peer or a restart never brings back an older one.
package configuration

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"primrosespring.example/internal/domain"
)

// maxChangesKept bounds the latest changes that are kept for peers a few versions
// behind.
const maxChangesKept = 32

// Keeper keeps the configuration in force. The zero value holds the empty
// configuration of version 0, not loaded. It is safe for concurrent use;
// Current, Configuration and Loaded take no lock.
type Keeper struct {
	mu      sync.Mutex // Guards writes to current and loaded, and all below.
	current atomic.Pointer[Stored]
	loaded  atomic.Bool
	changed chan struct{}
	// changes holds the latest changes as JSON by their version.
	changes map[uint64][]byte
	// encodedCurrent caches the encoding of current.
	encodedCurrent []byte
}

// Current returns the stored form in force. It must not be changed.
func (h *Keeper) Current() *Stored {
	if s := h.current.Load(); s != nil {
		return s
	}

	return &Stored{}
}

// Loaded reports whether the configuration in force came from the store or a
// peer.
func (h *Keeper) Loaded() bool { return h.loaded.Load() }

// SetIfNewer puts s in force if it is newer than what is in force, and reports
// whether it did. The keeper counts as loaded in either case.
func (h *Keeper) SetIfNewer(s *Stored) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.setIfNewer(s)
}

// ApplyUpdate puts the result of u in force if it is newer, and reports whether it
// did. It returns a BehindError if u doesn't apply to what is in force, and a
// domain.Error of code corrupt_answer if u is corrupt.
func (h *Keeper) ApplyUpdate(u Update) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	cur := h.Current()
	if u.Version <= cur.Configuration.Version {
		return false, nil
	}

	next, err := u.apply(cur)
	if err != nil {
		return false, err
	}

	return h.setIfNewer(next), nil
}

// UpdateFrom returns the update for an instance at version have.
func (h *Keeper) UpdateFrom(have uint64) (Update, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	cur := h.Current()
	u := Update{From: have, Version: cur.Configuration.Version}

	whole, err := h.encoded(cur)
	if err != nil {
		return Update{}, err
	}

	u.Checksum = xxhash.Sum64(whole)

	if have > u.Version || u.Version-have > maxChangesKept {
		u.Whole = whole

		return u, nil
	}

	for v := have + 1; v <= u.Version; v++ {
		c, ok := h.changes[v]
		if !ok {
			u.Whole, u.Changes = whole, nil

			return u, nil
		}

		u.Changes = append(u.Changes, c)
	}

	if u.Size() > len(whole) {
		u.Whole, u.Changes = whole, nil
	}

	return u, nil
}

// Changed returns a channel that is closed when a version newer than the one now in
// force is put in force, or the keeper becomes loaded.
func (h *Keeper) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.changed == nil {
		h.changed = make(chan struct{})
	}

	return h.changed
}

// Configuration returns the configuration in force. It must not be changed.
func (h *Keeper) Configuration() *domain.Configuration { return &h.Current().Configuration }

func (h *Keeper) setIfNewer(s *Stored) bool {
	newer := s.Configuration.Version > h.Current().Configuration.Version
	if newer {
		h.current.Store(s)
		h.encodedCurrent = nil
		h.keepChange(s)
	}

	first := !h.loaded.Swap(true)
	if (newer || first) && h.changed != nil {
		close(h.changed)
		h.changed = nil
	}

	return newer
}

// keepChange keeps the last change of s for UpdateFrom and drops old ones.
func (h *Keeper) keepChange(s *Stored) {
	version := s.Configuration.Version
	for v := range h.changes {
		if v+maxChangesKept <= version {
			delete(h.changes, v)
		}
	}

	if s.Last == nil {
		return
	}

	if data, err := json.Marshal(s.Last); err == nil {
		if h.changes == nil {
			h.changes = make(map[uint64][]byte)
		}

		h.changes[version] = data
	}
}

// encoded returns the encoding of cur, the form in force; the caller holds mu.
func (h *Keeper) encoded(cur *Stored) ([]byte, error) {
	if h.encodedCurrent != nil {
		return h.encodedCurrent, nil
	}

	data, err := cur.Encode()
	if err != nil {
		return nil, err
	}

	h.encodedCurrent = data

	return data, nil
}
