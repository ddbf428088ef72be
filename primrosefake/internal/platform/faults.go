package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode says how the platform answers.
type Mode string

// The modes of the platform.
const (
	ModeUp Mode = "up"
	// ModeDown answers calls with the status 503 and drops waiting watches.
	ModeDown Mode = "down"
	// ModeRefuse closes the connection of each call without a response.
	ModeRefuse Mode = "refuse"
	// ModeHang never answers.
	ModeHang Mode = "hang"
	// ModeSlow delays each call by DelayMS.
	ModeSlow Mode = "slow"
	// ModeLoseWriteAnswers applies a write and then drops the connection.
	ModeLoseWriteAnswers Mode = "lose_write_answers"
)

// StaleCalls says which calls may return an older version.
type StaleCalls string

// The kinds of stale responses.
const (
	StaleNone    StaleCalls = ""
	StaleReads   StaleCalls = "reads"
	StaleWatches StaleCalls = "watches"
	StaleAll     StaleCalls = "all"
)

// Faults are the faults that the control API sets. Each PUT replaces them all.
type Faults struct {
	Mode Mode `json:"mode"`
	// Share is the share of calls that the mode is applied to; 0 means all. The
	// modes down, refuse and hang apply to every waiting watch.
	Share   float64    `json:"share"`
	DelayMS float64    `json:"delay_ms"`
	Stale   StaleCalls `json:"stale"`
	// StaleShare is the share of the responses that are stale; 0 means all.
	StaleShare float64 `json:"stale_share"`
	Seed       uint64  `json:"seed"`
}

func (f *Faults) validate() error {
	switch f.Mode {
	case ModeUp, ModeDown, ModeRefuse, ModeHang, ModeSlow, ModeLoseWriteAnswers:
	default:
		return errors.Errorf("mode %q is unknown", f.Mode)
	}

	switch f.Stale {
	case StaleNone, StaleReads, StaleWatches, StaleAll:
	default:
		return errors.Errorf("stale %q is unknown", f.Stale)
	}

	if f.Share < 0 || f.Share > 1 || f.StaleShare < 0 || f.StaleShare > 1 || f.DelayMS < 0 {
		return errors.Errorf("share %v, stale_share %v or delay_ms %v is out of range", f.Share, f.StaleShare, f.DelayMS)
	}

	return nil
}

// faults applies the current faults.
type faults struct {
	mu       sync.Mutex // Guards the fields below.
	current  Faults
	rand     *rand.Rand
	replaced chan struct{} // Closed when the faults are replaced.
}

func (f *faults) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.current = v
	f.rand = rand.New(rand.NewPCG(v.Seed, 0))

	if f.replaced != nil {
		close(f.replaced)
	}

	f.replaced = make(chan struct{})
}

func (f *faults) replacedChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.replaced
}

// pickMode returns the mode and the delay of one call.
func (f *faults) pickMode() (Mode, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.current.Mode == ModeUp || !f.sample(f.current.Share) {
		return ModeUp, 0
	}

	return f.current.Mode, time.Duration(f.current.DelayMS * float64(time.Millisecond))
}

// sample returns true with a probability of share, or always if share is 0. The
// caller holds f.mu.
func (f *faults) sample(share float64) bool {
	return share == 0 || f.rand.Float64() < share
}

// beforeCall applies the mode to an incoming call and reports whether the call
// may continue.
func (f *faults) beforeCall(w http.ResponseWriter, r *http.Request) bool {
	switch mode, delay := f.pickMode(); mode {
	case ModeDown:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)

		return false
	case ModeRefuse:
		panic(http.ErrAbortHandler)
	case ModeHang:
		hang(r)
	case ModeSlow:
		t := time.NewTimer(delay)
		defer t.Stop()

		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	case ModeUp, ModeLoseWriteAnswers:
	}

	return true
}

// interruptWatch applies the mode to a waiting watch.
func (f *faults) interruptWatch(r *http.Request) {
	f.mu.Lock()
	mode := f.current.Mode
	f.mu.Unlock()

	switch mode {
	case ModeDown, ModeRefuse:
		panic(http.ErrAbortHandler)
	case ModeHang:
		hang(r)
	case ModeUp, ModeSlow, ModeLoseWriteAnswers:
	}
}

// afterWrite drops the connection if the response to a write is to be lost.
func (f *faults) afterWrite() {
	f.mu.Lock()
	lost := f.current.Mode == ModeLoseWriteAnswers && f.sample(f.current.Share)
	f.mu.Unlock()

	if lost {
		panic(http.ErrAbortHandler)
	}
}

// chooseVersion returns the newest of versions, or an older one if the response
// to a call of this kind is to be stale.
func (f *faults) chooseVersion(versions []version, kind StaleCalls) version {
	f.mu.Lock()
	defer f.mu.Unlock()

	olderCount := len(versions) - 1
	if olderCount < 1 || (f.current.Stale != kind && f.current.Stale != StaleAll) || !f.sample(f.current.StaleShare) {
		return newest(versions)
	}

	return versions[f.rand.IntN(olderCount)]
}

// hang waits until the caller gives up, and then drops the connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}

	if f.Mode == "" {
		f.Mode = ModeUp
	}

	if err := f.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	s.faults.set(f)
	writeJSON(w, f)
}
