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

const (
	// historyTime is platform.historyS of the settings.
	historyTime = 20 * time.Second
	// copyInterval is the time between two copies of the store, and copyTime how long they
	// are kept.
	copyInterval = 200 * time.Millisecond
	copyTime     = 15 * time.Second
	// pageItems bounds the items of one page of a list.
	pageItems = 500
)

// object is a stored object. It is never changed, only replaced.
type object struct {
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

type event struct {
	kind     string
	revision uint64
	at       time.Time
	object   *object
	deleted  bool
}

// content is all that the store holds.
type content struct {
	revision uint64
	// compacted is the newest revision whose event isn't kept any more.
	compacted uint64
	objects   map[string]map[string]*object
	history   []event
}

func (c *content) clone() *content {
	out := &content{revision: c.revision, compacted: c.compacted, objects: map[string]map[string]*object{}}
	out.history = append(out.history, c.history...)

	for kind, m := range c.objects {
		out.objects[kind] = map[string]*object{}
		for name, o := range m {
			out.objects[kind][name] = o
		}
	}

	return out
}

type storeCopy struct {
	at      time.Time
	content *content
}

// store is a stand-in for the platform's metadata store: objects by kind and name, one revision
// counter, lists, watches, conditional writes, and the drill of the news page.
type store struct {
	address string
	rec     *record

	mu      sync.Mutex
	content *content
	copies  []storeCopy
	era     int
	away    bool
	// changed is closed and replaced with each event and with each end of watches.
	changed chan struct{}
	// generation increases when waiting watches are cut off.
	generation int
}

func startStore(rec *record, address string) (*store, error) {
	s := &store{
		address: address, rec: rec, era: 1, changed: make(chan struct{}),
		content: &content{revision: 1, objects: map[string]map[string]*object{}},
	}

	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	go s.keepCopies()

	return s, nil
}

func (s *store) keepCopies() {
	for range time.Tick(copyInterval) {
		now := time.Now()

		s.mu.Lock()

		if !s.away {
			s.copies = append(s.copies, storeCopy{now, s.content.clone()})
		}

		for len(s.copies) > 0 && now.Sub(s.copies[0].at) > copyTime {
			s.copies = s.copies[1:]
		}

		c := s.content
		for len(c.history) > 0 && now.Sub(c.history[0].at) > historyTime {
			c.compacted = c.history[0].revision
			c.history = c.history[1:]
		}

		s.mu.Unlock()
	}
}

// wake wakes the waiting watches; the caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object for the operator or a searcher, and returns its revision. It fails while
// the store is away.
func (s *store) put(kind, name string, spec any) (uint64, bool) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.away {
		return 0, false
	}

	return s.write(kind, name, raw, s.content.objects[kind][name]).Meta.Revision, true
}

// write stores a new value of an object; the caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage, before *object) *object {
	c := s.content

	if before != nil && string(before.Spec) == string(spec) {
		return before
	}

	c.revision++

	o := &object{Spec: spec}
	o.Meta.Name, o.Meta.Revision, o.Meta.CreatedRev = name, c.revision, c.revision
	o.Meta.Finalizers = []string{}

	if before != nil {
		o.Meta.CreatedRev, o.Status = before.Meta.CreatedRev, before.Status
	}

	if c.objects[kind] == nil {
		c.objects[kind] = map[string]*object{}
	}

	c.objects[kind][name] = o
	c.history = append(c.history, event{kind, c.revision, time.Now(), o, false})
	s.wake()

	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	o := s.content.objects[kind][name]
	if o == nil || s.away {
		return false
	}

	s.delete(kind, o)

	return true
}

func (s *store) delete(kind string, o *object) {
	c := s.content
	c.revision++

	delete(c.objects[kind], o.Meta.Name)

	c.history = append(c.history, event{kind, c.revision, time.Now(), o, true})
	s.wake()
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.content.revision
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []string
	for name := range s.content.objects[kind] {
		out = append(out, name)
	}

	sort.Strings(out)

	return out
}

// drill takes the store away for a moment and brings it back from a copy that is so old when it
// goes away.
func (s *store) drill(away, age time.Duration) {
	s.mu.Lock()
	s.away = true
	s.generation++
	before := s.content.revision
	wanted := time.Now().Add(-age)

	var chosen *content

	for _, c := range s.copies {
		if !c.at.After(wanted) {
			chosen = c.content
		}
	}

	s.wake()
	s.mu.Unlock()

	s.rec.printf("drill: the store is away for %s", away)
	time.Sleep(away)

	s.mu.Lock()
	s.content = chosen.clone()
	s.copies = nil
	s.era++
	s.away = false
	s.wake()
	s.mu.Unlock()

	s.rec.printf("drill: the store is back from a copy %s old, Store-Era %d, revision %d (it was %d)", age, s.era, chosen.revision, before)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()

	w.Header().Set("Store-Era", strconv.Itoa(era))

	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")

	switch {
	case away:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.content.objects[kind][name]
	s.mu.Unlock()

	if o == nil {
		w.WriteHeader(http.StatusNotFound)

		return
	}

	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")

	s.mu.Lock()
	revision := s.content.revision

	var names []string
	for name := range s.content.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}

	sort.Strings(names)

	hasMore := len(names) > pageItems
	if hasMore {
		names = names[:pageItems]
	}

	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.content.objects[kind][name])
	}
	s.mu.Unlock()

	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "atRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))

	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()

	s.mu.Lock()
	generation := s.generation
	s.mu.Unlock()

	for over := false; ; {
		s.mu.Lock()
		c := s.content
		cut := s.away || s.generation != generation
		gone := from > c.revision || from < c.compacted
		revision, changed := c.revision, s.changed
		events := []map[string]any{}

		for _, e := range c.history {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		s.mu.Unlock()

		switch {
		case cut:
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		case gone:
			w.WriteHeader(http.StatusGone)

			return
		case len(events) > 0 || over:
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": revision})

			return
		}

		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
	}

	name, status := strings.CutSuffix(name, "/status")
	if name == "" {
		name = in.Meta.Name
	}

	condition := in.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	before := s.content.objects[kind][name]

	switch {
	case r.Method == http.MethodPost && before != nil:
		answer(w, http.StatusConflict, before)
	case r.Method != http.MethodPost && before == nil:
		w.WriteHeader(http.StatusNotFound)
	case condition != 0 && before != nil && condition != before.Meta.Revision:
		answer(w, http.StatusConflict, before)
	case r.Method == http.MethodDelete:
		s.delete(kind, before)
		answer(w, http.StatusOK, before)
	case status:
		o := *before
		o.Status = in.Status
		s.content.objects[kind][name] = &o
		answer(w, http.StatusOK, &o)
	default:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, before))
	}
}
