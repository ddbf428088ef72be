package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/quarantine"
)

// tableSuspects implements Suspects with a table.
type tableSuspects struct{ *quarantine.Table }

func (s tableSuspects) Learn(_ string, suspects []quarantine.Suspect) bool {
	return len(s.Table.Learn(time.Now(), suspects)) > 0
}

func (s tableSuspects) LearnCleared(_ string, cleared []quarantine.Suspect) bool {
	return len(s.Table.LearnCleared(time.Now(), cleared)) > 0
}

// Guards against a caller's next attempt that finds an instance which knows nothing: in fleets
// of the users' sizes, with one instance in ten dead, all others know of a strike, and that a
// content is held back, within 300 ms; and the instances of a small fleet before the caller of
// the request has its answer.
func TestInstancesKnowSuspectsInTime(t *testing.T) {
	for _, size := range []int{8, 72, 295} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(size, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSpread(t, size, seed) })
			})
		}
	}
}

// noticeDelay is the time of a notice between two instances: three round trips between failure
// domains.
const noticeDelay = 30 * time.Millisecond

// newFleet returns the notifiers and tables of a fleet in which one instance in ten, other than
// the first, is dead.
func newFleet(size int, seed uint64) (fleet map[string]*Notifier, tables []*quarantine.Table, dead map[string]bool) {
	rng := rand.New(rand.NewPCG(seed, seed))
	fleet = make(map[string]*Notifier, size)
	tables = make([]*quarantine.Table, size)
	dead = make(map[string]bool)

	for i := range size {
		address := strconv.Itoa(i)
		tables[i] = quarantine.New(address, time.Minute, 0)
		dead[address] = i > 0 && rng.IntN(10) == 0
		fleet[address] = &Notifier{
			Log: zerolog.Nop(), Self: address, Address: address, Suspects: tableSuspects{tables[i]},
			Peers: func() []string {
				var out []string

				for n := range size {
					if n != i {
						out = append(out, strconv.Itoa(n))
					}
				}

				return out
			},
			Send: func(ctx context.Context, to string, n *pb.SuspectNotice) (*pb.SuspectNotice, error) {
				if dead[to] {
					<-ctx.Done()

					return nil, ctx.Err()
				}

				time.Sleep(noticeDelay)

				return fleet[to].Handle(address, n), nil
			},
		}
	}

	return fleet, tables, dead
}

// awaitNotice waits until all of a fleet must know the news of one instance.
func awaitNotice(size int) {
	if size <= maxNotified {
		time.Sleep(noticeDelay)
	} else {
		time.Sleep(300 * time.Millisecond)
	}

	synctest.Wait()
}

func testSpread(t *testing.T, size int, seed uint64) {
	t.Helper()

	fleet, tables, dead := newFleet(size, seed)
	d := quarantine.DigestOf("", "GET", "h", "/deadly", nil)

	for want := 1; want <= quarantine.MaxStrikes; want++ {
		require.Equal(t, want, tables[0].Strike(time.Now(), d, "r"))

		told := fleet["0"].Notify()

		awaitNotice(size)

		for i, q := range tables {
			if all := q.All(time.Now()); !dead[strconv.Itoa(i)] {
				require.Len(t, all, 1, "instance %d", i)
				require.Len(t, all[0].Strikes, want, "instance %d", i)
			}
		}

		<-told
		time.Sleep(time.Second)
	}

	for i, q := range tables {
		if v, _ := q.Check(time.Now(), d, "r"); !dead[strconv.Itoa(i)] {
			require.Equal(t, quarantine.Held, v)
		}
	}

	started := quarantine.New("0", time.Minute, 1000)
	fleet["0"].Suspects = tableSuspects{started}
	fleet["0"].Ask()
	fleet["0"].Close()
	require.Equal(t, 1, started.Held(time.Now()), "an instance that starts again asks")

	for _, n := range fleet {
		n.Close()
	}
}

