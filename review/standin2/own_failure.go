package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ownFailure: searchers run requests and then fail them with a 503 of their own, which doesn't say
// that the request hasn't run.
func ownFailure(d *deployment, trouble bool) (verdict, error) {
	const (
		instances, searchers = 3, 10
		// The largest dose of srv_grey: a share of 0.15 of the searchers, 0.4 of their requests.
		failing, failingOf10 = 1, 4
		claims               = 300
		maxTries             = 3
	)

	for n := range searchers {
		s, err := startSearcher(d.rec, d.store, d.ledger, fmt.Sprintf("i-garantias-%d", n), "garantias", "gt-centro-"+string(rune('a'+n%3)),
			fmt.Sprintf("%s.%d:8080", d.network, 100+n), 20*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}

		if trouble && n < failing {
			s.failing.Store(failingOf10)
		}
	}

	r := route("r-reclamo", "/timi402/", "garantias")
	r["routeKind"] = "non_idempotent"
	d.store.put("config", "main", configuration(3, []string{"garantias"}, nil, r))

	for range instances {
		if _, err := d.addInstance(); err != nil {
			return verdict{}, err
		}
	}

	if err := d.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}

	time.Sleep(3 * time.Second)

	c := newClient(d.rec, host, 3*time.Second)

	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		tries = map[int][]string{} // The ids of the attempts for each claim.
	)

	begun := time.Now()

	for n := range claims {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * 40 * time.Millisecond)))
		wg.Go(func() {
			// The client tries again after a promise only: 429 and 503 say that the request has
			// not run and never will.
			for try := range maxTries {
				s := c.do(d.instances[(n+try)%instances], http.MethodPost, fmt.Sprintf("/timi402/claim-%d", n), "", strings.NewReader("claim"))

				mu.Lock()
				tries[n] = append(tries[n], s.id)
				mu.Unlock()

				if s.status != http.StatusServiceUnavailable && s.status != http.StatusTooManyRequests {
					return
				}

				time.Sleep(100 * time.Millisecond)
			}
		})
	}

	wg.Wait()
	time.Sleep(500 * time.Millisecond)

	ran := map[string]int{}
	for _, r := range d.ledger.all() {
		ran[r.request]++
	}

	falseRefusals, refusals, twice := 0, 0, 0

	for _, s := range c.all() {
		switch s.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refusals++

			if ran[s.id] > 0 {
				falseRefusals++
			}
		}
	}

	for _, ids := range tries {
		n := 0
		for _, id := range ids {
			n += ran[id]
		}

		if n > 1 {
			twice++
		}
	}

	return verdict{falseRefusals > 0, fmt.Sprintf(
		"%d claims: %d attempts were answered 408, 421, 429 or 503, and %d of these had run; %d claims were run more than once, as their client trusted the promise",
		claims, refusals, falseRefusals, twice)}, nil
}
