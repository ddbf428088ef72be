package hosted

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// memberRoutes adds an operator's view of the use of caps and of the evacuations in force.
func (i *Instance) memberRoutes(r chi.Router) {
	r.Get("/members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.parts.Quota.MemberReports()) })
	r.Get("/evacuations", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.parts.Directory.Evacuations()) })
}

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