// Guards against a content that is held back where no answer to it came: in fleets of the users'
// sizes, with one instance in ten dead, all others know of the answer within 300 ms, and an
// instance that still holds the content takes nothing back.
func TestInstancesKnowAnswersInTime(t *testing.T) {
	for _, size := range []int{8, 72, 295} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(size, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testAnswerSpread(t, size, seed) })
			})
		}
	}
}

func testAnswerSpread(t *testing.T, size int, seed uint64) {
	t.Helper()

	fleet, tables, dead := newFleet(size, seed)
	d := quarantine.DigestOf("", "GET", "h", "/innocent", nil)

	for range quarantine.MaxStrikes {
		tables[0].Strike(time.Now(), d, "r")
	}

	<-fleet["0"].Notify()
	time.Sleep(time.Second)

	answered := 1
	for dead[strconv.Itoa(answered)] {
		answered++
	}

	require.Equal(t, 1, tables[answered].Held(time.Now()))
	require.True(t, tables[answered].Answered(time.Now(), d), "a request under way")
	fleet[strconv.Itoa(answered)].Notify()
	awaitNotice(size)

	requireFree := func() {
		for i, q := range tables {
			if v, _ := q.Check(time.Now(), d, "r"); !dead[strconv.Itoa(i)] {
				require.Equal(t, quarantine.Free, v, "instance %d", i)
			}
		}
	}

	requireFree()

	stale := quarantine.New("stale", time.Minute, 0)
	stale.Learn(time.Now(), []quarantine.Suspect{{Content: d, Route: "r", Strikes: []quarantine.Strike{
		{Instance: "0", Sequence: 1}, {Instance: "0", Sequence: 2}, {Instance: "0", Sequence: 3},
	}}})
	require.Equal(t, 1, stale.Held(time.Now()))

	n := &Notifier{
		Log: zerolog.Nop(), Self: "stale", Suspects: tableSuspects{stale}, Send: fleet["0"].Send,
		Peers: func() []string { return fleet["0"].Peers() },
	}
	<-n.Notify()
	require.Zero(t, stale.Held(time.Now()), "the answers to its notices clear it")
	time.Sleep(time.Second)
	requireFree()

	n.Close()

	for _, n := range fleet {
		n.Close()
	}
}

// Guards against an odd notice that is taken in part, and against one that an instance loses.
func TestNoticesAreChecked(t *testing.T) {
	d := quarantine.DigestOf("", "GET", "h", "/deadly", nil)
	q := quarantine.New("a", time.Minute, 0)
	n := &Notifier{Log: zerolog.Nop(), Suspects: tableSuspects{q}, Peers: func() []string { return nil }}
	good := &pb.Suspect{Content: d[:], Route: "r", Strikes: []*pb.Strike{{InstanceId: "b", Sequence: 1}}}

	for _, bad := range []*pb.Suspect{
		{},
		{Content: d[:4], Route: "r", Strikes: good.Strikes},
		{Content: d[:], Strikes: good.Strikes},
		{Content: d[:], Route: "r"},
		{Content: d[:], Route: "r", Strikes: []*pb.Strike{{}}},
	} {
		n.Handle("b", &pb.SuspectNotice{Suspects: []*pb.Suspect{good, bad}})
		require.False(t, q.Known())

		n.Handle("b", &pb.SuspectNotice{Suspects: []*pb.Suspect{good}, Cleared: []*pb.Suspect{bad}})
		require.False(t, q.Known())

		n.Handle("b", &pb.SuspectNotice{Suspects: []*pb.Suspect{bad}, Cleared: []*pb.Suspect{good}})
		require.Empty(t, q.Cleared(time.Now()))
	}

	list := make([]*pb.Suspect, maxTold+1)
	for i := range list {
		list[i] = good
	}

	n.Handle("b", &pb.SuspectNotice{Suspects: list})
	require.False(t, q.Known())

	n.Handle("b", &pb.SuspectNotice{Suspects: []*pb.Suspect{good}})
	require.True(t, q.Known())

	suspects, err := decodeSuspects(encodeSuspects(q.All(time.Now())))
	require.NoError(t, err)
	require.Equal(t, d, suspects[0].Content)
}
