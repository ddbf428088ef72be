// Package balancer tells the platform's balancer whether the instance is alive
// and ready for requests.
package balancer

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Health is the state reported to the balancer. The zero value is alive and ready.
type Health struct {
	mu      sync.Mutex // Guards reasons.
	reasons map[string]string
}

// Set sets the reason why a part isn't ready; an empty reason clears it. The
// instance is ready when no part has a reason.
func (h *Health) Set(part, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if reason == "" {
		delete(h.reasons, part)

		return
	}

	if h.reasons == nil {
		h.reasons = make(map[string]string)
	}

	h.reasons[part] = reason
}

// NotReadyReason returns why the instance isn't ready, or an empty string if it is.
func (h *Health) NotReadyReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()

	return strings.Join(slices.Sorted(maps.Values(h.reasons)), "; ")
}

// Handler serves /livez and /readyz.
func (h *Health) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("alive\n"))
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := h.NotReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)

			return
		}

		_, _ = w.Write([]byte("ready\n"))
	})

	return r
}
