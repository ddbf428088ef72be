package main

import (
	"strconv"
	"sync"
	"syscall"
	"time"
)

const revokeTime = 5 * time.Second

// runRevoke takes a key away, has the store come back from a copy of before, restarts one instance,
// and looks for requests with the key that run more than revokeTime after it was taken away.
func runRevoke(d *drill) (bool, error) {
	for i := range 3 {
		if err := d.addSearcher("desk-"+strconv.Itoa(i+1), "desk", "zone-a", 4, "--least-ms", "20", "--most-ms", "40", "--queue", "16"); err != nil {
			return false, err
		}
	}

	configure := func(version int, keys ...string) time.Time {
		d.say("the operator writes version %d, in which the keys of opticians are %v", version, keys)

		return d.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{
				map[string]any{
					"name": "desk", "hostname": "search.example", "pathPrefix": "/desk/", "routeKind": "idempotent", "timeoutMs": 2000,
					"targetLatencyMs": 500, "priority": 2, "backend": "desk", "maxAttempts": 2,
				},
			},
			"services": []any{
				map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 550, "protocol": "h1", "tls": false},
			},
			"tenants": []any{map[string]any{"name": "opticians", "apiKeys": keys}},
			"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
	}

	configure(7, "key-one", "key-two")

	if err := d.startInstances(3, "bounds.revokeStrict=true\nbounds.revokeMs=5000\nbounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\n"); err != nil {
		return false, err
	}

	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		sent = make(map[string]result)
	)

	stop := make(chan struct{})

	for _, in := range d.instances {
		for _, key := range []string{"key-one", "key-two"} {
			wg.Go(func() {
				c := &client{d: d, in: in, timeout: 2 * time.Second}
				defer c.close()

				for {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}

					r := c.do("GET", "/desk/"+key, "", "Authorization: Token "+key)
					if key == "key-two" {
						mu.Lock()
						sent[r.id] = r
						mu.Unlock()
					}
				}
			})
		}
	}

	time.Sleep(6 * time.Second)

	before := d.store.copy()
	d.say("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)

	taken := configure(9, "key-one")
	time.Sleep(revokeTime + 1500*time.Millisecond)

	if d.trouble {
		in := d.instances[1]
		d.say("instance %s is killed, and the store is away", in.name)

		_ = in.cmd.Process.Signal(syscall.SIGKILL)
		<-in.exited

		d.store.restore(before, 700*time.Millisecond)
		d.say("the store is back from the copy")
		d.rewrite()

		if err := d.run(in); err != nil {
			return false, err
		}

		time.Sleep(1500 * time.Millisecond)
		configure(9, "key-one")
	}

	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()

	late := 0

	d.mu.Lock()
	list := d.seen
	d.mu.Unlock()

	for _, s := range list {
		if r, ok := sent[s.request]; ok && s.what == "run" && r.sent.Sub(taken) > revokeTime {
			late++

			d.say("CONFIG: %s, sent to %s with key-two %d ms after that was taken away, runs at %s and gets %d", r.id, r.instance,
				r.sent.Sub(taken).Milliseconds(), s.searcher, r.status)
		}
	}

	for _, in := range d.instances {
		d.tail(in, 4, "event=configuration ")
	}

	d.say("%d requests ran with a key that had been taken away", late)

	return late > 0, nil
}

// rewrite has all registered searchers write their entries again, as after a return of the store
// from a copy.
func (d *drill) rewrite() {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, s := range d.searchers {
		s.written = entry{}
	}
}
