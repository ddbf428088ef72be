package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	"primrosespring.example/internal/follower"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// keptEvacuations is the evacuations that an instance has in force.
type keptEvacuations struct {
	mu   sync.Mutex // Guards what follows.
	list []directory.EvacuationInForce
	era  uint64
	// unread says that the store's evacuations haven't been read.
	unread bool
}

func (k *keptEvacuations) InForce() (list []directory.EvacuationInForce, era uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.list, k.era
}

func (k *keptEvacuations) Learn(list []directory.EvacuationInForce, era uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.list, k.era = list, era

	return !k.unread
}

func (k *keptEvacuations) read() {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.unread = false
}

// keptBudgets is what an instance has used of its budgets.
type keptBudgets struct {
	mu    sync.Mutex // Guards what follows.
	uses  map[string]budget.Use
	taken int
}

func (k *keptBudgets) BudgetUses() map[string]budget.Use { return k.uses }

func (k *keptBudgets) TakeOverBudgets(uses map[string]budget.Use) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.uses = uses
	k.taken++
}

// Guards against an instance that starts after the store's return from an older copy and learns neither of
// a later version nor of an evacuation that the store has lost, since it is itself the first to read for
// others and its list of instances lacks them; and against taking the word that nothing is lost before that
// version is in force.
func TestInstancesThatStartLearnWhatTheStoreHasLost(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		const era = 5

		var (
			version  atomic.Uint64
			requests atomic.Int64
			done     sync.WaitGroup
		)

		version.Store(3)

		n, peers := newNetwork(t), testPeers(2)
		knows := &follower.Settlement{Log: zerolog.Nop()}
		knows.Learn(era, time.Now().Add(-time.Minute))

		evacuated := directory.EvacuationInForce{
			Evacuation: domain.Evacuation{FailureDomain: "a"}, Until: time.Now().Add(time.Hour),
		}
		running := &Positions{
			Log: zerolog.Nop(), Self: peers[1].ID, InForce: func() uint64 { return 4 }, Settlement: knows,
			Budgets:     &keptBudgets{uses: map[string]budget.Use{"p": {Requests: []uint32{7, 8}, Extras: []uint32{0, 3}}}},
			Evacuations: &keptEvacuations{list: []directory.EvacuationInForce{evacuated}, era: era},
		}
		n.serve(peers[1].PeerAddress, func(_ context.Context, peer string, f *pb.PeerFrame, stream *yamux.Stream) {
			requests.Add(1)
			require.True(t, f.GetPositionRequest().GetRecoveryOnly(), "it doesn't read the store for the other one")
			running.Handle(peer, f.GetPositionRequest(), stream)
		})

		kept, budgets := &keptEvacuations{unread: true}, &keptBudgets{}
		started := &Positions{
			Log: zerolog.Nop(), Self: peers[0].ID, Dial: n.dial, Interval: follower.AskInterval(testBound),
			InForce: version.Load, Settlement: &follower.Settlement{Log: zerolog.Nop()}, Evacuations: kept, Budgets: budgets,
			Others: func() []string { return []string{peers[1].PeerAddress} },
		}
		started.CatchUp = func(_ context.Context, address string) {
			require.Equal(t, peers[1].PeerAddress, address)

			_, _, settled := started.Settlement.Settled()
			require.False(t, settled)
			version.Store(4)
		}
		started.SetReaders(peers[:1])

		ctx, stop := context.WithCancel(t.Context())

		defer done.Wait()
		defer stop()

		done.Go(func() { started.Run(ctx) })
		time.Sleep(follower.AskInterval(testBound) + 10*time.Millisecond)
		require.Equal(t, uint64(4), version.Load())

		told, toldEra := kept.InForce()
		require.Len(t, told, 1)
		require.Equal(t, uint64(era), toldEra)
		require.Equal(t, "a", told[0].FailureDomain)
		require.LessOrEqual(t, time.Until(told[0].Until), directory.EvacuationGrace, "whatever it is told")

		time.Sleep(follower.AskInterval(testBound))

		at, since, settled := started.Settlement.Settled()
		require.True(t, settled)
		require.Equal(t, uint64(era), at)
		require.Greater(t, since, 59*time.Second)

		before := requests.Load()

		time.Sleep(testBound)
		require.Greater(t, requests.Load(), before, "its own evacuations may come from a copy that it hasn't read yet")
		kept.read()
		time.Sleep(2 * testBound)

		require.Equal(t, budgetWitnesses, budgets.taken)
		require.Equal(t, running.Budgets.BudgetUses(), budgets.BudgetUses())

		before = requests.Load()

		time.Sleep(10 * testBound)
		require.Equal(t, before, requests.Load(), "nothing more is asked then")
	})
}

// Guards against rounds that wait for instances that don't answer again and again, while others confirm nothing.
func TestSilentWitnessesAreLeftOutForAWhile(t *testing.T) {
	inBubble(t, func(t *testing.T) { //nolint:thelper // It is the body of a test.
		peers := testPeers(4)

		var dialed []string

		p := &Positions{
			Log: zerolog.Nop(), Self: peers[0].ID, Settlement: &follower.Settlement{Log: zerolog.Nop()},
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				dialed = append(dialed, address)

				return nil, net.ErrClosed
			},
			Others: func() []string { return []string{peers[2].PeerAddress, peers[3].PeerAddress} },
			silent: make(map[string]time.Time),
		}

		for range 3 {
			p.askWitnesses(t.Context(), peers[:2])
		}

		require.Len(t, dialed, 3, "each once")
		time.Sleep(avoidTime + time.Millisecond)
		p.askWitnesses(t.Context(), peers[:2])
		require.Len(t, dialed, 6)
	})
}
