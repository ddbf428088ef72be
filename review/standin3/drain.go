package main

import (
	"strconv"
	"sync"
	"time"
)

const drainTime = 3 * time.Second

// runDrain has two searchers leave, one after the other, while the store cuts one waiting watch
// off, and looks for requests that reach the first one more than drainTime after its entry was
// removed.
func runDrain(d *drill) (bool, error) {
	for i := range 4 {
		if err := d.addSearcher("desk-"+strconv.Itoa(i+1), "desk", "zone-a", 6, "--least-ms", "110", "--most-ms", "330", "--queue", "16"); err != nil {
			return false, err
		}
	}

	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "desk", "hostname": "search.example", "pathPrefix": "/desk/", "routeKind": "non_idempotent", "timeoutMs": 15000,
				"targetLatencyMs": 800, "priority": 2, "backend": "desk", "maxAttempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})

	if err := d.startInstances(3, ""); err != nil {
		return false, err
	}

	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		sent = make(map[string]result)
	)

	stop := make(chan struct{})

	for _, in := range d.instances {
		for range 7 {
			wg.Go(func() {
				c := &client{d: d, in: in, timeout: 15 * time.Second}
				defer c.close()

				for {
					select {
					case <-stop:
						return
					case <-time.After(30 * time.Millisecond):
					}

					r := c.do("POST", "/desk/1", "claim")

					mu.Lock()
					sent[r.id] = r
					mu.Unlock()
				}
			})
		}
	}

	time.Sleep(8 * time.Second)

	first, second := d.searchers["desk-1"], d.searchers["desk-2"]

	gone := d.unlist(first)
	d.say("the entry of desk-1 is removed; it goes on serving")
	time.Sleep(1500 * time.Millisecond)

	if d.trouble {
		d.say("a watch is cut off: %v", d.await(time.Second, func() bool { return d.store.cutWatch("servers") }))
	}

	time.Sleep(time.Until(gone.Add(2300 * time.Millisecond)))

	d.mu.Lock()
	second.state = "draining"
	d.mu.Unlock()
	d.beat(second)
	d.say("desk-2 is draining")

	time.Sleep(time.Until(gone.Add(drainTime + 650*time.Millisecond)))
	d.kill(first)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	late, lost := 0, 0

	d.mu.Lock()
	list := d.seen
	d.mu.Unlock()

	for _, s := range list {
		if s.searcher == "desk-1" && s.what == "arrive" && s.at.Sub(gone) > drainTime {
			late++

			r := sent[s.request]
			if r.status != 200 {
				lost++
			}

			d.say("DRAIN: %s, sent to %s, reaches desk-1 %d ms after its entry was removed, and gets %d", s.request, r.instance,
				s.at.Sub(gone).Milliseconds(), r.status)
		}
	}

	for _, in := range d.instances {
		d.tail(in, 6, "store_")
	}

	d.say("%d requests, none of which may be repeated, reached a searcher that was gone; %d of them were lost with it", late, lost)

	return late > 0, nil
}
