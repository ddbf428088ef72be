package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// escapedSlash has clients look up terms, each one segment of the path. In the disruption,
// some terms hold a slash, which stands in the path as %2F. The prefix of another route
// begins such a path only once it is decoded.
func escapedSlash(r *run) ([]string, error) {
	d, err := newDeployment(r.root, r.record)
	if err != nil {
		return nil, err
	}
	defer d.close()

	ran := newRuns()

	for i := range 4 {
		s := &searcher{
			id: fmt.Sprintf("i-%d", i+1), service: []string{"lookup", "claims"}[i%2], zone: string(rune('a' + i%3)), slots: 4, queue: 12,
			record: r.record, runs: ran, work: func(*http.Request) time.Duration { return 5 * time.Millisecond },
		}

		if err := s.start(); err != nil {
			return nil, err
		}

		s.register(d.store, "ready")
	}

	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "hostname": hostName, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 3000,
			"targetLatencyMs": 200, "priority": 1, "backend": name, "maxAttempts": 2,
		}
	}

	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes":  []any{route("lookup", "/lookup/", "idempotent"), route("claims", "/lookup/claims/", "non_idempotent")},
		"services": []any{
			map[string]any{"name": "lookup", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "claims", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": callerLimits(),
	})

	if err := d.addInstances(2, func(int) string { return d.store.address }); err != nil {
		return nil, err
	}

	if err := d.startAll(); err != nil {
		return nil, err
	}

	terms := []string{"claims-2026", "heaters", "claims"}
	if r.trouble {
		terms = []string{"claims%2F2026", "heaters", "claims%2Fopen"}
	}

	var violations []string

	for k := range 60 {
		i := d.instances[k%len(d.instances)]
		c := &client{address: i.front()}
		path, id := "/lookup/"+terms[k%len(terms)], fmt.Sprintf("look-%d", k)

		res := c.do(http.MethodGet, path, id, 3*time.Second, "")
		c.close()

		at := ran.of(id)
		r.record.printf("client: GET %s (%s) at %s is answered %d; it ran at %v: %s", path, id, i.name, res.status, at, res.body)

		// Of the two prefixes, only /lookup/ begins any of these paths.
		if strings.Contains(res.body, "service claims ") {
			violations = append(violations, fmt.Sprintf("ROUTE: GET %s (%s) ran at service claims, by the prefix /lookup/claims/", path, id))
		}
	}

	return violations, nil
}
