package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	controlTimeout  = 5 * time.Second
	maxControlBytes = 64 << 20
	// switchStep is the time between two searchers of an index switch.
	switchStep = 20 * time.Millisecond
	// keepOldIndex is how long both index versions are held.
	keepOldIndex = time.Second
)

// control calls the control API of the searchers and of the platform.
type control struct {
	http      http.Client
	topology  *workload.Topology
	workload  *workload.Workload
	announced func(f workload.Fault, begin bool)
}

func newControl(w *workload.Workload, t *workload.Topology, announced func(workload.Fault, bool)) *control {
	return &control{http: http.Client{Timeout: controlTimeout}, topology: t, workload: w, announced: announced}
}

// reset ends every fault and gives the searchers the options and the index
// version of the workload.
func (c *control) reset(ctx context.Context) error {
	if err := c.searchers(ctx, http.MethodPut, "faults", nil, struct{}{}, nil); err != nil {
		return err
	}

	for _, s := range c.workload.Services {
		q := url.Values{"service": {s.Name}}
		if err := c.searchers(ctx, http.MethodPut, "options", q, searcherOptions(s), nil); err != nil {
			return err
		}

		for shard := range s.Shards {
			if err := c.hold(ctx, s.Name, shard, "", 1); err != nil {
				return err
			}
		}
	}

	return nil
}

// searcherOptions are the changeable options of the stand-in.
func searcherOptions(s workload.Service) any {
	return struct {
		MedianMS        float64 `json:"median_ms"`
		Sigma           float64 `json:"sigma"`
		StragglerShare  float64 `json:"straggler_share"`
		StragglerFactor float64 `json:"straggler_factor"`
		SlowFactor      float64 `json:"slow_factor"`
	}{float64(s.MedianUS) / 1000, s.Sigma, float64(s.StragglerPermille) / 1000, s.StragglerFactor, 1}
}

// begin brings a fault about and end ends it.
func (c *control) begin(ctx context.Context, f workload.Fault) error {
	switch f.Kind {
	case workload.StragglingSearcher:
		return c.slow(ctx, f, f.SlowFactor)
	case workload.LostSearcher:
		return c.fault(ctx, f, "refuse")
	case workload.SilentSearcher:
		return c.fault(ctx, f, "freeze")
	case workload.SilentConnections:
		return c.fault(ctx, f, "silent")
	case workload.IndexSwitch:
		return c.switchIndex(ctx, f)
	case workload.StoreOutage:
		return c.storeOutage(ctx, true)
	case workload.RollingRestart:
		c.announced(f, true)
	}

	return nil
}

func (c *control) end(ctx context.Context, f workload.Fault) error {
	switch f.Kind {
	case workload.StragglingSearcher:
		return c.slow(ctx, f, 1)
	case workload.LostSearcher, workload.SilentSearcher, workload.SilentConnections:
		return c.fault(ctx, f, "")
	case workload.StoreOutage:
		return c.storeOutage(ctx, false)
	case workload.RollingRestart:
		c.announced(f, false)
	case workload.IndexSwitch:
	}

	return nil
}

func (c *control) slow(ctx context.Context, f workload.Fault, factor float64) error {
	return c.searchers(ctx, http.MethodPut, "options", one(f), struct {
		SlowFactor float64 `json:"slow_factor"`
	}{factor}, nil)
}

func (c *control) fault(ctx context.Context, f workload.Fault, name string) error {
	body := map[string]bool{}
	if name != "" {
		body[name] = true
	}

	return c.searchers(ctx, http.MethodPut, "faults", one(f), body, nil)
}

// switchIndex brings in the new version one searcher after another, holds both
// for a while, and then drops the old one in the same order.
func (c *control) switchIndex(ctx context.Context, f workload.Fault) error {
	for _, held := range [][]uint64{{f.IndexVersion - 1, f.IndexVersion}, {f.IndexVersion}} {
		for _, sr := range c.topology.Searchers {
			if sr.Service != f.Service {
				continue
			}

			if err := c.hold(ctx, sr.Service, sr.Shard, sr.ID, held...); err != nil {
				return err
			}

			pause(ctx, switchStep)
		}

		pause(ctx, keepOldIndex)
	}

	return nil
}

func (c *control) hold(ctx context.Context, service string, shard uint32, id string, versions ...uint64) error {
	body := struct {
		Service   string            `json:"service"`
		Shard     uint32            `json:"shard"`
		Snapshots []domain.Snapshot `json:"snapshots"`
	}{Service: service, Shard: shard}

	for _, v := range versions {
		body.Snapshots = append(body.Snapshots, domain.Snapshot{IndexVersion: v, PartitionMapVersion: 1})
	}

	q := url.Values{}
	if id != "" {
		q.Set("id", id)
	}

	return c.searchers(ctx, http.MethodPost, "hold", q, body, nil)
}

func (c *control) storeOutage(ctx context.Context, down bool) error {
	mode := "up"
	if down {
		mode = "down"
	}

	return c.call(ctx, http.MethodPut, "http://"+c.topology.Platform+"/fake/faults", map[string]string{"mode": mode}, nil)
}

// runs returns how many runs the searchers began, and how many for each key.
func (c *control) runs(ctx context.Context) (total uint64, byKey map[string]int, err error) {
	var stats map[string]struct {
		Runs uint64 `json:"runs"`
	}
	if err := c.searchers(ctx, http.MethodGet, "stats", nil, nil, &stats); err != nil {
		return 0, nil, err
	}

	for _, s := range stats {
		total += s.Runs
	}

	if err := c.searchers(ctx, http.MethodGet, "runs", nil, nil, &byKey); err != nil {
		return 0, nil, err
	}

	return total, byKey, nil
}

func (c *control) searchers(ctx context.Context, method, name string, q url.Values, body, out any) error {
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
		return fmt.Errorf("control API: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()

	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return fmt.Errorf("control API: %w", err)
	}

	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("control API: %s %s: %s: %s", method, address, resp.Status, bytes.TrimSpace(answer))
	}

	if out == nil {
		return nil
	}

	return json.Unmarshal(answer, out)
}

func one(f workload.Fault) url.Values {
	return url.Values{"id": {workload.SearcherID(f.Service, f.Shard, f.Searcher)}, "shard": {strconv.Itoa(int(f.Shard))}}
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
