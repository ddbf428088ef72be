package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// window and windowSlack bound what a searcher may get: within any window, what its limit
	// allows and windowSlack requests.
	window      = 4 * time.Second
	windowSlack = 5.0
	// usedShare is the share of a limit that is handed out.
	usedShare = 0.98
	// probeRate is the least rate, in requests a second of all instances together, by which
	// the end of a limit is noticed.
	probeRate = 0.5
	// burstTime is how long permits that nobody asks for are kept.
	burstTime = 150 * time.Millisecond
	// minBurst is how many permits are kept at least, if the bounds allow it, so that few of
	// those that come back unused are lost.
	minBurst = 2
	// gainDelay delays the use of a share that an allocator gains, until permits that its
	// former allocator has given have been used or have expired.
	gainDelay = 500 * time.Millisecond
	// creditTime is for how long an instance's unused part is kept for it.
	creditTime = 300 * time.Millisecond
	// demandMemory is how long an instance's stated demand counts.
	demandMemory = time.Second
	// writeTime bounds how long ago a question without a valid challenge was written.
	writeTime = time.Second
)

// backer is an instance that lends its shares to this one.
type backer struct {
	shares Shares
	until  time.Time
}

// charge is a number of permits that may have been used since at.
type charge struct {
	at time.Time
	// instance is the one that got the permits, in the answer with that challenge.
	instance  string
	challenge uint64
	permits   int
}

// claimant is an instance that wants permits for a searcher.
type claimant struct {
	// demand is the last stated one, as of at.
	demand float64
	at     time.Time
	// credit is how many permits more than it has got the instance's part allows.
	credit float64
}

// allocation is what an allocator hands out of one searcher's limit.
type allocation struct {
	rate, budget float64
	// tokens are the permits to hand out. A share that is gained makes them negative.
	tokens     float64
	refilledAt time.Time
	// refundedAt is when permits came back unused.
	refundedAt time.Time
	// charges are the permits of the last window and permitTime, in order.
	charges   []charge
	claimants map[string]*claimant
}

// bounds returns what may be handed out with a share of a limit: the permits a second, how
// many at once, and within window and permitTime. The bounds of all shares add up to what
// the limit allows, however it is divided; a share too small for one permit gives none.
func bounds(limit, share float64) (rate, burst, budget float64) {
	span := (window + permitTime).Seconds()
	budget = share * (window.Seconds()*limit + windowSlack)
	rate = min(max(usedShare*limit, probeRate)*share, (budget-1)/span, budget/(span+burstTime.Seconds()))

	if rate <= 0 {
		return 0, 0, 0
	}

	return rate, min(budget-rate*span, max(minBurst, rate*burstTime.Seconds())), budget
}

// refill adds the permits that have become due.
func (a *allocation) refill(now time.Time, limit, share float64) {
	rate, burst, budget := bounds(limit, min(share, 1))

	if !a.refilledAt.IsZero() {
		most := burst
		if now.Sub(a.refundedAt) < 2*burstTime {
			most = max(burst, a.tokens)
		}

		a.tokens = min(a.tokens+a.rate*now.Sub(a.refilledAt).Seconds(), most)
	}

	if rate > a.rate {
		a.tokens -= (rate - a.rate) * gainDelay.Seconds()
	}

	a.rate, a.budget, a.refilledAt = rate, budget, now

	first := 0
	for first < len(a.charges) && now.Sub(a.charges[first].at) > window+permitTime {
		first++
	}

	a.charges = a.charges[first:]
}

// refund takes back permits of an instance that have expired unused.
func (a *allocation) refund(now time.Time, instance string, returned []Returned) {
	for _, r := range returned {
		i := slices.IndexFunc(a.charges, func(c charge) bool { return c.instance == instance && c.challenge == r.Challenge })
		if i < 0 {
			continue
		}

		n := min(r.Permits, a.charges[i].permits)
		a.charges[i].permits -= n
		a.tokens += float64(n)
		a.refundedAt = now

		if c := a.claimants[instance]; c != nil {
			c.credit += float64(n)
		}
	}
}

// grant hands out up to want permits.
func (a *allocation) grant(now time.Time, instance string, challenge uint64, want int) int {
	charged := 0
	for _, c := range a.charges {
		charged += c.permits
	}

	c := a.claimants[instance]
	n := min(float64(want), math.Floor(a.tokens), math.Floor(a.budget-float64(charged)), math.Ceil(c.credit))

	if n < 1 {
		return 0
	}

	a.tokens -= n
	c.credit -= n
	a.charges = append(a.charges, charge{now, instance, challenge, int(n)})

	return int(n)
}

