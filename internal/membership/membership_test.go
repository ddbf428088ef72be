package membership

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

const (
	// maxDetection is the longest time until every instance has recorded a
	// silent one as dead: heartbeat timeout, probe, time to refute and a
	// second for the broadcast.
	maxDetection = HeartbeatTimeout + probeTimeout + refuteTimeout + time.Second
	maxJoin      = 20 * time.Second
)

func startedFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()

	f := newFleet(n, seed)
	require.Less(t, f.runUntil(f.allAlive(), maxJoin), maxJoin, "some instances don't find each other")
	f.run(10 * time.Second)

	return f
}

// Guards against an instance that fails without leaving and stays in the table:
// fails without monitors, suspicion or expiry.
func TestSilentInstanceIsDeclaredDead(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		f := startedFleet(t, n, uint64(n))
		want := f.allAlive()
		f.instances["entry-001"].silent = true
		want["entry-001"] = Dead

		took := f.runUntil(want, maxDetection)
		t.Logf("%d instances: recorded as dead by all after %s", n, took)
		require.True(t, f.agreesOn(want))

		for _, id := range f.ids {
			if !f.instances[id].silent {
				require.Equal(t, n-1, f.instances[id].View().Live.Len())
			}
		}
	}
}

// Guards against an instance that resumes after a pause, but stays suspect or
// dead for the others, or declares the others dead because it received nothing
// in its pause. Fails without refutation, correction or shiftDeadlines.
func TestPausedInstanceRefutes(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second, 2 * deadRetention} {
		f := startedFleet(t, 12, 7)
		f.instances["entry-004"].silent = true
		f.run(pause)

		s := f.instances["entry-004"]
		s.silent = false
		incarnation, falseDeaths := s.Self().Incarnation, s.states[Dead]
		f.runUntil(f.allAlive(), 10*time.Second)
		require.True(t, f.agreesOn(f.allAlive()), "pause of %s", pause)
		require.Greater(t, s.Self().Incarnation, incarnation)
		require.Equal(t, falseDeaths, s.states[Dead], "the paused instance declared others dead")
	}
}

// Guards against an instance that probes the others or declares them dead because
// it was paused itself: fails without shiftDeadlines.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	f := startedFleet(t, 12, 9)
	s := f.instances["entry-004"]
	_, err := s.HandleDelta(f.now, "entry-001", deltaFrame([]Record{{
		Instance: f.instances["entry-006"].Self().Instance, State: Suspect, Incarnation: 1,
	}}, 0).GetMembership())
	require.NoError(t, err)

	r := s.Tick(f.now.Add(time.Minute))
	require.Empty(t, r.Reset)
	require.Empty(t, r.Changes)
}

// Guards against an instance that is suspected because its link to one other
// instance is cut: fails without indirect probes.
func TestOneBadLinkMakesNobodySuspect(t *testing.T) {
	f := startedFleet(t, 9, 3)
	f.badLink = [2]string{"entry-000", f.instances["entry-000"].View().Neighbours[0].ID}
	f.run(20 * time.Second)

	for _, s := range f.instances {
		require.Zero(t, s.states[Suspect])
	}
}

// Guards against live instances declared dead when heartbeats get lost: fails when
// one missed heartbeat is enough and suspicion isn't confirmed or refuted.
func TestLostHeartbeatsCauseNoDeaths(t *testing.T) {
	f := startedFleet(t, 30, 11)
	f.loss = 0.05
	f.run(10 * time.Minute)

	suspicions := 0

	for _, s := range f.instances {
		suspicions += s.states[Suspect]
		require.Zero(t, s.states[Dead])
	}

	t.Logf("%d suspicions seen in 10 minutes by 30 instances with 5%% of heartbeats lost", suspicions)
}

// Guards against sides of a partition that stop working, and against sides
// that never merge, whether the dead are still in the table or purged.
func TestPartitionHeals(t *testing.T) {
	for _, cut := range []time.Duration{time.Second, 20 * time.Second, 2 * deadRetention} {
		f := startedFleet(t, 12, 5)

		for i, id := range f.ids {
			f.instances[id].partition = i % 6 / 3
		}

		f.run(cut)

		if cut > maxDetection {
			require.Equal(t, 6, f.instances["entry-000"].View().Live.Len())
		}

		for _, id := range f.ids {
			f.instances[id].partition = 0
		}

		// The platform's list or the settings name an instance of the other side.
		_, seeds := f.instances["entry-000"].HandleList(f.now, []domain.Instance{f.instances["entry-003"].Self().Instance}, nil)
		if cut > maxDetection {
			require.Len(t, seeds, 1)
			f.connect("entry-000", seeds[0].ID)
		}

		for _, s := range f.instances {
			s.states[Dead] = 0
		}

		took := f.runUntil(f.allAlive(), 30*time.Second)
		t.Logf("cut of %s: merged after %s", cut, took)
		require.True(t, f.agreesOn(f.allAlive()), "cut of %s", cut)

		for _, s := range f.instances {
			require.Zero(t, s.states[Dead], "an instance of the same side was declared dead on healing")
		}

		f.run(20 * time.Second)
		require.Equal(t, f.instances["entry-000"].Digest(), f.instances["entry-011"].Digest())
	}
}

