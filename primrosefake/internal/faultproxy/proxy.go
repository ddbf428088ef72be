package faultproxy

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
)

const maxControlBytes = 1 << 20

var errNoLink = errors.New("no link has that name")

// File lists the links that one process serves.
type File struct {
	ControlAddress string    `json:"control_address"`
	Seed           uint64    `json:"seed"`
	Links          []Options `json:"links"`
}

// Proxy serves links. It is safe for concurrent use.
type Proxy struct {
	seed     uint64
	alarm    alarm
	schedule *schedule

	mu    sync.Mutex // Guards links.
	links map[string]*Link
}

// New returns a proxy without links.
func New(seed uint64) (*Proxy, error) {
	a, err := newAlarm()
	if err != nil {
		return nil, err
	}

	return &Proxy{seed: seed, alarm: a, schedule: newSchedule(a), links: make(map[string]*Link)}, nil
}

// Close resets every connection and closes every address.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.links {
		l.close()
	}

	p.alarm.close()
}

// Add opens a link and returns the address that it listens on.
func (p *Proxy) Add(o Options) (string, error) {
	if err := o.Validate(); err != nil {
		return "", errors.Annotatef(err, "link %q", o.Name)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.links[o.Name] != nil {
		return "", errors.Errorf("link %q: name is already in use", o.Name)
	}

	l := newLink(p.schedule, o, p.seed)
	if err := l.listen(); err != nil {
		return "", errors.Annotatef(err, "link %q", o.Name)
	}

	p.links[o.Name] = l

	return l.options.Listen, nil
}

// Update sets the options of a link that the JSON object patch contains. The
// name and the addresses stay.
func (p *Proxy) Update(name string, patch []byte) error {
	l, err := p.link(name)
	if err != nil {
		return err
	}

	old := l.currentOptions()
	o := old

	if err := json.Unmarshal(patch, &o); err != nil {
		return err
	}

	o.Name, o.Listen, o.Target = old.Name, old.Listen, old.Target
	if err := o.Validate(); err != nil {
		return err
	}

	l.setOptions(o)

	return nil
}

// Partition starts or ends the partition of the links from one failure domain to
// another and returns their number. An empty domain matches any.
func (p *Proxy) Partition(from, to string, on bool) int {
	n := 0

	for _, l := range p.all() {
		o := l.currentOptions()
		if (from == "" || from == o.FromDomain) && (to == "" || to == o.ToDomain) {
			o.Partitioned = on
			l.setOptions(o)

			n++
		}
	}

	return n
}

// Act applies an action (reset, silence, lose_target or lose_caller) to the open
// connections of a link and returns their number.
func (p *Proxy) Act(name, action string) (int, error) {
	l, err := p.link(name)
	if err != nil {
		return 0, err
	}

	switch action {
	case "reset":
		return l.forEachSession((*session).reset), nil
	case "silence":
		return l.forEachSession((*session).silence), nil
	case "lose_target":
		return l.forEachSession(func(s *session) { s.halfOpen(s.target) }), nil
	case "lose_caller":
		return l.forEachSession(func(s *session) { s.halfOpen(s.caller) }), nil
	default:
		return 0, errors.Errorf("action %q is unknown", action)
	}
}

// Statuses lists the links, sorted by name.
func (p *Proxy) Statuses() []Status {
	links := p.all()
	list := make([]Status, 0, len(links))

	for _, l := range links {
		list = append(list, l.status())
	}

	return list
}

func (p *Proxy) link(name string) (*Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	l := p.links[name]
	if l == nil {
		return nil, errors.Annotatef(errNoLink, "link %q", name)
	}

	return l, nil
}

func (p *Proxy) all() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()

	list := make([]*Link, 0, len(p.links))
	for _, name := range slices.Sorted(maps.Keys(p.links)) {
		list = append(list, p.links[name])
	}

	return list
}

// Handler serves the control API.
func (p *Proxy) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/fake/links", func(w http.ResponseWriter, _ *http.Request) { respond(w, p.Statuses(), nil) })
	r.Post("/fake/links", p.postLink)
	r.Put("/fake/links/{name}", p.putLink)
	r.Post("/fake/links/{name}/{action}", p.postAction)
	r.Put("/fake/partition", p.putPartition)

	return r
}

func (p *Proxy) postLink(w http.ResponseWriter, r *http.Request) {
	var o Options

	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&o)
	if err == nil {
		o.Listen, err = p.Add(o)
	}

	respond(w, o, err)
}

func (p *Proxy) putLink(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")

	patch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err == nil {
		err = p.Update(name, patch)
	}

	if err != nil {
		respond(w, nil, err)

		return
	}

	l, err := p.link(name)
	if err != nil {
		respond(w, nil, err)

		return
	}

	respond(w, l.status(), nil)
}

func (p *Proxy) postAction(w http.ResponseWriter, r *http.Request) {
	n, err := p.Act(chi.URLParam(r, "name"), chi.URLParam(r, "action"))
	respond(w, map[string]int{"connections": n}, err)
}

func (p *Proxy) putPartition(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From string `json:"from"`
		To   string `json:"to"`
		On   bool   `json:"on"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&body); err != nil {
		respond(w, nil, err)

		return
	}

	respond(w, map[string]int{"links": p.Partition(body.From, body.To, body.On)}, nil)
}

// respond writes v as JSON, or err as a line of text.
func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, errNoLink):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
