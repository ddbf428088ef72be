// Package fleet measures what control costs the entry instances, and how fast
// a change of configuration comes into force at all of them. It talks to their
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

// Spread is how long changes took, from the operator's call to the version in
// force.
type Spread struct {
	Changes int `json:"changes"`
	Failed  int `json:"failed"`
	// Each is the time at each instance, Everywhere that at the last one.
	Each       Times `json:"each"`
	Everywhere Times `json:"everywhere"`
	// Reverts counts versions that came after a higher one.
	Reverts int `json:"reverts"`
	// Missing counts changes that weren't in force everywhere in time.
	Missing int `json:"missing"`
}

// Times summarises durations, in milliseconds.
type Times struct {
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
}

// summarise returns the quantiles of d, which it sorts.
func summarise(d []time.Duration) Times {
	if len(d) == 0 {
		return Times{}
	}

	slices.Sort(d)

	at := func(share float64) float64 {
		return float64(d[min(int(share*float64(len(d))), len(d)-1)].Microseconds()) / 1000
	}

	return Times{P50: at(0.5), P99: at(0.99), Worst: at(1)}
}

// arrivals records when each instance had each version in force.
type arrivals struct {
	mu      sync.Mutex // Guards all below.
	at      []map[uint64]time.Time
	highest []uint64
	reverts int
	changed chan struct{}
}

func newArrivals(n int) *arrivals {
	a := &arrivals{at: make([]map[uint64]time.Time, n), highest: make([]uint64, n), changed: make(chan struct{})}
	for i := range a.at {
		a.at[i] = make(map[uint64]time.Time)
	}

	return a
}

func (a *arrivals) add(instance int, version uint64) {
	now := time.Now()

	a.mu.Lock()
	defer a.mu.Unlock()

	if version < a.highest[instance] {
		a.reverts++
	}

	// A version that was passed over came into force with the one after it.
	for v := a.highest[instance] + 1; v <= version; v++ {
		a.at[instance][v] = now
	}

	a.highest[instance] = max(a.highest[instance], version)

	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *arrivals) revertCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.reverts
}

// wait returns the time of version at each instance once all have it, or what
// there is when ctx ends.
func (a *arrivals) wait(ctx context.Context, version uint64) []time.Time {
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

// MeasureSpread makes changes, one after the other, each at a random instance,
// and watches them come into force. pause is the time between two changes.
func MeasureSpread(ctx context.Context, t *workload.Topology, changes int, pause time.Duration, seed uint64) (Spread, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	m := spreadMeasurement{
		clients: make([]primrosespringv1connect.AdminServiceClient, len(t.Instances)),
		arrived: newArrivals(len(t.Instances)),
		random:  rand.New(rand.NewPCG(seed, 0)),
		spread:  Spread{Changes: changes},
	}

	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()

	for i, in := range t.Instances {
		m.clients[i] = primrosespringv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+in.Operator)

		wg.Go(func() { watch(ctx, m.clients[i], i, m.arrived) })
	}

	for n := range changes {
		m.change(ctx, uint32(n+1))

		select {
		case <-ctx.Done():
			return m.spread, errors.Annotate(ctx.Err(), "measure spread")
		case <-time.After(pause):
		}
	}

	return m.result(), nil
}

// spreadMeasurement collects the times of changes.
type spreadMeasurement struct {
	clients []primrosespringv1connect.AdminServiceClient
	arrived *arrivals
	random  *rand.Rand
	spread  Spread
	// each has a time for each change and instance, everywhere the longest of
	// each change.
	each, everywhere []time.Duration
}

// change makes one change at a random instance and waits until it is in force
// everywhere, or for changeTimeout.
func (m *spreadMeasurement) change(ctx context.Context, weight uint32) {
	sent := time.Now()

	version, err := change(ctx, m.clients[m.random.IntN(len(m.clients))], weight)
	if err != nil {
		m.spread.Failed++

		return
	}

	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()

	times := m.arrived.wait(ctx, version)
	if len(times) < len(m.clients) {
		m.spread.Missing++

		return
	}

	last := time.Duration(0)

	for _, at := range times {
		m.each = append(m.each, at.Sub(sent))
		last = max(last, at.Sub(sent))
	}

	m.everywhere = append(m.everywhere, last)
}

func (m *spreadMeasurement) result() Spread {
	m.spread.Each, m.spread.Everywhere = summarise(m.each), summarise(m.everywhere)
	m.spread.Reverts = m.arrived.revertCount()

	return m.spread
}

func watch(ctx context.Context, client primrosespringv1connect.AdminServiceClient, instance int, a *arrivals) {
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
