package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// instanceList is a list whose changes become visible after a lag. Its zero
// value is an empty list without a lag.
type instanceList struct {
	mu      sync.Mutex // Guards the fields below.
	lag     time.Duration
	visible map[string]json.RawMessage
	version uint64
	pending []listChange // In the order made; none becomes visible before an earlier one.
}

type listChange struct {
	at    time.Time // When the change becomes visible.
	id    string
	value json.RawMessage // Nil for a deletion.
}

func (l *instanceList) enqueue(id string, value json.RawMessage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.pending = append(l.pending, listChange{now.Add(l.lag), id, value})
}

// list returns the visible entries in the order of their ids, and the list's
// version.
func (l *instanceList) list(now time.Time) ([]json.RawMessage, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.visible == nil {
		l.visible = make(map[string]json.RawMessage)
		l.version = 1
	}

	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		l.version++

		if c.value == nil {
			delete(l.visible, c.id)
		} else {
			l.visible[c.id] = c.value
		}
	}

	entries := make([]json.RawMessage, 0, len(l.visible))
	for _, id := range slices.Sorted(maps.Keys(l.visible)) {
		entries = append(entries, l.visible[id])
	}

	return entries, l.version
}

// SetListLag sets how long a later change to the list of instances stays
// invisible.
func (s *Server) SetListLag(lag time.Duration) {
	s.instances.mu.Lock()
	defer s.instances.mu.Unlock()

	s.instances.lag = lag
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	entries, version := s.instances.list(time.Now())
	tag := strconv.Quote(strconv.FormatUint(version, 10))

	w.Header().Set("ETag", tag)

	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)

		return
	}

	writeJSON(w, struct {
		Instances []json.RawMessage `json:"instances"`
	}{entries})
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(w, "body is not JSON", http.StatusBadRequest)

		return
	}

	s.instances.enqueue(chi.URLParam(r, "id"), value, time.Now())
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	s.instances.enqueue(chi.URLParam(r, "id"), nil, time.Now())
}

func (s *Server) putList(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LagMS float64 `json:"lag_ms"`
	}
	if decode(w, r, &body) {
		s.SetListLag(time.Duration(body.LagMS * float64(time.Millisecond)))
		writeJSON(w, body)
	}
}
