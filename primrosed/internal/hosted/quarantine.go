package hosted

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"primrosespring.example/internal/quarantine"
)

// quarantineRoutes adds an operator's view of the requests that are held back: GET lists them,
// DELETE releases one, of which the other instances hear as of an answer.
func (i *Instance) quarantineRoutes(r chi.Router) {
	r.Get("/quarantine", i.listSuspects)
	r.Delete("/quarantine/{content}", i.releaseSuspect)
}

func (i *Instance) listSuspects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, i.parts.Quarantine.Reports(time.Now()))
}

func (i *Instance) releaseSuspect(w http.ResponseWriter, r *http.Request) {
	content, err := quarantine.ParseDigest(chi.URLParam(r, "content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	if !i.parts.Quarantine.Answered(time.Now(), content) {
		http.Error(w, "no suspect has the content "+content.String(), http.StatusNotFound)

		return
	}

	i.log.Info().Str("event", "suspect_released").Stringer("content", content).Send()
	w.WriteHeader(http.StatusNoContent)
}
