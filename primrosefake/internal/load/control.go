package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	controlTimeout  = 5 * time.Second
	maxControlBytes = 64 << 20
	// switchStep is the pause after each searcher of an index switch.
	switchStep = 20 * time.Millisecond
	// indexOverlap is how long both index versions are held.
	indexOverlap = time.Second
	// faultyAnswerShare is the share of a searcher's answers that are corrupt, crossed
	// or late.
	faultyAnswerShare = 0.5
	// lateAnswerMS is the delay of late answers.
	lateAnswerMS = 300
	// drainGraceMS is how long a draining searcher goes on taking new work.
	drainGraceMS = 3000
	// storeDelayMS is the delay of a slow store.
	storeDelayMS = 300
	// storeFaultShare is the share of calls that a partial fault of the store
	// applies to.
	storeFaultShare = 0.5
)

// control calls the control APIs of the searchers, the platform and the fault
// proxy.
type control struct {
	http     http.Client
	topology *workload.Topology
	workload *workload.Workload
	announce func(f workload.Fault, begin bool)

	mu sync.Mutex // Guards the fields below; held during calls to keep them in order.
	// indexVersions holds the index versions of each searcher, by its id.
	indexVersions map[string][]uint64
	// mapSwitched is set once the searchers hold the second partition map.
	mapSwitched bool
}

func newControl(w *workload.Workload, t *workload.Topology, announce func(workload.Fault, bool)) *control {
	return &control{http: http.Client{Timeout: controlTimeout}, topology: t, workload: w, announce: announce, indexVersions: make(map[string][]uint64)}
}

// reset ends the searchers' faults, gives them the options of the workload, and
// makes index version 1 of partition map 1 the only snapshot of their shards.
func (c *control) reset(ctx context.Context) error {
	if err := c.callSearchers(ctx, http.MethodPut, "faults", nil, struct{}{}, nil); err != nil {
		return err
	}

	for _, s := range c.workload.Services {
		q := url.Values{"service": {s.Name}}
		if err := c.callSearchers(ctx, http.MethodPut, "options", q, searcherOptions(s), nil); err != nil {
			return err
		}

		for shard := range s.Shards {
			if err := c.setHeld(ctx, s.Name, shard, "", 1, 1); err != nil {
				return err
			}
		}
	}

	return nil
}

// searcherOptions returns the request body that gives a service's fake searchers
// the options of the workload.
func searcherOptions(s workload.Service) any {
	return struct {
		MedianMS        float64 `json:"median_ms"`
		Sigma           float64 `json:"sigma"`
		StragglerShare  float64 `json:"straggler_share"`
		StragglerFactor float64 `json:"straggler_factor"`
		SlowFactor      float64 `json:"slow_factor"`
	}{float64(s.MedianUS) / 1000, s.Sigma, float64(s.StragglerPermille) / 1000, s.StragglerFactor, 1}
}

// begin injects a fault, or announces it to the program that has to inject it.
func (c *control) begin(ctx context.Context, f workload.Fault) error {
	switch f.Kind {
	case workload.StragglingSearcher:
		return c.setSlowFactor(ctx, f, f.SlowFactor)
	case workload.SheddingSearcher:
		return c.setCapacity(ctx, f, 1, 1, f.SlowFactor)
	case workload.LostSearcher, workload.SilentSearcher, workload.SilentConnections, workload.CorruptAnswers,
		workload.CrossedAnswers, workload.LateAnswers:
		return c.setSearcherFault(ctx, searcherSelector(f), searcherFaults[f.Kind])
	case workload.LostShard:
		return c.setSearcherFault(ctx, shardSelector(f), searcherFaults[workload.LostSearcher])
	case workload.DrainingSearcher:
		return c.callSearchers(ctx, http.MethodPost, "drain", searcherSelector(f), map[string]int{"grace_ms": drainGraceMS}, nil)
	case workload.IndexSwitch:
		return c.switchIndex(ctx, f)
	case workload.StoreOutage, workload.StoreHang, workload.StoreSlow, workload.StoreAnswersLost, workload.StoreStale:
		return c.setStoreFault(ctx, storeFaults[f.Kind])
	case workload.InstancesPartitioned:
		return c.setPartitioned(ctx, true)
	case workload.SilentPeerSessions:
		return c.silencePeers(ctx)
	case workload.PartitionMapSwitch:
		if err := c.addSecondMap(ctx, f.Service); err != nil {
			return err
		}

		c.announce(f, true)
	case workload.RollingRestart, workload.InstanceRestarted, workload.InstanceKilled, workload.InstancePaused,
		workload.OperatorsRacing:
		c.announce(f, true)
	}

	return nil
}

