package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	host = "pupu76.example"
	// The drill: how long the store is away, and how old the copy is that it comes back from.
	drillAway = time.Second
	drillAge  = 6 * time.Second
)

// demandBounds are the bounds that the deployments with keys and usage caps have beside the others.
var demandBounds = map[string]string{
	"revokeStrict": "true", "revokeMs": "5000", "quotaWindowS": "5", "quotaOverage": "0.1", "quotaSlack": "20", "warmupOverage": "1.5",
	"warmupSlack": "5", "evacuationMs": "5000",
}

// route returns a route of a configuration to one service.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeKind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 800,
		"priority": 2, "backend": service, "maxAttempts": 2,
	}
}

// configuration returns a desired state.
func configuration(version int, services []string, tenants []map[string]any, routes ...map[string]any) map[string]any {
	list := make([]map[string]any, len(services))
	for i, s := range services {
		list[i] = map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	}

	out := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		out["tenants"] = tenants
	}

	return out
}

// startSearchers starts searchers of a service in the three zones; first is the last part of the
// first one's address.
func (d *deployment) startSearchers(service string, count, first int, work time.Duration) error {
	for n := range count {
		id := fmt.Sprintf("i-%s-%d", service, n)
		zone := "gt-centro-" + string(rune('a'+n%3))

		if _, err := startSearcher(d.rec, d.store, d.ledger, id, service, zone, fmt.Sprintf("%s.%d:8080", d.network, first+n), work); err != nil {
			return err
		}
	}

	return nil
}

// drillConfig: a change of the configuration right after a drill, which takes a key away and moves
// a route to another service.
func drillConfig(d *deployment, trouble bool) (verdict, error) {
	const (
		instances   = 6
		configApply = 3 * time.Second
		skewMax     = 12 * time.Second
		stable      = 4 * time.Second
		revoke      = 5 * time.Second
		keptKey     = "k-optik-1"
		takenKey    = "k-kaotatud-2"
		path        = "/timi402/1f"
	)

	d.bounds = demandBounds

	services := []string{"garantias", "censo"}
	for i, s := range services {
		if err := d.startSearchers(s, 10, 100+20*i, 20*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}

	optik := map[string]any{"name": "optik", "apiKeys": []string{keptKey}}
	lost := map[string]any{"name": "kaotatud", "apiKeys": []string{takenKey}}
	d.store.put("config", "main", configuration(3, services, []map[string]any{optik, lost}, route("r-reclamo", "/timi402/", "garantias")))

	for range instances {
		if _, err := d.addInstance(); err != nil {
			return verdict{}, err
		}
	}

	if err := d.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}

	c := newClient(d.rec, host, 2*time.Second)

	time.Sleep(12 * time.Second)

	// What is served before the change.
	for _, i := range d.instances {
		for _, key := range []string{keptKey, takenKey} {
			if s := c.send(i, path, key); s.status != 200 {
				return verdict{}, fmt.Errorf("%s answers %d before the disruption", i.name, s.status)
			}
		}
	}

	if trouble {
		d.store.drill(drillAway, drillAge)
	}

	back := time.Now()

	time.Sleep(time.Second)

	revision, ok := d.store.put("config", "main", configuration(4, services, []map[string]any{optik}, route("r-reclamo", "/timi402/", "censo")))
	if !ok {
		return verdict{}, errors.New("the store didn't take version 4")
	}

	ack := time.Now()
	d.rec.sayf("version 4 takes a key away and moves the route from garantias to censo; acknowledged with revision %d, %.1f s after the store was back",
		revision, ack.Sub(back).Seconds())

	// The bound of the key holds for all machines. That of the route has all that may stretch it:
	// skewMaxMs for an unstable store, and the time after which machines are in touch again.
	keyFrom, routeFrom, until := ack.Add(revoke+time.Second), ack.Add(configApply+skewMax+stable), ack.Add(30*time.Second)

	var wg sync.WaitGroup

	time.Sleep(time.Until(keyFrom))
	wg.Go(func() { c.load(d.instances, path, takenKey, 12, until) })
	wg.Go(func() { c.load(d.instances, path, keptKey, 12, until) })
	wg.Wait()

	ranBy := map[string]string{}
	for _, r := range d.ledger.all() {
		ranBy[r.request] = r.service
	}

	var (
		withKey, keyRan, routed, old int
		stale                        = map[string]bool{}
	)

	for _, s := range c.all() {
		switch {
		case s.key == takenKey && s.at.After(keyFrom):
			withKey++

			if ranBy[s.id] != "" {
				keyRan++
				stale[s.instance] = true
			}
		case s.key == keptKey && s.at.After(routeFrom):
			routed++

			if ranBy[s.id] == "garantias" {
				old++
				stale[s.instance] = true
			}
		}
	}

	return verdict{keyRan+old > 0, fmt.Sprintf(
		"%d of %d requests with the key that was taken away, sent 6 to 30 s after the acknowledgement, ran; "+
			"%d of %d requests with the other key, sent 19 to 30 s after it, ran at the old service; %d of %d instances did either",
		keyRan, withKey, old, routed, len(stale), instances)}, nil
}

