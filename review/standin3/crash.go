package main

import (
	"strconv"
	"sync"
	"time"
)

// runCrash has searchers crash under queries over two shards, and counts the requests of others
// that an instance has passed on and that end without an answer.
func runCrash(d *drill) (bool, error) {
	for _, shard := range []string{"shard-1", "shard-2"} {
		for i, zone := range []string{"zone-a", "zone-b"} {
			if err := d.addSearcher(shard+"-"+strconv.Itoa(i+1), shard, zone, 4, "--least-ms", "40", "--most-ms", "80", "--records", "20"); err != nil {
				return false, err
			}
		}
	}

	for i := range 6 {
		if err := d.addSearcher("desk-"+strconv.Itoa(i+1), "desk", "zone-c", 4, "--least-ms", "150", "--most-ms", "300", "--queue", "16"); err != nil {
			return false, err
		}
	}

	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "lists", "hostname": "search.example", "pathPrefix": "/lists/", "routeKind": "idempotent", "timeoutMs": 1200,
				"targetLatencyMs": 100, "priority": 1, "gather": []string{"shard-1", "shard-2"}, "maxAttempts": 2, "topK": 5, "minShardRatio": 0.5,
			},
			map[string]any{
				"name": "desk", "hostname": "search.example", "pathPrefix": "/desk/", "routeKind": "idempotent", "timeoutMs": 15000,
				"targetLatencyMs": 800, "priority": 2, "backend": "desk", "maxAttempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": "shard-1", "healthPath": "/healthz", "maxConns": 52, "protocol": "h1", "tls": false},
			map[string]any{"name": "shard-2", "healthPath": "/healthz", "maxConns": 52, "protocol": "h1", "tls": false},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})

	if err := d.startInstances(3, ""); err != nil {
		return false, err
	}

	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		results []result
	)

	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}

	// Twelve callers of the desk and ten of the lists at each instance, each with one connection.
	for _, in := range d.instances {
		for i := range 22 {
			wg.Go(func() {
				path, pause, timeout := "/desk/1", time.Duration(0), 15*time.Second
				if i >= 12 {
					path, pause, timeout = "/lists/", 300*time.Millisecond, 1200*time.Millisecond
				}

				c := &client{d: d, in: in, timeout: timeout}
				defer c.close()

				for n := 0; !stopped() && !in.hasEnded(); n++ {
					target := path
					if i >= 12 {
						target += strconv.Itoa(i) + "-" + strconv.Itoa(n)
					}

					r := c.do("GET", target, "")

					if i < 12 {
						mu.Lock()
						results = append(results, r)
						mu.Unlock()
					}

					time.Sleep(pause)
				}
			})
		}
	}

	ended := func() bool {
		for _, in := range d.instances {
			if in.hasEnded() {
				return true
			}
		}

		return false
	}

	time.Sleep(12 * time.Second) // Budgets of retries are full after 10 s.

	for i, id := range []string{"shard-1-1", "shard-2-1", "shard-1-2", "shard-2-2", "shard-1-1", "shard-2-1", "shard-1-2", "shard-2-2"} {
		if ended() {
			break
		}

		if d.trouble {
			d.crash(d.searchers[id], 4500*time.Millisecond)
		}

		d.say("crash %d of 8 is over", i+1)
		d.await(8*time.Second, ended)
	}

	time.Sleep(time.Second)
	close(stop)
	wg.Wait()

	broken := false

	for _, in := range d.instances {
		if !in.hasEnded() {
			continue
		}

		d.panicLines(in)

		lost := 0

		mu.Lock()
		for _, r := range results {
			if r.instance == in.name && r.kept && r.status == 0 && d.arrived(r.id) {
				lost++
			}
		}
		mu.Unlock()

		d.say("LOST: %s has ended by itself; %d requests from kept connections had been passed on to searchers that live, and got no answer",
			in.name, lost)

		broken = broken || lost > 3
	}

	return broken, nil
}

// arrived reports whether a request has reached a searcher that takes it.
func (d *drill) arrived(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, s := range d.seen {
		if s.request == id && s.what == "arrive" {
			return true
		}
	}

	return false
}
