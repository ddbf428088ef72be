package searcher

import (
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
)

const maxControlBytes = 1 << 20

// Group is the searchers of one process, with one control API.
type Group struct {
	endpoints []*Endpoint
}

// NewGroup returns the searchers of a file. None of them listens yet.
func NewGroup(list []Options) (*Group, error) {
	g := &Group{}
	seen := make(map[string]bool)

	for i, o := range list {
		s, err := New(o)
		if err == nil && seen[o.ID] {
			err = errors.New("id is used twice")
		}

		if err != nil {
			return nil, errors.Annotatef(err, "searchers[%d] (%s)", i, o.ID)
		}

		seen[o.ID] = true

		g.endpoints = append(g.endpoints, NewEndpoint(s))
	}

	return g, nil
}

// Listen opens every address; on an error none stays open.
func (g *Group) Listen() error {
	for _, e := range g.endpoints {
		if err := e.Listen(); err != nil {
			g.Close()

			return errors.Annotatef(err, "searcher %s", e.options.Load().ID)
		}
	}

	return nil
}

// Close closes every address and connection.
func (g *Group) Close() {
	for _, e := range g.endpoints {
		e.Close()
	}
}

// Entry names one searcher of a group.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
}

// Entries lists the searchers.
func (g *Group) Entries() []Entry { return entries(g.endpoints) }

func entries(endpoints []*Endpoint) []Entry {
	list := make([]Entry, 0, len(endpoints))

	for _, e := range endpoints {
		o := e.options.Load()
		list = append(list, Entry{o.ID, e.Address(), o.Service, o.Shard})
	}

	return list
}

// Handler serves the control API. The query parameters id, service and shard
// select the searchers that a call applies to; without any it applies to all.
func (g *Group) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/fake/searchers", g.handle(nil, func(es []*Endpoint) any { return entries(es) }))
	r.Get("/fake/stats", g.handle(nil, statsByID))
	r.Get("/fake/runs", g.handle(nil, runsByKey))
	r.Put("/fake/options", g.handle(patchOptions, nil))
	r.Put("/fake/faults", g.handle(putFaults, nil))
	r.Post("/fake/drain", g.handle(startDrain, nil))
	r.Post("/fake/restart", g.handle(restart, nil))
	r.Post("/fake/hold", g.hold)

	return r
}

// handle returns a handler that calls apply with the request's body and the
// selected searchers, and responds with what result returns. Either may be nil.
func (g *Group) handle(apply func([]byte, []*Endpoint) error, result func([]*Endpoint) any) http.HandlerFunc {
	if result == nil {
		result = func(es []*Endpoint) any { return map[string]int{"searchers": len(es)} }
	}

	return func(w http.ResponseWriter, r *http.Request) {
		selected, err := g.selected(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)

			return
		}

		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil && apply != nil {
			err = apply(body, selected)
		}

		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		w.Header().Set("Content-Type", "application/json")

		_ = json.NewEncoder(w).Encode(result(selected))
	}
}

func (g *Group) selected(r *http.Request) ([]*Endpoint, error) {
	q := r.URL.Query()

	var list []*Endpoint

	for _, e := range g.endpoints {
		o := e.options.Load()
		if matches(q.Get("id"), o.ID) && matches(q.Get("service"), o.Service) &&
			matches(q.Get("shard"), strconv.FormatUint(uint64(o.Shard), 10)) {
			list = append(list, e)
		}
	}

	if len(list) == 0 {
		return nil, errors.New("no searcher is selected")
	}

	return list, nil
}

func matches(wanted, v string) bool { return wanted == "" || wanted == v }

func statsByID(es []*Endpoint) any {
	m := make(map[string]Stats, len(es))
	for _, e := range es {
		m[e.options.Load().ID] = e.Stats()
	}

	return m
}

func runsByKey(es []*Endpoint) any {
	m := make(map[string]int)

	for _, e := range es {
		e.Server.mu.Lock()
		for k, n := range e.runs {
			m[k] += n
		}
		e.Server.mu.Unlock()
	}

	return m
}

func patchOptions(body []byte, es []*Endpoint) error {
	patched := make([]Options, len(es))

	for i, e := range es {
		o, err := e.options.Load().patch(body)
		if err != nil {
			return err
		}

		patched[i] = o
	}

	for i, e := range es {
		e.SetOptions(patched[i])
	}

	return nil
}

func putFaults(body []byte, es []*Endpoint) error {
	var f Faults
	if err := json.Unmarshal(body, &f); err != nil {
		return err
	}

	if err := f.validate(); err != nil {
		return err
	}

	errs := make([]error, 0, len(es))
	for _, e := range es {
		errs = append(errs, e.SetFaults(f))
	}

	return stderrors.Join(errs...)
}

func startDrain(body []byte, es []*Endpoint) error {
	var d struct {
		GraceMS float64 `json:"grace_ms"`
		Quiet   bool    `json:"quiet"`
	}
	if err := unmarshalOptional(body, &d); err != nil {
		return err
	}

	for _, e := range es {
		e.Drain(milliseconds(d.GraceMS), d.Quiet)
	}

	return nil
}

func restart(_ []byte, es []*Endpoint) error {
	for _, e := range es {
		e.Restart()
	}

	return nil
}

// hold sets the snapshots of the body's shard. It applies to the searchers
// selected by id, which may belong to another shard and take this one over, or,
// without an id, to those of the body's shard.
func (g *Group) hold(w http.ResponseWriter, r *http.Request) {
	var h struct {
		Service   string            `json:"service"`
		Shard     uint32            `json:"shard"`
		Snapshots []domain.Snapshot `json:"snapshots"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	if q := r.URL.Query(); q.Get("id") == "" {
		q.Set("service", h.Service)
		q.Set("shard", strconv.FormatUint(uint64(h.Shard), 10))
		r.URL.RawQuery = q.Encode()
	}

	g.handle(func(_ []byte, es []*Endpoint) error {
		for _, e := range es {
			e.SetSnapshots(h.Service, h.Shard, h.Snapshots)
		}

		return nil
	}, nil)(w, r)
}

func unmarshalOptional(body []byte, v any) error {
	if len(body) == 0 {
		return nil
	}

	return json.Unmarshal(body, v)
}
