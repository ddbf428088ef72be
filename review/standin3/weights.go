package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

const applyTime = 3 * time.Second

// runWeights moves a route from one service to a weighted split of two others, and looks for
// requests that the old service runs more than applyTime after the change was acknowledged.
func runWeights(d *drill) (bool, error) {
	for _, service := range []string{"old", "new", "canary"} {
		for i := range 2 {
			if err := d.addSearcher(service+"-"+strconv.Itoa(i+1), service, "zone-a", 4, "--least-ms", "20", "--most-ms", "40", "--queue", "16"); err != nil {
				return false, err
			}
		}
	}

	configure := func(version int, target string, value any) time.Time {
		var services []any
		for _, name := range []string{"old", "new", "canary"} {
			services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false})
		}

		return d.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{
				map[string]any{
					"name": "desk", "hostname": "search.example", "pathPrefix": "/desk/", "routeKind": "idempotent", "timeoutMs": 8000,
					"targetLatencyMs": 500, "priority": 2, target: value, "maxAttempts": 2,
				},
			},
			"services": services,
			"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
	}

	configure(7, "backend", "old")

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
		wg.Go(func() {
			c := &client{d: d, in: in, timeout: 8 * time.Second}
			defer c.close()

			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}

				r := c.do("GET", "/desk/1", "")

				mu.Lock()
				sent[r.id] = r
				mu.Unlock()
			}
		})
	}

	time.Sleep(6 * time.Second)

	// The same proportions, as fractions or as whole numbers.
	weights := []any{
		map[string]any{"backend": "new", "weight": 0.75},
		map[string]any{"backend": "canary", "weight": 0.25},
	}
	if !d.trouble {
		weights = []any{
			map[string]any{"backend": "new", "weight": 3},
			map[string]any{"backend": "canary", "weight": 1},
		}
	}

	ack := configure(9, "trafficSplit", weights)
	d.say("version 9 moves the route from old to new and canary")
	time.Sleep(applyTime + 5*time.Second)

	// For the record only: what instances do that all start with this version in the store.
	for _, in := range d.instances {
		_ = in.cmd.Process.Kill()
		<-in.exited
	}

	for _, in := range d.instances {
		if err := d.run(in); err != nil {
			return false, err
		}
	}

	restarted := time.Now()

	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()

	late, after, refused, asked := 0, 0, 0, 0

	for _, r := range sent {
		if r.sent.Sub(restarted) > time.Second {
			asked++

			if r.status == 503 {
				refused++
			}
		}
	}

	d.mu.Lock()
	list := d.seen
	d.mu.Unlock()

	for _, s := range list {
		r, ok := sent[s.request]
		if !ok || s.what != "run" || r.sent.Sub(ack) <= applyTime {
			continue
		}

		after++

		if strings.HasPrefix(s.searcher, "old-") {
			late++
		}
	}

	for _, in := range d.instances {
		d.tail(in, 1, "configuration_refused")
	}

	d.say("the instances, which have all started again, refuse %d of %d requests with 503", refused, asked)
	d.say("CONFIG: of %d runs of requests sent later than %d ms after the ack, %d were by the old service", after, applyTime.Milliseconds(), late)

	return late > 0, nil
}