// Guards against stale gossip that revives the dead, also after the record is
// purged.
func TestStaleGossipRevivesNobody(t *testing.T) {
	f := startedFleet(t, 9, 13)
	want := f.allAlive()
	dead := f.instances["entry-002"]
	stale := dead.Self()
	dead.silent = true
	want["entry-002"] = Dead
	f.runUntil(want, maxDetection)

	observer := f.instances["entry-005"].Table
	for _, wait := range []time.Duration{0, 2 * deadRetention} {
		f.run(wait)

		r, err := observer.HandleDelta(f.now, "entry-001", deltaFrame([]Record{stale}, 0).GetMembership())
		require.NoError(t, err)
		require.Empty(t, r.Changes)
		require.Len(t, r.Send, 1, "the peer with the stale record isn't corrected")
		require.Equal(t, 8, observer.View().Live.Len())
	}

	restarted := stale
	restarted.Incarnation++
	_, err := observer.HandleDelta(f.now, "entry-001", deltaFrame([]Record{restarted}, 0).GetMembership())
	require.NoError(t, err)
	require.Equal(t, 9, observer.View().Live.Len(), "a higher incarnation is a new process")
}

// Guards against an instance that shuts down gracefully and still counts as live,
// and against a lagging list that takes a live instance out for good.
func TestLeaving(t *testing.T) {
	f := startedFleet(t, 9, 17)
	want := f.allAlive()
	f.apply("entry-003", f.instances["entry-003"].Leave(f.now))
	want["entry-003"] = Leaving
	require.Less(t, f.runUntil(want, time.Second), time.Second)
	require.Equal(t, 8, f.instances["entry-000"].View().Live.Len())

	alive := f.instances["entry-004"].Self().Instance
	r, _ := f.instances["entry-000"].HandleList(f.now, []domain.Instance{alive}, map[string]bool{alive.ID: true})
	require.Len(t, r.Changes, 1)
	f.apply("entry-000", r)
	f.run(time.Second)
	require.True(t, f.agreesOn(want), "the instance refutes the list")

	r, _ = f.instances["entry-000"].HandleList(f.now, []domain.Instance{alive}, map[string]bool{alive.ID: true})
	require.Empty(t, r.Changes, "the same listing is acted on once")
}

// Guards against invalid records in the table.
func TestDeltaRefusesBadRecords(t *testing.T) {
	f := newFleet(1, 1)
	s := f.instances["entry-000"]

	for _, bad := range []*pb.InstanceRecord{
		{},
		{Id: "entry-1", State: pb.InstanceState_INSTANCE_STATE_ALIVE, PeerAddress: "no address"},
		{Id: "../x", State: pb.InstanceState_INSTANCE_STATE_DEAD},
		{Id: "entry-1", State: 77, PeerAddress: "127.0.0.1:1", FailureDomain: "a", Region: "b"},
	} {
		_, err := s.HandleDelta(f.now, "entry-9", &pb.MembershipDelta{Records: []*pb.InstanceRecord{bad}})

		var e *domain.Error

		require.ErrorAs(t, err, &e)
		require.Len(t, s.Records(), 1)
	}
}

// Measures what one instance sends, by fleet size, and guards against traffic
// that grows with the fleet: the target is 15 KB/s for control at 440.
func TestTrafficStaysConstant(t *testing.T) {
	for _, n := range []int{9, 30, 60, 120, 440} {
		if testing.Short() && n > 60 {
			continue
		}

		f := startedFleet(t, n, uint64(n))

		for _, s := range f.instances {
			s.frames, s.bytes = 0, 0
			s.SetConfigurationVersion(1000)

			for _, e := range s.entries {
				e.ConfigurationVersion = 1000
			}
		}

		const span = 20 * time.Second

		f.run(span)

		frames, bytes, most := 0, 0, 0
		for _, s := range f.instances {
			frames += s.frames
			bytes += s.bytes
			most = max(most, s.bytes)
		}

		perSecond := func(v int) float64 { return float64(v) / span.Seconds() }
		t.Logf("%d instances: %.1f frames/s and %.0f bytes/s sent by each on average, at most %.0f bytes/s",
			n, perSecond(frames)/float64(n), perSecond(bytes)/float64(n), perSecond(most))
		require.Less(t, perSecond(most), 15_000.0)
	}
}

// fullTable returns a table of n instances, of which 8 have sessions.
func fullTable(now time.Time, n int) *Table {
	self := sampleRecord(0)
	t := New(self.Instance, 1, rand.New(rand.NewPCG(1, 1)))
	records := make([]Record, 0, n)

	for i := 1; i < n; i++ {
		records = append(records, sampleRecord(i))
	}

	_, _ = t.HandleDelta(now, records[0].Instance.ID, deltaFrame(records, 0).GetMembership())

	for _, rec := range records[:8] {
		t.Connected(now, rec, t.Digest(), false)
	}

	return t
}

func sampleRecord(i int) Record {
	return Record{Incarnation: 1, ConfigurationVersion: 5, Instance: domain.Instance{
		ID: fmt.Sprintf("entry-%03d", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		FailureDomain: fmt.Sprintf("fd-%d", i%6), Region: fmt.Sprintf("region-%d", i%6/3),
	}}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{9, 60, 440} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := fullTable(now, n)
			hb := &pb.Heartbeat{Incarnation: 1, MembershipDigest: t.Digest(), ConfigurationVersion: 5}

			for b.Loop() {
				t.HandleHeartbeat(now, "entry-003", hb)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{9, 60, 440} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := fullTable(now, n)

			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for _, m := range t.monitors {
					m.lastContact = now
				}

				t.Tick(now)
			}
		})
	}
}

// BenchmarkStateChange measures one change of an instance's state, with the new
// view and neighbours.
func BenchmarkStateChange(b *testing.B) {
	for _, n := range []int{9, 60, 440} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := fullTable(now, n)
			rec := sampleRecord(2)

			for b.Loop() {
				rec.Incarnation++
				_, _ = t.HandleDelta(now, "entry-003", deltaFrame([]Record{rec}, 0).GetMembership())
			}
		})
	}
}

// BenchmarkTable reports the memory that building one table takes; the heap it
// keeps is lower.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{9, 60, 440} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				_ = fullTable(time.Unix(1000, 0), n)
			}
		})
	}
}
