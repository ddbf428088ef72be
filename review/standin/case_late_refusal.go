package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The dose of the disruption "garble extra late" on site agreca-busqueda: half of the
// searchers add a second copy to at most copies of their answers, for spell.
const (
	copies      = 0.04
	spell, rest = 5 * time.Second, 2 * time.Second
)

// lateRefusal has more clients than two searchers have room for, so that the searchers
// refuse some requests as not run. In the disruption, one of the two sends a second copy of
// some of these refusals late: when the next request on the connection has arrived.
func lateRefusal(r *run) ([]string, error) {
	const (
		length    = 75 * time.Second
		instances = 9
		clients   = 18
	)

	d, err := newDeployment(r.root, r.record)
	if err != nil {
		return nil, err
	}
	defer d.close()

	ran, random, began := newRuns(), newRandom(), time.Now()
	g := &garbler{record: r.record, active: func() bool { return r.trouble && time.Since(began)%(spell+rest) < spell }}

	for i := range 2 {
		s := &searcher{
			id: fmt.Sprintf("i-%d", i+1), service: "claims", zone: string(rune('a' + i)), slots: 2, queue: 2, record: r.record, runs: ran,
			work: func(*http.Request) time.Duration {
				return time.Duration((10 + 20*random.Float64()) * float64(time.Millisecond))
			},
		}
		if i == 0 {
			s.answer = g.answer
		}

		if err := s.start(); err != nil {
			return nil, err
		}

		s.register(d.store, "ready")
	}

	d.store.put("config", "main", claimsConfiguration())

	if err := d.addInstances(instances, func(int) string { return d.store.address }); err != nil {
		return nil, err
	}

	if err := d.startAll(); err != nil {
		return nil, err
	}

	time.Sleep(3 * time.Second)

	began = time.Now()

	return sendClaims(r, d, ran, clients, length), nil
}

// garbler adds late copies to refusals.
type garbler struct {
	record *record
	active func() bool

	mu sync.Mutex // Guards the fields below.
	// answers counts the answers while active, and copied those with a copy.
	answers, copied int
}

// answer implements searcher.answer.
func (g *garbler) answer(s *searcher, a *answer) (now, later []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.active() {
		return a.bytes, nil
	}

	g.answers++

	if a.status != http.StatusServiceUnavailable || float64(g.copied+1) > copies*float64(g.answers) {
		return a.bytes, nil
	}

	g.copied++
	g.record.printf("searcher %s: answers %s with %d; a copy follows late (%d of %d answers)", s.id, a.request, a.status, g.copied, g.answers)

	return a.bytes, a.bytes
}

// sendClaims has clients send requests that may run once, each on a kept connection, and
// returns the violations of TWICE and REFUSED.
func sendClaims(r *run, d *deployment, ran *runs, clients int, length time.Duration) []string {
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex // Guards the variables below.
		violations []string
		answered   = make(map[string]int)
		statuses   = make(map[int]int)
	)

	began := time.Now()

	for n := range clients {
		wg.Go(func() {
			c := &client{address: d.instances[n%len(d.instances)].front()}
			defer c.close()

			for k := 0; time.Since(began) < length; k++ {
				id := fmt.Sprintf("claim-%d-%d", n, k)
				r.record.printf("client %d: sends %s", n, id)

				res := c.do(http.MethodPost, "/claims/new", id, 15*time.Second, "claim "+id)
				r.record.printf("client %d: %s is answered %d (%v)", n, id, res.status, res.err)

				mu.Lock()
				answered[id] = res.status
				statuses[res.status]++
				mu.Unlock()

				time.Sleep(max(res.retryAfter, 5*time.Millisecond))
			}
		})
	}

	wg.Wait()
	time.Sleep(time.Second) // Whatever still runs has ended.

	for id, status := range answered {
		times := ran.of(id)

		if len(times) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s ran %d times, at %v; its client got %d", id, len(times), times, status))
		}

		if refused(status) && len(times) > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered %d and has run, at %v", id, status, times))
		}
	}

	r.record.printf("answers by status: %v", statuses)
	fmt.Println("answers by status:", statuses)

	return violations
}

// refused reports whether a status promises that the request hasn't run and never will.
func refused(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// claimsConfiguration returns a desired state with one route whose requests may run once.
func claimsConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-claims", "hostname": hostName, "pathPrefix": "/claims/", "routeKind": "non_idempotent", "timeoutMs": 15000,
			"targetLatencyMs": 800, "priority": 2, "backend": "claims", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "claims", "healthPath": "/healthz", "maxConns": 26, "protocol": "h1", "tls": false}},
		"limits":   callerLimits(),
	}
}

func callerLimits() map[string]any {
	return map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// lockedRandom is a random source for many goroutines.
type lockedRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom() *lockedRandom { return &lockedRandom{r: rand.New(rand.NewSource(1))} }

// Float64 returns a number from 0 to 1.
func (l *lockedRandom) Float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.r.Float64()
}