// end ends a fault that begin injected or announced.
func (c *control) end(ctx context.Context, f workload.Fault) error {
	switch f.Kind {
	case workload.StragglingSearcher:
		return c.setSlowFactor(ctx, f, 1)
	case workload.SheddingSearcher:
		s, _ := c.workload.Service(f.Service)

		return c.setCapacity(ctx, f, s.Slots, 0, 1)
	case workload.LostSearcher, workload.SilentSearcher, workload.SilentConnections, workload.CorruptAnswers,
		workload.CrossedAnswers, workload.LateAnswers:
		return c.setSearcherFault(ctx, searcherSelector(f), struct{}{})
	case workload.LostShard:
		return c.setSearcherFault(ctx, shardSelector(f), struct{}{})
	case workload.DrainingSearcher:
		return c.callSearchers(ctx, http.MethodPost, "restart", searcherSelector(f), struct{}{}, nil)
	case workload.StoreOutage, workload.StoreHang, workload.StoreSlow, workload.StoreAnswersLost, workload.StoreStale:
		return c.setStoreFault(ctx, storeFault{})
	case workload.InstancesPartitioned:
		return c.setPartitioned(ctx, false)
	case workload.RollingRestart, workload.InstanceRestarted, workload.InstanceKilled, workload.InstancePaused,
		workload.PartitionMapSwitch, workload.OperatorsRacing:
		c.announce(f, false)
	case workload.IndexSwitch, workload.SilentPeerSessions:
	}

	return nil
}

// searcherFaults holds the request bodies of the searchers' control API.
var searcherFaults = map[workload.Kind]any{
	workload.LostSearcher:      map[string]bool{"refuse": true},
	workload.SilentSearcher:    map[string]bool{"freeze": true},
	workload.SilentConnections: map[string]bool{"silent": true},
	workload.CorruptAnswers:    map[string]float64{"corrupt_share": faultyAnswerShare},
	workload.CrossedAnswers:    map[string]float64{"crossed_share": faultyAnswerShare},
	workload.LateAnswers:       map[string]float64{"late_share": faultyAnswerShare, "late_ms": lateAnswerMS},
}

// storeFault is a request body of the platform's control API; its zero value
// ends every fault.
type storeFault struct {
	Mode       string  `json:"mode,omitempty"`
	DelayMS    float64 `json:"delay_ms,omitempty"`
	Share      float64 `json:"share,omitempty"`
	Stale      string  `json:"stale,omitempty"`
	StaleShare float64 `json:"stale_share,omitempty"`
	Seed       uint64  `json:"seed,omitempty"`
}

var storeFaults = map[workload.Kind]storeFault{
	workload.StoreOutage:      {Mode: "down"},
	workload.StoreHang:        {Mode: "hang"},
	workload.StoreSlow:        {Mode: "slow", DelayMS: storeDelayMS},
	workload.StoreAnswersLost: {Mode: "lose_write_answers", Share: storeFaultShare},
	workload.StoreStale:       {Stale: "all", StaleShare: storeFaultShare},
}

// setStoreFault replaces the faults of the platform's store.
func (c *control) setStoreFault(ctx context.Context, f storeFault) error {
	f.Seed = c.workload.Seed

	return c.call(ctx, http.MethodPut, "http://"+c.topology.Platform+"/fake/faults", f, nil)
}

// setPartitioned holds back or releases all traffic between instances.
func (c *control) setPartitioned(ctx context.Context, on bool) error {
	return c.eachPeerLink(ctx, http.MethodPut, "", map[string]bool{"partitioned": on})
}

// silencePeers makes the open sessions between instances permanently silent.
func (c *control) silencePeers(ctx context.Context) error {
	return c.eachPeerLink(ctx, http.MethodPost, "/silence", struct{}{})
}

func (c *control) eachPeerLink(ctx context.Context, method, action string, body any) error {
	for _, i := range c.topology.Instances {
		address := "http://" + c.topology.FaultProxy + "/fake/links/" + workload.PeerLink(i.ID) + action
		if err := c.call(ctx, method, address, body, nil); err != nil {
			return err
		}
	}

	return nil
}

// setCapacity sets the slots, the queue limit (0 for none) and the slow factor
// of a searcher.
func (c *control) setCapacity(ctx context.Context, f workload.Fault, slots, queueLimit uint32, factor float64) error {
	return c.callSearchers(ctx, http.MethodPut, "options", searcherSelector(f), struct {
		Slots      uint32  `json:"slots"`
		QueueLimit uint32  `json:"queue_limit"`
		SlowFactor float64 `json:"slow_factor"`
	}{slots, queueLimit, factor}, nil)
}

func (c *control) setSlowFactor(ctx context.Context, f workload.Fault, factor float64) error {
	return c.callSearchers(ctx, http.MethodPut, "options", searcherSelector(f), struct {
		SlowFactor float64 `json:"slow_factor"`
	}{factor}, nil)
}

