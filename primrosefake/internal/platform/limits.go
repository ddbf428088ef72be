package platform

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// Limits are the rates that the platform allows; 0 means no limit. A watch
// counts as one read.
type Limits struct {
	ReadsPerS  int `json:"reads_per_s"`
	WritesPerS int `json:"writes_per_s"`
}

type limits struct {
	mu     sync.Mutex // Guards reads and writes; nil means no limit.
	reads  *rate.Limiter
	writes *rate.Limiter
}

func (l *limits) set(v Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reads, l.writes = newLimiter(v.ReadsPerS), newLimiter(v.WritesPerS)
}

func (l *limits) allow(kind callKind) bool {
	l.mu.Lock()
	limiter := l.reads

	if kind == callWrite {
		limiter = l.writes
	}
	l.mu.Unlock()

	return limiter == nil || limiter.Allow()
}

// newLimiter allows a burst of one second's calls.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}

	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetLimits replaces the limits.
func (s *Server) SetLimits(l Limits) { s.limits.set(l) }

func (s *Server) putLimits(w http.ResponseWriter, r *http.Request) {
	var l Limits
	if decode(w, r, &l) {
		s.SetLimits(l)
		writeJSON(w, l)
	}
}
