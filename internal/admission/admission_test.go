package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

var start = time.Unix(1_000_000, 0)

func request(member string, weight uint32) Request {
	return Request{Member: member, Weight: weight, TimeLeft: time.Second}
}

func offer(t *testing.T, g *Gate, r Request, c Capacity) *Ticket {
	t.Helper()

	ticket, err := g.Offer(start, r, c)
	require.NoError(t, err)

	return ticket
}

func accepted(t *Ticket) bool {
	select {
	case <-t.Ready:
		return true
	default:
		return false
	}
}

func requireRefusal(t *testing.T, err error) {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.FateNotRun, e.Fate)
	require.Equal(t, domain.CodeOverloaded, e.Code)
	require.GreaterOrEqual(t, e.RetryAfter, MaxWait)
}

// Guards against a query that is accepted although it can't end in time.
func TestExpectedLatencyBeyondDeadlineIsRefused(t *testing.T) {
	var g Gate

	_, err := g.Offer(start, request("m", 1), Capacity{Free: 9, ExpectedLatency: 2 * time.Second})
	requireRefusal(t, err)
}

// Guards against simultaneous queries that are each accepted for the last free
// capacity: Free includes a query only after its sub-queries have been sent.
func TestStartingQueriesUseCapacity(t *testing.T) {
	var g Gate

	c := Capacity{Free: 2}
	a := offer(t, &g, request("m", 1), c)
	require.True(t, accepted(a))
	require.True(t, accepted(offer(t, &g, request("m", 1), c)))
	require.False(t, accepted(offer(t, &g, request("m", 1), c)))

	// Its sub-queries have been sent now, and Capacity includes them.
	g.Started(a)
	g.AcceptWaiting(start, Capacity{Free: 1})
	require.Equal(t, 1, g.Waiting())

	g.Done(a)
	g.AcceptWaiting(start, c)
	require.Zero(t, g.Waiting())
}

// Guards against concurrency limits that fell to zero and never recover, because no
// query is accepted to show that the searchers work again.
func TestIdleGateAcceptsOneQuery(t *testing.T) {
	var g Gate

	first := offer(t, &g, request("m", 1), Capacity{})
	require.True(t, accepted(first))

	second := offer(t, &g, request("m", 1), Capacity{})
	require.False(t, accepted(second))

	g.Done(first)
	g.AcceptWaiting(start, Capacity{})
	require.True(t, accepted(second))
}

// Guards against a query that is refused as not run although it was accepted, and one
// that is accepted after its refusal.
func TestQueryIsEitherAcceptedOrRefused(t *testing.T) {
	var g Gate

	first := offer(t, &g, request("m", 1), Capacity{})
	kept, refused := offer(t, &g, request("m", 1), Capacity{}), offer(t, &g, request("m", 1), Capacity{})

	requireRefusal(t, g.Withdraw(refused, Capacity{}))
	g.Done(first)
	g.AcceptWaiting(start, Capacity{Free: 5})
	require.False(t, accepted(refused))
	require.True(t, accepted(kept))
	require.NoError(t, g.Withdraw(kept, Capacity{}))
}

// Guards against an unbounded queue.
func TestFullQueueRefuses(t *testing.T) {
	var g Gate

	offer(t, &g, request("m", 1), Capacity{})

	for range maxQueued {
		offer(t, &g, request("m", 1), Capacity{})
	}

	_, err := g.Offer(start, request("m", 1), Capacity{})
	requireRefusal(t, err)
}

// Guards against a member organisation that gets more than the share of its weight by
// sending many queries before the others.
func TestQueueIsFairByWeight(t *testing.T) {
	var g Gate

	first := offer(t, &g, request("greedy", 1), Capacity{})

	waiting := map[string][]*Ticket{}
	for _, r := range []Request{request("greedy", 1), request("heavy", 2)} {
		for range 30 {
			waiting[r.Member] = append(waiting[r.Member], offer(t, &g, r, Capacity{}))
		}
	}

	g.Done(first)
	// The refusals have expired, so that only the order of the queue counts.
	g.AcceptWaiting(start.Add(contentionWindow), Capacity{Free: 12})

	got := map[string]int{}

	for member, tickets := range waiting {
		for _, ticket := range tickets {
			if accepted(ticket) {
				got[member]++
			}
		}
	}

	require.Equal(t, map[string]int{"greedy": 4, "heavy": 8}, got)
}

// Guards against a member organisation that takes all free capacity while queries of
// another one are refused, and against capacity that stays reserved afterwards.
func TestRefusedMemberKeepsItsShare(t *testing.T) {
	var g Gate

	g.Started(offer(t, &g, request("greedy", 1), Capacity{}))
	requireRefusal(t, g.Withdraw(offer(t, &g, request("other", 1), Capacity{}), Capacity{}))

	const capacity = 10

	c := Capacity{Free: capacity - 1}
	for range capacity/2 - 1 {
		require.True(t, accepted(offer(t, &g, request("greedy", 1), c)))
	}

	over := offer(t, &g, request("greedy", 1), c)
	require.False(t, accepted(over))

	g.AcceptWaiting(start.Add(contentionWindow), c)
	require.True(t, accepted(over))
}
