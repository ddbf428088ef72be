// Package platform is a stand-in for the platform: an object API with
// versions, conditional updates and watches, and a list of instances.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	maxValueBytes    = 1 << 20
	maxWatchDuration = 30 * time.Second
)

// Server keeps its objects in memory.
type Server struct {
	mu        sync.Mutex // Guards all below.
	objects   map[string]object
	instances map[string]json.RawMessage
	changed   chan struct{}
}

type object struct {
	version uint64
	value   []byte
}

// NewServer returns an empty platform.
func NewServer() *Server {
	return &Server{
		objects: make(map[string]object), instances: make(map[string]json.RawMessage), changed: make(chan struct{}),
	}
}

// Handler serves the object API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/objects/{kind}/{name}", s.get)
	r.Put("/v1/objects/{kind}/{name}", s.put)
	r.Get("/v1/instances", s.listInstances)
	r.Put("/fake/instances/{id}", s.putInstance)

	return r
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "kind") + "/" + chi.URLParam(r, "name")

	after := r.URL.Query().Get("watch_after")
	if after == "" {
		s.mu.Lock()
		o := s.objects[key]
		s.mu.Unlock()
		writeObject(w, o, http.StatusNotFound)

		return
	}

	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		http.Error(w, "watch_after is not a version", http.StatusBadRequest)

		return
	}

	timeout, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil {
		http.Error(w, "timeout_ms is not a number", http.StatusBadRequest)

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(timeout)*time.Millisecond, maxWatchDuration))
	defer cancel()

	writeObject(w, s.wait(ctx, key, version), http.StatusNotModified)
}

// wait returns the object once its version is above after, or an empty one
// when ctx ends.
func (s *Server) wait(ctx context.Context, key string, after uint64) object {
	for {
		s.mu.Lock()
		o, changed := s.objects[key], s.changed
		s.mu.Unlock()

		if o.version > after {
			return o
		}

		select {
		case <-ctx.Done():
			return object{}
		case <-changed:
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "kind") + "/" + chi.URLParam(r, "name")

	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is not a version", http.StatusBadRequest)

		return
	}

	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.objects[key]
	if o.version != version {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.version, 10)))
		http.Error(w, "version has changed", http.StatusPreconditionFailed)

		return
	}

	o = object{version: version + 1, value: value}
	s.objects[key] = o
	close(s.changed)
	s.changed = make(chan struct{})

	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.version, 10)))
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := make([]json.RawMessage, 0, len(s.instances))

	for _, i := range s.instances {
		list = append(list, i)
	}
	s.mu.Unlock()

	w.Header().Set("ETag", `"1"`)
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list})
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(w, "body is not JSON", http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.instances[chi.URLParam(r, "id")] = value
}

func writeObject(w http.ResponseWriter, o object, missing int) {
	if o.version == 0 {
		w.WriteHeader(missing)

		return
	}

	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.version, 10)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(o.value)
}
