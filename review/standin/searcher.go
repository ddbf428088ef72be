package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for one searcher: it runs slots requests at a time, queues a few
// more, refuses the rest as not run, and echoes the id of each request.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              func(r *http.Request) time.Duration
	record            *record
	runs              *runs
	listener          net.Listener
	born              int64
	seq               atomic.Int64
	// answer changes an answer before it is sent, if it is set: what is written now, and
	// what is written as soon as the next request on the connection has arrived.
	answer func(s *searcher, a *answer) (now, later []byte)

	mu     sync.Mutex // Guards the fields below.
	active int        // Running and waiting requests.
	free   chan struct{}
}

// answer is an answer that is ready.
type answer struct {
	request string
	method  string
	status  int
	ran     bool
	bytes   []byte
}

// runs counts for each request id how often it ran.
type runs struct {
	mu sync.Mutex // Guards by.
	by map[string][]string
}

func newRuns() *runs { return &runs{by: make(map[string][]string)} }

func (r *runs) add(id, searcher string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.by[id] = append(r.by[id], searcher)

	return len(r.by[id])
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]string(nil), r.by[id]...)
}

// start begins to listen. The searcher isn't registered yet.
func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}

	s.listener, s.born = l, time.Now().UnixMilli()
	s.free = make(chan struct{}, s.slots)

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go s.serve(c)
		}
	}()

	return nil
}

// register writes the searcher's entry, and returns when the store has acknowledged it.
func (s *searcher) register(st *store, state string) time.Time {
	return st.put("servers", s.id, map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "warmupLeftMs": 0, "seq": s.seq.Add(1), "born": s.born,
	})
}

// serve serves one connection, one request at a time.
func (s *searcher) serve(c net.Conn) {
	defer c.Close()

	reader := bufio.NewReader(c)

	var extra []byte

	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		if len(extra) > 0 {
			s.record.printf("searcher %s: request %s has arrived; an extra answer is written before its own", s.id, r.Header.Get("X-Request-Id"))

			if _, err := c.Write(extra); err != nil {
				return
			}
		}

		a := s.handle(r, body)
		now := a.bytes
		extra = nil

		if s.answer != nil {
			now, extra = s.answer(s, a)
		}

		if _, err := c.Write(now); err != nil {
			return
		}
	}
}

// handle runs or refuses a request.
func (s *searcher) handle(r *http.Request, body []byte) *answer {
	id := r.Header.Get("X-Request-Id")

	if r.URL.Path == "/healthz" {
		return s.newAnswer(r, http.StatusOK, false, "", nil)
	}

	if r.Header.Get("X-Expect-Instance") != s.id {
		return s.newAnswer(r, http.StatusMisdirectedRequest, false, "", nil)
	}

	limit, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if id == "" || err != nil {
		return s.newAnswer(r, http.StatusBadRequest, false, "X-Not-Executed: 1\r\n", nil)
	}

	if err := s.take(time.Duration(limit) * time.Millisecond); err != nil {
		s.record.printf("searcher %s: %s isn't run: %v", s.id, id, err)

		return s.newAnswer(r, http.StatusServiceUnavailable, false, "X-Not-Executed: 1\r\n", nil)
	}

	n := s.runs.add(id, s.id)
	s.record.printf("searcher %s: %s runs, for the %d. time", s.id, id, n)
	time.Sleep(s.work(r))
	s.release()

	return s.newAnswer(r, http.StatusOK, true, "X-Response-Stamp: "+stamp(s.id, id)+"\r\n", append([]byte("service "+s.service+" has run "+id+" "), body...))
}

var errFull = errors.New("the searcher is full")

// take waits for a slot, in a short queue.
func (s *searcher) take(limit time.Duration) error {
	s.mu.Lock()
	if s.active >= s.slots+s.queue {
		s.mu.Unlock()

		return errFull
	}

	s.active++
	s.mu.Unlock()

	select {
	case s.free <- struct{}{}:
		return nil
	case <-time.After(limit):
		s.mu.Lock()
		s.active--
		s.mu.Unlock()

		return errors.New("the time limit has passed in the queue")
	}
}

func (s *searcher) release() {
	<-s.free

	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// load returns the value of X-Server-Load.
func (s *searcher) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	running := min(s.active, s.slots)

	return fmt.Sprintf("%d,%d,%d", running, s.active-running, s.slots)
}

func (s *searcher) newAnswer(r *http.Request, status int, ran bool, header string, body []byte) *answer {
	var b bytes.Buffer

	id := r.Header.Get("X-Request-Id")
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nKeep-Alive: timeout=15\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, s.id, s.load(), header, len(body))
	b.Write(body)

	return &answer{request: id, method: r.Method, status: status, ran: ran, bytes: b.Bytes()}
}

// stamp returns the proof of an answer.
func stamp(searcher, request string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, searcher+" "+request)

	return fmt.Sprintf("%016x", h.Sum64())
}
