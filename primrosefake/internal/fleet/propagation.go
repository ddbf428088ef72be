// Package fleet measures the control overhead of instances, and how fast a
// change of configuration comes into force at all of them. It calls their
// operator and debug addresses and reads their CPU time and memory from /proc.
package fleet

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/gen/primrosespring/v1/primrosespringv1connect"
	"primrosespring.example/primrosefake/internal/workload"
)

const (
	changeTimeout = 20 * time.Second
	// memberName is the member organisation whose weight the changes set.
	memberName = "spread"
)

// Propagation is how long changes took, from the operator's call until the
// version was in force.
type Propagation struct {
	Changes int `json:"changes"`
	// Failed counts changes whose call returned an error.
	Failed int `json:"failed"`
	// PerInstance is the time until each instance had the version in force,
	// AllInstances the time until the last one had.
	PerInstance  Quantiles `json:"each"`
	AllInstances Quantiles `json:"everywhere"`
	// Reverts counts versions that came into force after a higher one.
	Reverts int `json:"reverts"`
	// TimedOut counts changes that weren't in force at all instances within
	// changeTimeout.
	TimedOut int `json:"missing"`
}

// Quantiles summarises durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"worst_ms"`
}

// summarise returns the quantiles of d, which it sorts.
func summarise(d []time.Duration) Quantiles {
	if len(d) == 0 {
		return Quantiles{}
	}

	slices.Sort(d)

	at := func(share float64) float64 {
		return float64(d[min(int(share*float64(len(d))), len(d)-1)].Microseconds()) / 1000
	}

	return Quantiles{P50: at(0.5), P99: at(0.99), Max: at(1)}
}

// activations records when each instance had each version in force.
type activations struct {
	mu      sync.Mutex             // Guards the fields below.
	at      []map[uint64]time.Time // By instance, then by version.
	highest []uint64               // The highest version of each instance.
	reverts int
	changed chan struct{} // Closed and replaced by each add.
}

func newActivations(n int) *activations {
	a := &activations{at: make([]map[uint64]time.Time, n), highest: make([]uint64, n), changed: make(chan struct{})}
	for i := range a.at {
		a.at[i] = make(map[uint64]time.Time)
	}

	return a
}

func (a *activations) add(instance int, version uint64) {
	now := time.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	if version < a.highest[instance] {
		a.reverts++
	}

	// A skipped version counts as in force since the one after it.
	for v := a.highest[instance] + 1; v <= version; v++ {
		a.at[instance][v] = now
	}

	a.highest[instance] = max(a.highest[instance], version)

	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *activations) revertCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.reverts
}

// wait returns the time of version at each instance once all have it, or the
// times recorded so far when ctx ends.
func (a *activations) wait(ctx context.Context, version uint64) []time.Time {
	for {
		a.mu.Lock()

		var times []time.Time

		for i := range a.at {
			if t, ok := a.at[i][version]; ok {
				times = append(times, t)
			}
		}

		complete, changed := len(times) == len(a.at), a.changed
		a.mu.Unlock()

		if complete {
			return times
		}

		select {
		case <-ctx.Done():
			return times
		case <-changed:
		}
	}
}

// MeasurePropagation makes changes, one after another, each at a random
// instance, and measures when they come into force. pause is the time between
// two changes.
func MeasurePropagation(ctx context.Context, t *workload.Topology, changes int, pause time.Duration, seed uint64) (Propagation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	m := propagationMeasurement{
		clients:     make([]primrosespringv1connect.AdminServiceClient, len(t.Instances)),
		activations: newActivations(len(t.Instances)),
		random:      rand.New(rand.NewPCG(seed, 0)),
		propagation: Propagation{Changes: changes},
	}

	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()

	for i, in := range t.Instances {
		m.clients[i] = primrosespringv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+in.Operator)

		wg.Go(func() { watch(ctx, m.clients[i], i, m.activations) })
	}

	for n := range changes {
		m.change(ctx, uint32(n+1))

		select {
		case <-ctx.Done():
			return m.propagation, errors.Annotate(ctx.Err(), "measure propagation")
		case <-time.After(pause):
		}
	}

	return m.result(), nil
}

// propagationMeasurement collects the times of changes.
type propagationMeasurement struct {
	clients     []primrosespringv1connect.AdminServiceClient
	activations *activations
	random      *rand.Rand
	propagation Propagation
	// perInstance has a time for each change and instance, allInstances the
	// longest of each change.
	perInstance, allInstances []time.Duration
}

// change makes one change at a random instance and waits, for at most
// changeTimeout, until it is in force at all of them.
func (m *propagationMeasurement) change(ctx context.Context, weight uint32) {
	sent := time.Now()

	version, err := change(ctx, m.clients[m.random.IntN(len(m.clients))], weight)
	if err != nil {
		m.propagation.Failed++

		return
	}

	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()

	times := m.activations.wait(ctx, version)
	if len(times) < len(m.clients) {
		m.propagation.TimedOut++

		return
	}

	last := time.Duration(0)

	for _, at := range times {
		m.perInstance = append(m.perInstance, at.Sub(sent))
		last = max(last, at.Sub(sent))
	}

	m.allInstances = append(m.allInstances, last)
}

func (m *propagationMeasurement) result() Propagation {
	m.propagation.PerInstance, m.propagation.AllInstances = summarise(m.perInstance), summarise(m.allInstances)
	m.propagation.Reverts = m.activations.revertCount()

	return m.propagation
}

func watch(ctx context.Context, client primrosespringv1connect.AdminServiceClient, instance int, a *activations) {
	for ctx.Err() == nil {
		stream, err := client.WatchConfiguration(ctx, &pb.WatchConfigurationRequest{})
		if err != nil {
			continue
		}

		for stream.Receive() {
			a.add(instance, stream.Msg().GetVersion())
		}

		_ = stream.Close()
	}
}

func change(ctx context.Context, client primrosespringv1connect.AdminServiceClient, weight uint32) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()

	resp, err := client.SetMember(ctx, &pb.SetMemberRequest{
		Member:  &pb.Member{Name: memberName, Weight: weight},
		Options: &pb.ChangeOptions{ChangeId: uuid.NewString(), Operator: "spread"},
	})
	if err != nil {
		return 0, errors.Annotate(err, "change configuration")
	}

	return resp.GetResult().GetConfigurationVersion(), nil
}
