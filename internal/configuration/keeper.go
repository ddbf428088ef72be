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
func (k *Keeper) Current() *Stored {
	if s := k.current.Load(); s != nil {
		return s
	}

	return &Stored{}
}

// Loaded reports whether the configuration in force came from the store or a
// peer.
func (k *Keeper) Loaded() bool { return k.loaded.Load() }

// SetIfNewer puts s in force if it is newer than what is in force, and reports
// whether it did. The keeper counts as loaded in either case.
func (k *Keeper) SetIfNewer(s *Stored) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.setIfNewer(s)
}

// ApplyUpdate puts the result of u in force if it is newer, and reports whether it
// did. It returns a BehindError if u doesn't apply to what is in force, and a
// domain.Error of code corrupt_answer if u is corrupt.
func (k *Keeper) ApplyUpdate(u Update) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	cur := k.Current()
	if u.Version <= cur.Configuration.Version {
		return false, nil
	}

	next, err := u.apply(cur)
	if err != nil {
		return false, err
	}

	return k.setIfNewer(next), nil
}

// UpdateFrom returns the update for an instance at version have.
func (k *Keeper) UpdateFrom(have uint64) (Update, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	cur := k.Current()
	u := Update{From: have, Version: cur.Configuration.Version}

	whole, err := k.encoded(cur)
	if err != nil {
		return Update{}, err
	}

	u.Checksum = xxhash.Sum64(whole)

	if have > u.Version || u.Version-have > maxChangesKept {
		u.Whole = whole

		return u, nil
	}

	for v := have + 1; v <= u.Version; v++ {
		c, ok := k.changes[v]
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
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.changed == nil {
		k.changed = make(chan struct{})
	}

	return k.changed
}

// Configuration returns the configuration in force. It must not be changed.
func (k *Keeper) Configuration() *domain.Configuration { return &k.Current().Configuration }

func (k *Keeper) setIfNewer(s *Stored) bool {
	newer := s.Configuration.Version > k.Current().Configuration.Version
	if newer {
		k.current.Store(s)
		k.encodedCurrent = nil
		k.keepChange(s)
	}

	first := !k.loaded.Swap(true)
	if (newer || first) && k.changed != nil {
		close(k.changed)
		k.changed = nil
	}

	return newer
}

// keepChange keeps the last change of s for UpdateFrom and drops old ones.
func (k *Keeper) keepChange(s *Stored) {
	version := s.Configuration.Version
	for v := range k.changes {
		if v+maxChangesKept <= version {
			delete(k.changes, v)
		}
	}

	if s.Last == nil {
		return
	}

	if data, err := json.Marshal(s.Last); err == nil {
		if k.changes == nil {
			k.changes = make(map[uint64][]byte)
		}

		k.changes[version] = data
	}
}

// encoded returns the encoding of cur, the form in force; the caller holds mu.
func (k *Keeper) encoded(cur *Stored) ([]byte, error) {
	if k.encodedCurrent != nil {
		return k.encodedCurrent, nil
	}

	data, err := cur.Encode()
	if err != nil {
		return nil, err
	}

	k.encodedCurrent = data

	return data, nil
}