// drillQuota: a drill soon after instances were added.
func drillQuota(d *deployment, trouble bool) (verdict, error) {
	const (
		// Three machines in each of three zones and a spare one in each, as the site file has.
		first, added = 9, 3
		rate, burst  = 100.0, 20.0
		window       = 5 * time.Second
		overage      = 0.1
		slack        = 20
		offered      = 250.0
		key          = "k-optik-1"
		// An instance reads the list of instances every 10 s and uses a larger share 12 s later.
		timeToSettle  = 25 * time.Second
		afterAddition = 5 * time.Second
		loadTime      = 16 * time.Second
	)

	d.bounds = demandBounds

	services := []string{"ledger"}
	if err := d.startSearchers("ledger", 10, 100, 20*time.Millisecond); err != nil {
		return verdict{}, err
	}

	tenants := []map[string]any{{"name": "optik", "apiKeys": []string{key}, "ratePerS": rate, "burst": burst}}
	d.store.put("config", "main", configuration(3, services, tenants, route("r-recon", "/timi402/", "ledger")))

	for range first {
		if _, err := d.addInstance(); err != nil {
			return verdict{}, err
		}
	}

	if err := d.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}

	time.Sleep(10 * time.Second)

	for range added {
		if _, err := d.addInstance(); err != nil {
			return verdict{}, err
		}
	}

	if err := d.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}

	time.Sleep(afterAddition)

	if trouble {
		d.store.drill(drillAway, drillAge)
	}

	time.Sleep(timeToSettle)
	d.rec.sayf("%d instances run; entries of instances in the store, by kind primrose-instances: %d",
		len(d.instances), len(d.store.names("primrose-instances")))

	c := newClient(d.rec, host, 2*time.Second)
	from := time.Now()
	c.load(d.instances, "/timi402/1f", key, offered, from.Add(loadTime))

	sentAt := map[string]time.Time{}
	for _, s := range c.all() {
		sentAt[s.id] = s.at
	}

	type span struct{ sent, run time.Time }

	var spans []span

	for _, r := range d.ledger.all() {
		if at, ok := sentAt[r.request]; ok {
			spans = append(spans, span{at, r.at})
		}
	}

	allowed, most := (rate*window.Seconds()+burst)*(1+overage)+slack, 0

	for _, first := range spans {
		n := 0

		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.run.Before(first.sent.Add(window)) {
				n++
			}
		}

		most = max(most, n)
	}

	return verdict{float64(most) > allowed, fmt.Sprintf(
		"tenant optik: %d requests ran in all of %.0f s; at most %d were sent and ran in some 5 s, where %.0f are allowed",
		len(spans), time.Since(from).Seconds(), most, allowed)}, nil
}
