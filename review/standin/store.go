package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one
// revision counter, lists, watches and conditional writes.
type store struct {
	address string

	mu       sync.Mutex // Guards the fields below.
	revision uint64
	objects  map[string]map[string]*storedObject
	history  []storeEvent
	changed  chan struct{}
}

type storedObject struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   storedObject
	deleted  bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	s := &store{address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]*storedObject), changed: make(chan struct{})}

	go func() { _ = http.Serve(l, s) }()

	return s, nil
}

// put writes an object and returns when it was acknowledged.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.write(kind, name, raw)

	return time.Now()
}

// write stores an object; the caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) *storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*storedObject)
	}

	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}

	s.revision++
	n := &storedObject{Spec: spec, Status: json.RawMessage("null")}
	n.Meta.Name, n.Meta.Revision, n.Meta.CreatedRev, n.Meta.Finalizers = name, s.revision, s.revision, []string{}

	if o != nil {
		n.Meta.CreatedRev = o.Meta.CreatedRev
	}

	s.objects[kind][name] = n
	s.event(kind, n, false)

	return n
}

// remove deletes an object.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	if o := s.objects[kind][name]; o != nil {
		s.revision++
		delete(s.objects[kind], name)
		s.event(kind, o, true)
	}

	return time.Now()
}

func (s *store) event(kind string, o *storedObject, deleted bool) {
	s.history = append(s.history, storeEvent{kind, s.revision, *o, deleted})

	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")

	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]*storedObject, 0, len(s.objects[kind]))

	for _, o := range s.objects[kind] {
		items = append(items, o)
	}

	revision := s.revision
	s.mu.Unlock()

	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "atRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)

	for over := false; ; {
		s.mu.Lock()
		events, revision, changed := []map[string]any{}, s.revision, s.changed

		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		s.mu.Unlock()

		if len(events) > 0 || over {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "atRev": revision})

			return
		}

		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storedObject
	if r.Method != http.MethodDelete && r.Method != http.MethodGet {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
	}

	if name == "" {
		name = in.Meta.Name
	}

	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		_, _ = w.Write([]byte("{}"))

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.objects[kind][name]

	switch {
	case r.Method == http.MethodPost && o != nil:
		w.WriteHeader(http.StatusConflict)
	case r.Method != http.MethodPost && o == nil:
		w.WriteHeader(http.StatusNotFound)

		return
	case r.Method == http.MethodPut && in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
	case r.Method == http.MethodPut || r.Method == http.MethodPost:
		o = s.write(kind, name, in.Spec)
	}

	_ = json.NewEncoder(w).Encode(o)
}
