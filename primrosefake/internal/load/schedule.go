// Package load sends a workload to the product or to a baseline, checks every
// answer in full, and records latencies and counts.
package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"primrosespring.example/primrosefake/internal/workload"
)

// arrival is one request of the schedule.
type arrival struct {
	// at is the intended time of arrival since the start of the load.
	at      time.Duration
	number  int
	service *workload.Service
	member  string
	// execute marks a non-repeatable request, which may run only once.
	execute bool
	// earlyTimeout, if set, is the time after which the caller of such a request
	// gives up on the first try and repeats it at another instance.
	earlyTimeout time.Duration
	// random makes the key of such a request unique within the run.
	random [2]uint64
}

const (
	minEarlyTimeout = 2 * time.Millisecond
	maxEarlyTimeout = 30 * time.Millisecond
	// scheduleStream separates the arrivals' random numbers from those of the
	// baseline, which take the same seed.
	scheduleStream = 1
	baselineStream = 2
)

// newSchedule returns the arrivals of w in order of time: one Poisson process
// for each part of the mix. The same workload gives the same schedule.
func newSchedule(w *workload.Workload) []arrival {
	var out []arrival

	for i, part := range w.Load.Mix {
		r := rand.New(rand.NewPCG(w.Seed, scheduleStream<<32|uint64(i)))
		s, _ := w.Service(part.Service)
		mean := float64(time.Second) / w.Rate(part)

		for at := r.ExpFloat64() * mean; at < float64(w.Duration()); at += r.ExpFloat64() * mean {
			out = append(out, newArrival(r, w, part, s, time.Duration(at)))
		}
	}

	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })

	for i := range out {
		out[i].number = i
	}

	return out
}

func newArrival(r *rand.Rand, w *workload.Workload, part workload.Part, s *workload.Service, at time.Duration) arrival {
	const permille = 1000

	a := arrival{at: at, service: s, random: [2]uint64{r.Uint64(), r.Uint64()}}
	a.execute = r.Uint32N(permille) < part.NonRepeatablePermille

	if repeats := r.Uint32N(permille) < w.Load.RepeatPermille; repeats && a.execute {
		a.earlyTimeout = minEarlyTimeout + time.Duration(r.Int64N(int64(maxEarlyTimeout-minEarlyTimeout)))
	}

	share := r.Uint32N(permille)
	for _, m := range w.Load.Members {
		a.member = m.Name

		if share < m.LoadPermille {
			break
		}

		share -= m.LoadPermille
	}

	return a
}

// key returns the key of the request, a UUID of version 7. Its time is now,
// since the system doesn't run keys older than the floor of the stored claims.
func (a *arrival) key(now time.Time) string {
	ms := uint64(now.UnixMilli())

	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x", uint32(ms>>16), uint16(ms),
		a.random[0]&0xfff, 0x8000|uint16(a.random[0]>>16)&0x3fff, a.random[1]&0xffffffffffff)
}
