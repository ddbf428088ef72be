// Package platform is a fake of the platform: an object API with
// versions, conditional updates and watches, and a list of instances that lags.
// It meters its callers, can limit their rate, and injects the faults that are
// set through its control API.
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
	// maxPastVersions is the number of replaced versions of an object that are
	// kept for stale responses.
	maxPastVersions = 4
)

// Server keeps its objects in memory. It is safe for concurrent use.
type Server struct {
	meter     meter
	limits    limits
	faults    faults
	instances instanceList

	mu      sync.Mutex // Guards objects.
	objects map[string]*object
}

type object struct {
	versions []version     // The newest is last.
	changed  chan struct{} // Closed when a version is added.
}

type version struct {
	number uint64 // 0 if the object doesn't exist.
	value  []byte
}

// NewServer returns an empty platform.
func NewServer() *Server {
	s := &Server{objects: make(map[string]*object)}
	s.faults.set(Faults{Mode: ModeUp})

	return s
}

// Handler serves the object API and the control API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/objects/{kind}/{name}", s.get)
	r.Put("/v1/objects/{kind}/{name}", s.wrap(callWrite, s.put))
	r.Get("/v1/instances", s.wrap(callRead, s.listInstances))

	r.Get("/fake/meter", s.getMeter)
	r.Delete("/fake/meter", s.resetMeter)
	r.Put("/fake/faults", s.putFaults)
	r.Put("/fake/limits", s.putLimits)
	r.Put("/fake/list", s.putList)
	r.Put("/fake/instances/{id}", s.putInstance)
	r.Delete("/fake/instances/{id}", s.deleteInstance)

	return r
}

// wrap returns a handler that meters a call, applies the rate limit and the
// faults, and then calls next.
func (s *Server) wrap(kind callKind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		done := s.meter.start(kind, r.Header.Get("X-Instance"), time.Now())
		defer done()

		if !s.limits.allow(kind) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit is exceeded", http.StatusTooManyRequests)

			return
		}

		if s.faults.beforeCall(w, r) {
			next(w, r)
		}
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch_after") {
		s.wrap(callWatch, s.watch)(w, r)

		return
	}

	s.wrap(callRead, func(w http.ResponseWriter, r *http.Request) {
		versions, _ := s.read(objectKey(r))
		writeVersion(w, s.faults.chooseVersion(versions, StaleReads), http.StatusNotFound)
	})(w, r)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	after, err := strconv.ParseUint(q.Get("watch_after"), 10, 64)
	if err != nil {
		http.Error(w, "watch_after is not a version", http.StatusBadRequest)

		return
	}

	timeout, err := strconv.Atoi(q.Get("timeout_ms"))
	if err != nil {
		http.Error(w, "timeout_ms is not a number", http.StatusBadRequest)

		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(timeout)*time.Millisecond, maxWatchDuration))
	defer cancel()

	versions := s.wait(ctx, r, objectKey(r), after)
	writeVersion(w, s.faults.chooseVersion(versions, StaleWatches), http.StatusNotModified)
}

// wait returns the versions of the object once the newest is above after, or
// nil when ctx ends.
func (s *Server) wait(ctx context.Context, r *http.Request, key string, after uint64) []version {
	for {
		faultsReplaced := s.faults.replacedChan()
		s.faults.interruptWatch(r)

		versions, changed := s.read(key)
		if newest(versions).number > after {
			return versions
		}

		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-faultsReplaced:
		}
	}
}

// read returns the versions of an object that are kept, and a channel that is
// closed when it changes.
func (s *Server) read(key string) ([]version, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.object(key)

	return o.versions, o.changed
}

// object returns the object of a key, which may have no version yet. The caller
// holds s.mu.
func (s *Server) object(key string) *object {
	o, ok := s.objects[key]
	if !ok {
		o = &object{changed: make(chan struct{})}
		s.objects[key] = o
	}

	return o
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is not a version", http.StatusBadRequest)

		return
	}

	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)

		return
	}

	number, ok := s.replace(objectKey(r), expected, value)

	s.faults.afterWrite()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(number, 10)))

	if !ok {
		s.meter.addConflict()
		http.Error(w, "version has changed", http.StatusPreconditionFailed)
	}
}

// replace stores value if the object is at version expected. It returns the
// object's version afterwards and whether value was stored.
func (s *Server) replace(key string, expected uint64, value []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.object(key)

	number := newest(o.versions).number
	if number != expected {
		return number, false
	}

	kept := o.versions[max(0, len(o.versions)-maxPastVersions):]
	// A new slice, since readers use the old one.
	o.versions = append(append(make([]version, 0, len(kept)+1), kept...), version{number + 1, value})
	close(o.changed)
	o.changed = make(chan struct{})

	return number + 1, true
}

func newest(versions []version) version {
	if len(versions) == 0 {
		return version{}
	}

	return versions[len(versions)-1]
}

func objectKey(r *http.Request) string {
	return chi.URLParam(r, "kind") + "/" + chi.URLParam(r, "name")
}

func writeVersion(w http.ResponseWriter, v version, absentStatus int) {
	if v.number == 0 {
		w.WriteHeader(absentStatus)

		return
	}

	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.number, 10)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(v.value)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// decode reads the body of a control call and reports whether it was valid; if
// not, it has sent an error response. An unknown field is an error, so that a
// misspelt fault isn't ignored.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}
