package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/primrosefake/internal/procfs"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	maxMetricsBytes = 4 << 20
	// controlBytesPrefix begins the names of the counters of control bytes that
	// instances exchange.
	controlBytesPrefix = "primrosed_control_bytes_total"
)

// Usage is the mean usage of the instances and, in the fields with Max, the
// highest of any.
type Usage struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	// CPUPercent is in percent of one core.
	CPUPercent    float64 `json:"cpu_percent"`
	MaxCPUPercent float64 `json:"max_cpu_percent"`
	// MemoryMB is the resident set, in megabytes of 1,000,000 bytes.
	MemoryMB    float64 `json:"memory_mb"`
	MaxMemoryMB float64 `json:"max_memory_mb"`
	// ControlBytesPerSecond counts bytes sent and received between instances.
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second"`
	MaxControlBytesPerSecond float64 `json:"max_control_bytes_per_second"`
	// StoreCallsPerSecond and WaitingWatches are those of the whole fleet.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	WaitingWatches      float64 `json:"waiting_watches"`
}

// sample is the usage of one instance at one time.
type sample struct {
	cpu          time.Duration
	memoryMB     float64
	controlBytes float64
}

// MeasureUsage samples every instance at the start and the end of duration.
// pids are those of the instances, in the order of the topology.
func MeasureUsage(ctx context.Context, t *workload.Topology, pids []int, duration time.Duration) (Usage, error) {
	if len(pids) != len(t.Instances) {
		return Usage{}, errors.Errorf("%d process ids given for %d instances", len(pids), len(t.Instances))
	}

	if err := resetMeter(ctx, t.Platform); err != nil {
		return Usage{}, err
	}

	before, err := readAll(ctx, t, pids)
	if err != nil {
		return Usage{}, err
	}

	start := time.Now()

	select {
	case <-ctx.Done():
		return Usage{}, ctx.Err()
	case <-time.After(duration):
	}

	after, err := readAll(ctx, t, pids)
	if err != nil {
		return Usage{}, err
	}

	u := summariseUsage(before, after, time.Since(start))
	u.StoreCallsPerSecond, u.WaitingWatches, err = readMeter(ctx, t.Platform, time.Since(start))

	return u, err
}

func summariseUsage(before, after []sample, elapsed time.Duration) Usage {
	n, s := float64(len(after)), elapsed.Seconds()
	u := Usage{Instances: len(after), Seconds: s}

	for i := range after {
		cpu := 100 * (after[i].cpu - before[i].cpu).Seconds() / s
		rate := (after[i].controlBytes - before[i].controlBytes) / s

		u.CPUPercent += cpu / n
		u.MaxCPUPercent = max(u.MaxCPUPercent, cpu)
		u.MemoryMB += after[i].memoryMB / n
		u.MaxMemoryMB = max(u.MaxMemoryMB, after[i].memoryMB)
		u.ControlBytesPerSecond += rate / n
		u.MaxControlBytesPerSecond = max(u.MaxControlBytesPerSecond, rate)
	}

	return u
}

func readAll(ctx context.Context, t *workload.Topology, pids []int) ([]sample, error) {
	out := make([]sample, len(pids))

	for i, pid := range pids {
		cpu, err := procfs.CPUTime(pid)
		if err != nil {
			return nil, err
		}

		memory, err := procfs.ResidentMB(pid)
		if err != nil {
			return nil, err
		}

		data, err := fetch(ctx, "http://"+t.Instances[i].Debug+"/metrics")
		if err != nil {
			return nil, err
		}

		out[i] = sample{cpu: cpu, memoryMB: memory, controlBytes: sumMetric(data, controlBytesPrefix)}
	}

	return out, nil
}

// sumMetric adds the values of every series whose name begins with prefix.
func sumMetric(metrics []byte, prefix string) float64 {
	total := 0.0
	lines := bufio.NewScanner(bytes.NewReader(metrics))

	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, prefix) {
			continue
		}

		if i := strings.LastIndexByte(line, ' '); i > 0 {
			v, _ := strconv.ParseFloat(line[i+1:], 64)
			total += v
		}
	}

	return total
}

// meterStats is the used part of the response to GET /fake/meter.
type meterStats struct {
	Total struct {
		Reads   callCount `json:"reads"`
		Writes  callCount `json:"writes"`
		Watches callCount `json:"watches"`
		Waiting float64   `json:"waiting"`
	} `json:"total"`
}

type callCount struct {
	Total float64 `json:"total"`
}

func readMeter(ctx context.Context, platform string, elapsed time.Duration) (calls, waiting float64, err error) {
	data, err := fetch(ctx, "http://"+platform+"/fake/meter")
	if err != nil {
		return 0, 0, err
	}

	var m meterStats
	if err := json.Unmarshal(data, &m); err != nil {
		return 0, 0, errors.Annotate(err, "decode meter")
	}

	t := m.Total

	return (t.Reads.Total + t.Writes.Total + t.Watches.Total) / elapsed.Seconds(), t.Waiting, nil
}

func resetMeter(ctx context.Context, platform string) error {
	_, err := call(ctx, http.MethodDelete, "http://"+platform+"/fake/meter")

	return err
}

func fetch(ctx context.Context, url string) ([]byte, error) { return call(ctx, http.MethodGet, url) }

func call(ctx context.Context, method, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "%s %s", method, url)
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "%s %s", method, url)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("%s %s: status %s", method, url, resp.Status)
	}

	return io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
}
