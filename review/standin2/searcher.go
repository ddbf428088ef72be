package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// run is a request that a searcher began to work on.
type run struct {
	request, searcher, service, tenant string
	at                                 time.Time
}

// ledger holds what the searchers ran.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.runs = append(l.runs, r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]run(nil), l.runs...)
}

// searcher is a stand-in for one searcher.
type searcher struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	born                       int64
	store                      *store
	rec                        *record
	ledger                     *ledger
	server                     *http.Server

	state atomic.Value
	seq   atomic.Int64
	ended atomic.Bool
	held  chan struct{}

	running, waiting atomic.Int64
	// failing is how many of 10 requests fail after they have run, with a status of the
	// searcher's own; 0 for none.
	failing, served atomic.Int64
	// limit is the rate that the searcher names as its Server-Limit; nil for none.
	limit atomic.Pointer[string]
}

func startSearcher(rec *record, st *store, l *ledger, id, service, zone, address string, work time.Duration) (*searcher, error) {
	s := &searcher{
		id: id, service: service, zone: zone, address: address, slots: 4, queue: 16, work: work,
		born: time.Now().UnixMilli(), store: st, rec: rec, ledger: l,
	}
	s.held = make(chan struct{}, s.slots)
	s.state.Store("ready")

	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	s.server = &http.Server{Handler: s}

	go func() { _ = s.server.Serve(ln) }()

	s.register()

	go func() {
		for range time.Tick(heartbeat) {
			if s.ended.Load() {
				return
			}

			s.register()
		}
	}()

	return s, nil
}

// register writes the searcher's entry.
func (s *searcher) register() (uint64, bool) {
	return s.store.put("servers", s.id, map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state.Load(), "warmupLeftMs": 0, "seq": s.seq.Add(1), "born": s.born,
	})
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")

	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", s.id)

		return
	}

	if id != "" {
		h.Set("X-Request-Id", id)
	}

	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if limit := s.limit.Load(); limit != nil {
		h.Set("Server-Limit", *limit)
	}

	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))

	limit, _ := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	deadline := time.NewTimer(time.Duration(limit * float64(time.Millisecond)))

	defer deadline.Stop()

	if id == "" || s.waiting.Load() >= int64(s.queue) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	_, _ = io.Copy(io.Discard, r.Body)

	s.waiting.Add(1)

	select {
	case s.held <- struct{}{}:
		s.waiting.Add(-1)
	case <-deadline.C:
		s.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	case <-r.Context().Done():
		s.waiting.Add(-1)

		return
	}

	s.running.Add(1)

	defer func() {
		s.running.Add(-1)
		<-s.held
	}()

	s.ledger.add(run{id, s.id, s.service, r.Header.Get("X-Tenant"), time.Now()})
	s.rec.printf("run %s at %s of %s tenant=%q", id, s.id, s.service, r.Header.Get("X-Tenant"))

	sum := sha256.Sum256([]byte(s.id + id))
	h.Set("X-Response-Stamp", s.id+"."+hex.EncodeToString(sum[:4]))

	select {
	case <-time.After(s.work):
		// Multiples of 7 modulo 10 scatter the failures.
		if n := s.failing.Load(); n > 0 && s.served.Add(1)*7%10 < n {
			s.rec.printf("failed %s with 503 of its own, after it has run", id)
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		_, _ = io.WriteString(w, "answer of "+s.service+" to "+id)
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}