// expect records the demand of an instance and returns the rate of permits that it may
// expect: its part in proportion to the demands, if all want more than there is. Without
// parts, the instances that ask just after others would get little. An instance that hasn't asked
// for the time memory has none.
func (a *allocation) expect(now time.Time, instance string, demand float64, memory time.Duration) float64 {
	if a.claimants == nil {
		a.claimants = make(map[string]*claimant)
	}

	c := a.claimants[instance]
	if c == nil {
		c = &claimant{credit: 1, at: now}
		a.claimants[instance] = c
	}

	elapsed := now.Sub(c.at)
	c.demand, c.at = demand, now
	total := 0.0

	for id, o := range a.claimants {
		if now.Sub(o.at) > memory {
			delete(a.claimants, id)

			continue
		}

		total += o.demand
	}

	rate := a.rate
	if total > a.rate {
		rate *= max(demand, minDemand) / total
	}

	c.credit = min(c.credit+rate*elapsed.Seconds(), max(1, rate*creditTime.Seconds()))

	return rate
}

// Grant answers a question of another instance or of this one, and returns what changed by
// what the other one knows.
func (t *Table) Grant(now time.Time, a Ask) (Answer, []Learned) {
	t.mu.Lock()
	defer t.mu.Unlock()

	written, lent := t.takeLoan(now, a)
	shares := t.lentShares(now)
	needs := make(map[key]*Need, len(a.Needs))

	var changes []Learned

	for i := range a.Needs {
		n := &a.Needs[i]

		if c := t.learn(now, n.key(), n.Statement, n.span(written, now), a.Instance); c != Unchanged {
			changes = append(changes, Learned{n.Searcher, n.Incarnation, c, n.Statement})
		}

		needs[key{n.Searcher, n.Incarnation, false}] = n
	}

	out := Answer{Epoch: t.epoch, Challenge: uint64(now.Sub(t.started).Milliseconds()), Lent: lent}

	for id, st := range t.states {
		g := Grant{Report: st.report(now, id)}

		if n := needs[key{id, st.incarnation, false}]; n != nil && st.statement.Limited {
			al := &st.allocation
			al.refill(now, st.statement.Rate, shares.of(st.gathered))
			al.refund(now, a.Instance, n.Returned)
			g.Expected = al.expect(now, a.Instance, n.Demand, demandMemory)
			g.Permits = al.grant(now, a.Instance, out.Challenge, n.Want)
		}

		out.Grants = append(out.Grants, g)
	}

	out.Backed = t.members.back(now, shares.Direct, t.shares.at(now).Direct)
	out.Members = t.members.grants(now, a.Instance, out.Challenge, out.Backed, a.Members)
	out.Near = t.members.nearMembers(now)

	return out, changes
}

// takeLoan takes or renews the loan of another instance, and reports whether one is in force
// and when the question was written at the earliest. A question that doesn't lend may come
// from a new process; the loan of the earlier one runs out by itself.
func (t *Table) takeLoan(now time.Time, a Ask) (written time.Time, lent bool) {
	if a.Instance == t.self {
		return now, false
	}

	b, lent := t.backers[a.Instance]
	lent = lent && now.Before(b.until)
	issued := t.started.Add(time.Duration(a.Challenge) * time.Millisecond)

	if !a.Lends || a.Epoch != t.epoch || issued.After(now) || !now.Before(issued.Add(loanTime)) {
		return now.Add(-writeTime), lent
	}

	if !lent {
		t.refillAll(now)
	}

	if t.backers == nil {
		t.backers = make(map[string]backer)
	}

	t.backers[a.Instance] = backer{a.Shares, issued.Add(loanTime)}

	return issued, true
}

// refillAll brings the allocations up to date with the shares that this instance may hand
// out, so that a share that is lost and comes back later counts as gained.
func (t *Table) refillAll(now time.Time) {
	shares := t.lentShares(now)

	for _, st := range t.states {
		st.allocation.refill(now, st.statement.Rate, shares.of(st.gathered))
	}
}

// lentShares returns the shares that this instance may hand out: never more than the whole, though its
// backers may know too few instances and own more together.
func (t *Table) lentShares(now time.Time) Shares {
	sum := t.freeShares(now)

	for id, b := range t.backers {
		if !now.Before(b.until) {
			delete(t.backers, id)

			continue
		}

		sum.Gathered += b.shares.Gathered
		sum.Direct += b.shares.Direct
	}

	return sum.atMost(Shares{Gathered: 1, Direct: 1})
}
