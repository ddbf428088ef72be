package balancer

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

const maxControlBytes = 1 << 20

// Handler serves the control API.
func (b *Balancer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/fake/backends", func(w http.ResponseWriter, _ *http.Request) { b.writeBackends(w) })
	r.Put("/fake/backends", b.putBackends)

	return r
}

func (b *Balancer) putBackends(w http.ResponseWriter, r *http.Request) {
	var f File

	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&f)
	if err == nil {
		err = b.SetBackends(f.Backends)
	}

	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	b.writeBackends(w)
}

func (b *Balancer) writeBackends(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Backends []Status `json:"backends"`
	}{b.Statuses()})
}
