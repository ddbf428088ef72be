// Package balancer tells the platform's balancer whether the instance is alive
// and ready for requests.
package balancer

import (
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Health is what the balancer is told. The zero value is alive and ready.
type Health struct {
	mu     sync.Mutex // Guards reason.
	reason string
}

// SetNotReady makes the instance not ready for the given reason; an empty
// reason makes it ready.
func (h *Health) SetNotReady(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.reason = reason
}

// NotReady returns why the instance isn't ready, or an empty string.
func (h *Health) NotReady() string {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.reason
}

// Handler serves /livez and /readyz.
func (h *Health) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("alive\n"))
	})
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := h.NotReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)

			return
		}

		_, _ = w.Write([]byte("ready\n"))
	})

	return r
}
