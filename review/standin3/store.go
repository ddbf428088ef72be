package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the most objects that one page of a list holds.
const pageItems = 500

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	at      uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's store: objects by kind and name, one revision counter,
// lists, watches and writes as PROTOCOL.md describes them.
type store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{} // Closed and replaced at each change.
	// waiting holds the connections of the watches that wait, by kind.
	waiting map[string]map[net.Conn]bool
	// era rises at each return from a copy; the history before floor is gone.
	era, floor uint64
	away       bool
	open       map[net.Conn]bool
}

// snapshot is a copy of all objects.
type snapshot struct {
	revision uint64
	kinds    map[string]map[string]object
}

type connKey struct{}

func newStore(addr string) (*store, error) {
	s := &store{
		revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{}),
		waiting: make(map[string]map[net.Conn]bool), era: 3, open: make(map[net.Conn]bool),
	}

	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}

	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s, ConnContext: withConn, ConnState: s.connState}

	go func() { _ = s.server.Serve(l) }()

	return s, nil
}

// put writes an object and returns when the store had it, which is the time of the ack.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.write(kind, name, raw, nil)

	return time.Now()
}

// remove removes an object and returns when it was gone.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.erase(kind, name)

	return time.Now()
}

// connState closes the connections that are opened while the store is away.
func (s *store) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if state == http.StateClosed {
		delete(s.open, c)

		return
	}

	s.open[c] = true

	if s.away {
		_ = c.Close()
	}
}

// copy returns a copy of all objects.
func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := snapshot{revision: s.revision, kinds: make(map[string]map[string]object)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}

	return c
}

// restore has the store go away for a time and come back from a copy, in a new era.
func (s *store) restore(c snapshot, away time.Duration) {
	s.mu.Lock()
	s.away = true

	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()

	time.Sleep(away)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.away = false
	s.era++
	s.revision, s.floor, s.kinds, s.events = c.revision, c.revision, c.kinds, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatch closes the connection of one watch of a kind that waits, and reports whether there was
// one.
func (s *store) cutWatch(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.waiting[kind] {
		_ = c.Close()

		return true
	}

	return false
}

func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}

	s.revision++

	o, ok := s.kinds[kind][name]
	if !ok {
		o.Meta = meta{Name: name, CreatedRev: s.revision, Finalizers: []string{}}
	}

	o.Meta.Revision, o.Spec = s.revision, spec
	if status != nil {
		o.Status = status
	}

	s.kinds[kind][name] = o
	s.publish(event{kind: kind, at: s.revision, Object: o})

	return o
}

func (s *store) erase(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}

	s.revision++
	o.Meta.Revision = s.revision
	delete(s.kinds[kind], name)
	s.publish(event{kind: kind, at: s.revision, Object: o, Deleted: true})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()

	if away {
		panic(http.ErrAbortHandler)
	}

	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""

	if len(parts) > 1 {
		name = parts[1]
	}

	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.single(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()

	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}

	sort.Strings(names)

	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}

	items := make([]object, len(names))
	for i, n := range names {
		items[i] = s.kinds[kind][n]
	}

	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	conn, _ := r.Context().Value(connKey{}).(net.Conn)

	for over := false; ; {
		s.mu.Lock()

		if from < s.floor || from > s.revision {
			delete(s.waiting[kind], conn)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)

			return
		}

		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				events = append(events, e)
			}
		}

		at, changed := s.revision, s.changed

		if len(events) == 0 && !over {
			if s.waiting[kind] == nil {
				s.waiting[kind] = make(map[net.Conn]bool)
			}

			s.waiting[kind][conn] = true
		} else {
			delete(s.waiting[kind], conn)
		}
		s.mu.Unlock()

		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "atRev": at})

			return
		}

		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			s.mu.Lock()
			delete(s.waiting[kind], conn)
			s.mu.Unlock()

			return
		}
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}

	o, ok := s.kinds[kind][name]
	wanted := in.Meta.Revision

	if q := r.URL.Query().Get("revision"); q != "" {
		wanted, _ = strconv.ParseUint(q, 10, 64)
	}

	switch {
	case r.Method == http.MethodPost && ok, ok && wanted != 0 && wanted != o.Meta.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	case r.Method == http.MethodDelete:
		s.erase(kind, name)
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusOK, o)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}

	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