// setSearcherFault replaces the faults of the searchers that q selects.
func (c *control) setSearcherFault(ctx context.Context, q url.Values, body any) error {
	return c.callSearchers(ctx, http.MethodPut, "faults", q, body, nil)
}

// switchIndex adds the new version to one searcher after another, keeps both for
// indexOverlap, and then drops the old one in the same order.
func (c *control) switchIndex(ctx context.Context, f workload.Fault) error {
	for _, held := range [][]uint64{{f.IndexVersion - 1, f.IndexVersion}, {f.IndexVersion}} {
		for _, sr := range c.topology.Searchers {
			if sr.Service != f.Service {
				continue
			}

			if err := c.setIndexVersions(ctx, sr, held); err != nil {
				return err
			}

			pause(ctx, switchStep)
		}

		pause(ctx, indexOverlap)
	}

	return nil
}

// setIndexVersions gives a searcher these index versions of the shards that it holds.
func (c *control) setIndexVersions(ctx context.Context, sr workload.SearcherAddress, held []uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.indexVersions[sr.ID] = held

	if err := c.setHeld(ctx, sr.Service, sr.Shard, sr.ID, 1, held...); err != nil || !c.mapSwitched {
		return err
	}

	return c.setHeld(ctx, sr.Service, c.nextShard(sr), sr.ID, 2, held...)
}

// addSecondMap gives each searcher of a service, in addition to what it holds,
// the shard after its own in the second partition map.
func (c *control) addSecondMap(ctx context.Context, service string) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, sr := range c.topology.Searchers {
		if sr.Service != service {
			continue
		}

		held, ok := c.indexVersions[sr.ID]
		if !ok {
			held = []uint64{1}
		}

		if err := c.setHeld(ctx, service, c.nextShard(sr), sr.ID, 2, held...); err != nil {
			return err
		}
	}

	c.mapSwitched = true

	return nil
}

func (c *control) nextShard(sr workload.SearcherAddress) uint32 {
	s, _ := c.workload.Service(sr.Service)

	return (sr.Shard + 1) % s.Shards
}

// setHeld sets the index versions of a partition map that searchers hold of a
// shard: those of the searcher id or, if id is empty, of every searcher of the
// shard.
func (c *control) setHeld(ctx context.Context, service string, shard uint32, id string, partitionMap uint64, versions ...uint64) error {
	body := struct {
		Service   string            `json:"service"`
		Shard     uint32            `json:"shard"`
		Snapshots []domain.Snapshot `json:"snapshots"`
	}{Service: service, Shard: shard}

	for _, v := range versions {
		body.Snapshots = append(body.Snapshots, domain.Snapshot{IndexVersion: v, PartitionMapVersion: partitionMap})
	}

	q := url.Values{}
	if id != "" {
		q.Set("id", id)
	}

	return c.callSearchers(ctx, http.MethodPost, "hold", q, body, nil)
}

// runs returns how many runs the searchers started, and how many for each key.
func (c *control) runs(ctx context.Context) (total uint64, byKey map[string]int, err error) {
	var stats map[string]struct {
		Runs uint64 `json:"runs"`
	}
	if err := c.callSearchers(ctx, http.MethodGet, "stats", nil, nil, &stats); err != nil {
		return 0, nil, err
	}

	for _, s := range stats {
		total += s.Runs
	}

	if err := c.callSearchers(ctx, http.MethodGet, "runs", nil, nil, &byKey); err != nil {
		return 0, nil, err
	}

	return total, byKey, nil
}

func (c *control) callSearchers(ctx context.Context, method, name string, q url.Values, body, out any) error {
	u := url.URL{Scheme: "http", Host: c.topology.SearcherControl, Path: "/fake/" + name, RawQuery: q.Encode()}

	return c.call(ctx, method, u.String(), body, out)
}

func (c *control) call(ctx context.Context, method, address string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}

	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return err
	}

	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Annotate(err, "control API")
	}
	defer func() { _ = resp.Body.Close() }()

	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return errors.Annotate(err, "control API: read response")
	}

	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("control API: %s %s: %s: %s", method, address, resp.Status, bytes.TrimSpace(answer))
	}

	if out == nil {
		return nil
	}

	return json.Unmarshal(answer, out)
}

func searcherSelector(f workload.Fault) url.Values {
	return url.Values{"id": {workload.SearcherID(f.Service, f.Shard, f.Searcher)}, "shard": {strconv.Itoa(int(f.Shard))}}
}

func shardSelector(f workload.Fault) url.Values {
	return url.Values{"service": {f.Service}, "shard": {strconv.Itoa(int(f.Shard))}}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
