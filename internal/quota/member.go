package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"primrosespring.example/internal/domain"
)

const (
	// MaxMembers bounds the member organisations of one message.
	MaxMembers = 10_000
	// maxUsed bounds the requests that one question states.
	maxUsed = 1_000_000
	// freeTime is for how much of its demand an instance may admit requests of a member far
	// below its cap between two answers, beside one.
	freeTime = 300 * time.Millisecond
	// memberDemandTime is the time over which an instance's demand of a member is averaged.
	memberDemandTime = 2 * time.Second
	// creditLimit is the time after the last answer for which an instance goes on with what it
	// had, and nearCredit the one from which it does so near a cap, where it asks often. An
	// allocator that is lost is replaced within that time.
	creditLimit = 3500 * time.Millisecond
	nearCredit  = 400 * time.Millisecond
	// inTouch is the time after the last answer for which an instance counts as in touch with
	// its allocator.
	inTouch = time.Second
	// creditRate is what an instance without answers may admit of a member beside its part, in
	// requests a second.
	creditRate = 0.1
	// creditBurst and the demand of memberCreditTime are what is kept of that.
	creditBurst      = 1.5
	memberCreditTime = time.Second
	// memberMemory is how long an unused member is remembered.
	memberMemory = 10 * time.Second

	// Shares of the tolerated excess: usedExcess is given to the callers, as a higher rate, and
	// excessShare is what the instances that serve a member may use before they learn that it is
	// near its cap. The rest is for late messages.
	usedExcess  = 0.15
	excessShare = 0.3
	// exposedShare is the share of the instances that serve a member which are expected to admit
	// a request each before any of them hears that it is near its cap.
	exposedShare = 0.5
	// A member that is near its cap stays so until farTokens of its burst are left, and room for
	// farExposure times what its instances may use before they learn otherwise.
	farTokens   = 0.5
	farExposure = 1.5
	// gainShare is the share of the tolerated excess that an allocator begins with: it doesn't
	// know what the one before it had left.
	gainShare = 0.1
	// leastBacking is the least share of what the instances that rely on the same readers own, of
	// which there are groupSize at most, with which an allocator gives permits. With less, it
	// would refuse what another one, which has the loans, could give.
	leastBacking = 0.15
	groupSize    = 100
	// settleTime is how long the share of an allocator must not have grown by more than
	// settleGrowth before it gives permits: it would take members for near their caps.
	settleTime   = 500 * time.Millisecond
	settleGrowth = 1.2
	// emptyAskGap is the least time between two questions while the allocator has nothing left.
	emptyAskGap = 60 * time.Millisecond
	// seenTime is how long an instance counts as one that serves a member.
	seenTime = 2 * time.Second
)

// Tolerance says when the cap of a member organisation counts as broken: if in a time Window more
// requests run than its rate and burst allow, times 1 + Overage, and Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// excess returns how many requests beyond a cap are tolerated in a window.
func (t Tolerance) excess(c domain.Cap) float64 {
	return t.Overage*(c.Rate*t.Window.Seconds()+c.Burst) + t.Slack
}

// grant returns the cap that allocators keep to: what is tolerated belongs to the callers as long as
// the cap isn't broken.
func (t Tolerance) grant(c domain.Cap) domain.Cap {
	if t.Window > 0 {
		c.Rate += usedExcess * t.excess(c) / t.Window.Seconds()
	}

	return c
}

// memberUse is an instance's use of the cap of a member organisation.
type memberUse struct {
	permits

	// free is how many requests may be admitted without a permit until the next answer, as of
	// freeAt.
	free   float64
	freeAt time.Time
	// used counts the requests admitted without a permit, less those that didn't run, since
	// the last question; telling those of the questions since the last answer.
	used, telling int
	// weight counts requests, each decayed with memberDemandTime, as of weightAt.
	weight   float64
	weightAt time.Time
	// left is how many permits the allocator had left, as of expectedAt, and part what it
	// expects this instance to use: its demand, or its part of the rate if that is less.
	left, part float64
	// admitted and refused count requests.
	admitted, refused uint64
	lastAt            time.Time
	// admittedAt is when the last request was admitted.
	admittedAt time.Time
}

// memberAllocation is what an allocator hands out of the cap of one member organisation.
type memberAllocation struct {
	allocation

	near bool
	// seen holds when the instances that serve the member asked last.
	seen map[string]time.Time
}

// members are the caps of member organisations in a Table.
type members struct {
	tolerance Tolerance
	caps      map[string]domain.Cap
	uses      map[string]*memberUse
	// near holds the members near their cap by the last answer.
	near map[string]bool
	// answeredAt is when an allocator was asked last that has the loans of others and answered.
	answeredAt time.Time
	// answered says that one has; until then, answeredAt is the start of the process, and delay
	// how long a share that grows isn't used.
	answered    bool
	delay       time.Duration
	allocations map[string]*memberAllocation
	// share is the share that this instance last handed out, and shareSince from when on it was
	// not much less.
	share      float64
	shareSince time.Time
	// changed is closed when requests that wait should ask again.
	changed chan struct{}
}

// MemberNeed tells an allocator what an instance uses of the cap of a member organisation.
type MemberNeed struct {
	Member string
	// Used is how many requests were admitted without a permit since the last question; it is
	// negative if more were given back.
	Used     int
	Demand   float64
	Want     int
	Returned []Returned
}

// MemberGrant gives permits for requests of a member organisation.
type MemberGrant struct {
	Member  string
	Permits int
	// Expected is the rate of permits a second that the instance may expect, and Left what the
	// allocator has left.
	Expected float64
	Left     float64
}

// Admission is the decision on a request of a member organisation.
type Admission struct {
	Admitted bool
	// Ticket is set if the request waits: it asks again at the time At, or when Changed is
	// closed. If it neither waits nor is admitted, it would fit at the time At.
	Ticket  uint64
	At      time.Time
	Changed <-chan struct{}
}

// SetCaps replaces the caps of member organisations and what is tolerated beyond them. Members
// whose cap falls count as near it until an allocator says otherwise.
func (t *Table) SetCaps(caps map[string]domain.Cap, tolerance Tolerance) {
	t.mu.Lock()
	defer t.mu.Unlock()

	m := &t.members
	near := maps.Clone(m.near)

	for name, c := range caps {
		if before, ok := m.caps[name]; ok && c.Limited() && (!before.Limited() || c.Rate < before.Rate) {
			if near == nil {
				near = make(map[string]bool)
			}

			near[name] = true
		}
	}

	m.caps, m.tolerance, m.near = caps, tolerance, near
}

// Capped reports whether there are caps, so that it matters whether an allocator is backed.
func (t *Table) Capped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.members.caps) > 0
}

// use returns the use of a member; the caller holds mu.
func (m *members) use(now time.Time, member string) *memberUse {
	u := m.uses[member]
	if u == nil {
		if m.uses == nil {
			m.uses = make(map[string]*memberUse)
		}

		u = &memberUse{free: 1, freeAt: now, weightAt: now}
		m.uses[member] = u
	}

	return u
}

// decay brings the demand up to date, and adds to it.
func (u *memberUse) decay(now time.Time, requests float64) {
	u.weight = u.weight*math.Exp(-now.Sub(u.weightAt).Seconds()/memberDemandTime.Seconds()) + requests
	u.weightAt = now
	u.demand = u.weight / memberDemandTime.Seconds()
}

// credit adds to free what an instance may go on with until the next answer: about what it has
// admitted before, which the allocator counts on, or its own share. share is that of this
// instance.
func (m *members) credit(now time.Time, member string, u *memberUse, share float64) {
	from, until := u.freeAt, m.answeredAt.Add(creditLimit)
	if !m.answered {
		// Shares are used only after a delay at first.
		until = until.Add(m.delay)
	}

	rate, most := u.part+creditRate, creditBurst+u.part*memberCreditTime.Seconds()

	// Its share is its own once it isn't lent any more, or if it never was.
	if !m.answered || now.Sub(m.answeredAt) > loanTime {
		rate = max(rate, share*m.caps[member].Rate)
		most = max(most, creditBurst+rate*memberCreditTime.Seconds())
	}

	if m.near[member] {
		rate, most = u.part, creditBurst

		if after := m.answeredAt.Add(nearCredit); after.After(from) {
			from = after
		}
	}

	if now.Before(until) {
		until = now
	}

	if span := until.Sub(from); span > 0 {
		u.free = min(u.free+rate*span.Seconds(), most)
	}

	u.freeAt = now
}

// AdmitMember decides on a request of a member organisation with a cap, which may wait until
// latest; a request that waits repeats its claim with the ticket. A member far below its cap waits
// for no other instance: what is admitted is told afterwards.
func (t *Table) AdmitMember(now time.Time, member string, latest time.Time, c Claim) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()

	m := &t.members
	if limit, ok := m.caps[member]; !ok || !limit.Limited() {
		return Admission{Admitted: true}
	}

	u := m.use(now, member)
	m.credit(now, member, u, t.shares.next.Direct)
	u.lastAt = now

	if c.Ticket == 0 {
		u.decay(now, 1)
	}

	switch {
	case u.stock(now)-u.ahead(now, c) > 0:
		b := &u.batches[0]
		b.permits--

		if b.permits == 0 {
			u.batches = u.batches[1:]
		}
	case u.free >= 1 && (!m.near[member] || now.Sub(m.answeredAt) > nearCredit) && u.ahead(now, c) == 0:
		u.free--

		// What an instance admits on credit isn't another allocator's to count.
		if m.inTouch(now) {
			u.used++
		}

		t.notify(now)
	default:
		return t.waitForMember(now, member, u, latest, c)
	}

	u.leave(c.Ticket)
	u.admitted++
	u.admittedAt = now

	return Admission{Admitted: true}
}

// waitForMember has a request wait, or refuses it; the caller holds mu.
func (t *Table) waitForMember(now time.Time, member string, u *memberUse, latest time.Time, c Claim) Admission {
	m := &t.members

	// The next answer is enough, unless the allocator has just said that it has no permits left:
	// then this instance's part decides.
	turn := now.Add(roundTrip)
	if m.near[member] && u.left < 1 && now.Sub(u.expectedAt) <= expectedTime {
		turn = u.turn(now, u.ahead(now, c))
	}

	if !now.Before(latest) || turn.After(latest) {
		u.leave(c.Ticket)
		u.refused++

		return Admission{At: turn}
	}

	if c.Ticket == 0 {
		t.lastTicket++
		c.Ticket = t.lastTicket
	}

	u.wait(now, c)

	// An allocator that has nothing left isn't asked again at once by all who wait.
	if u.left >= 1 || now.Sub(t.askedAt) >= emptyAskGap {
		t.notify(now)
	}

	if m.changed == nil {
		m.changed = make(chan struct{})
	}

	at := now.Add(retryInterval)
	if at.After(latest) {
		at = latest
	}

	return Admission{Ticket: c.Ticket, At: at, Changed: m.changed}
}

// turn returns when a request with n others before it may expect a permit: as long after the last
// admission here as the instance's part allows.
func (u *memberUse) turn(now time.Time, n int) time.Time {
	wait := memory
	if u.expected > 0 {
		wait = min(time.Duration(float64(n+1)/u.expected*float64(time.Second)), memory)
	}

	if at := u.admittedAt.Add(wait); at.After(now.Add(roundTrip)) {
		return at
	}

	return now.Add(roundTrip)
}

// leave removes a request from the queue.
func (p *permits) leave(id uint64) {
	if id != 0 {
		p.queue = slices.DeleteFunc(p.queue, func(k ticket) bool { return k.id == id })
	}
}

// LeaveMember ends the wait of a request that AdmitMember gave a ticket.
func (t *Table) LeaveMember(member string, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if u := t.members.uses[member]; u != nil {
		u.leave(id)
	}
}

// ReturnMember gives back an admission whose request didn't run. The allocator gets it with the next
// question, whichever way it was admitted, unless it wasn't counted.
func (t *Table) ReturnMember(now time.Time, member string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if u := t.members.uses[member]; u != nil && t.members.inTouch(now) {
		u.used--
	}
}

// inTouch reports whether an allocator has answered lately.
func (m *members) inTouch(now time.Time) bool { return m.answered && now.Sub(m.answeredAt) <= inTouch }

// needs returns what to tell an allocator of the members in use; the caller holds mu.
func (m *members) needs(now time.Time, to string) []MemberNeed {
	var out []MemberNeed

	for name, u := range m.uses {
		if now.Sub(u.lastAt) > memberMemory && u.used == 0 && u.telling == 0 && len(u.queue) == 0 {
			delete(m.uses, name)

			continue
		}

		u.decay(now, 0)

		stock := u.stock(now)
		n := MemberNeed{Member: name, Demand: min(u.demand, MaxRate), Want: len(u.queue)}

		// What is kept in stock here is lacking elsewhere.
		if m.near[name] {
			n.Want += int(u.demand * permitTime.Seconds())
		}

		n.Want = max(n.Want-stock, 0)

		// A question without an answer may have been counted: its use is told again, which
		// errs on the side of the cap.
		u.telling = min(max(u.telling+u.used, -maxUsed), maxUsed)
		u.used = 0
		n.Used = u.telling

		if u.giver.instance == to {
			n.Returned, u.returned = u.returned, nil
		}

		out = append(out, n)
	}

	return out
}

// back updates the share of all caps that this instance may hand out, of which own is its own, and
// reports whether it can: enough others lend to it, or there are none, and its share has settled.
func (m *members) back(now time.Time, share, own float64) bool {
	if share > settleGrowth*m.share {
		m.shareSince = now
	}

	m.share = share

	if own < 1 && share < leastBacking/math.Ceil(1/own/groupSize) {
		m.allocations = nil

		return false
	}

	return now.Sub(m.shareSince) >= settleTime
}

// grants answers the needs of an instance; the caller holds mu. An instance that isn't backed
// gives nothing and counts nothing: those that ask go on with their credit.
func (m *members) grants(now time.Time, instance string, challenge uint64, backed bool, needs []MemberNeed) []MemberGrant {
	share := m.share

	var out []MemberGrant

	for i := range needs {
		n := &needs[i]

		limit, ok := m.caps[n.Member]
		if !ok || !limit.Limited() {
			continue
		}

		if !backed {
			out = append(out, MemberGrant{Member: n.Member})

			continue
		}

		limit = m.tolerance.grant(limit)
		a := m.allocation(n.Member, limit)
		a.refill(now, limit, share, m.tolerance)
		a.refund(now, instance, n.Returned)
		a.tokens = max(a.tokens-float64(n.Used), -limit.Rate*m.tolerance.Window.Seconds()-limit.Burst)
		a.seen[instance] = now

		g := MemberGrant{Member: n.Member, Expected: a.expect(now, instance, n.Demand, loanTime)}
		g.Permits = a.grant(now, instance, challenge, n.Want)
		a.decide(now, limit, share, m.tolerance)

		g.Left = a.tokens
		out = append(out, g)
	}

	return out
}

// allocation returns the allocation of a member. One that wasn't asked for before has the permits
// that have become due since this instance hands out its share.
func (m *members) allocation(member string, limit domain.Cap) *memberAllocation {
	a := m.allocations[member]
	if a == nil {
		if m.allocations == nil {
			m.allocations = make(map[string]*memberAllocation)
		}

		a = &memberAllocation{seen: make(map[string]time.Time)}
		a.budget = math.Inf(1)
		a.refilledAt = m.shareSince
		m.allocations[member] = a
		a.refill(m.shareSince, limit, m.share, m.tolerance)
	}

	return a
}

// refill adds the permits that have become due. Those of a share that is gained are fewer by what
// its former allocator may have given out just before.
func (a *memberAllocation) refill(now time.Time, limit domain.Cap, share float64, tolerance Tolerance) {
	rate, burst := share*limit.Rate, share*max(limit.Burst, 1)
	a.tokens += a.rate * now.Sub(a.refilledAt).Seconds()

	if gained := share - a.rate/limit.Rate; gained > 0 {
		a.tokens += gained * (gainShare*tolerance.excess(limit) - limit.Rate*permitTime.Seconds())
	}

	a.tokens = min(a.tokens, burst)

	a.rate, a.refilledAt = rate, now
	a.charges = slices.DeleteFunc(a.charges, func(c charge) bool { return now.Sub(c.at) > window })
}

// decide updates whether the member is near its cap: whether the instances that serve it might
// exceed the cap with what they may admit before their next answer.
func (a *memberAllocation) decide(now time.Time, limit domain.Cap, share float64, tolerance Tolerance) {
	maps.DeleteFunc(a.seen, func(_ string, at time.Time) bool { return now.Sub(at) > seenTime })

	demand := 0.0
	for _, c := range a.claimants {
		demand += c.demand
	}

	exposure := exposedShare*float64(len(a.seen)) + demand*freeTime.Seconds()
	room := a.tokens + share*excessShare*tolerance.excess(limit)

	switch {
	case room < exposure:
		a.near = true
	case room >= farExposure*exposure && a.tokens >= farTokens*share*limit.Burst:
		a.near = false
	}
}

// nearMembers returns the members near their cap, and drops the allocations that nobody uses.
func (m *members) nearMembers(now time.Time) []string {
	var out []string

	for name, a := range m.allocations {
		limit, ok := m.caps[name]
		if !ok || now.Sub(a.refilledAt) > memberMemory {
			delete(m.allocations, name)

			continue
		}

		if a.near && limit.Limited() {
			out = append(out, name)
		}
	}

	slices.Sort(out)

	return out
}

// apply takes an allocator's answer to a question that was sent at the time asked.
func (m *members) apply(now, asked time.Time, g grantor, a *Answer) {
	if a.Backed {
		m.answeredAt, m.answered = asked, true
		m.near = make(map[string]bool, len(a.Near))

		for _, name := range a.Near {
			m.near[name] = true

			if u := m.uses[name]; u != nil {
				u.free, u.freeAt = 0, now
			}
		}
	}

	for i := range a.Members {
		n := &a.Members[i]

		u := m.uses[n.Member]
		if u == nil {
			continue
		}

		if u.giver != g {
			u.stock(now)
			u.giver, u.returned = g, nil
		}

		if !a.Backed {
			continue
		}

		u.telling = 0
		u.expected, u.expectedAt, u.left = n.Expected, now, n.Left
		u.part = min(u.demand, n.Expected)

		if until := asked.Add(permitTime); n.Permits > 0 && now.Before(until) {
			u.batches = append(u.batches, batch{g, a.Challenge, n.Permits, until})
		}

		if !m.near[n.Member] {
			u.free, u.freeAt = 1+u.demand*freeTime.Seconds(), now
		}
	}

	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// busy reports whether requests wait, or permits have to be kept in stock.
func (m *members) busy() bool {
	for name, u := range m.uses {
		if len(u.queue) > 0 || m.near[name] && u.demand*permitTime.Seconds() >= 1 {
			return true
		}
	}

	return false
}

// MemberReport is what an instance knows of the use of a cap.
type MemberReport struct {
	Member string  `json:"member"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	// Near says that requests need permits.
	Near bool `json:"near"`
	// Demand is this instance's, in requests a second; Expected what it may expect.
	Demand   float64 `json:"demand"`
	Expected float64 `json:"expected"`
	Waiting  int     `json:"waiting"`
	Admitted uint64  `json:"admitted"`
	Refused  uint64  `json:"refused"`
	// Tokens is what is left of the burst at the allocator, and AllocatorRate what it hands
	// out; both are zero at other instances.
	Tokens        float64 `json:"tokens,omitempty"`
	AllocatorRate float64 `json:"allocator_rate,omitempty"`
}

// MemberReports returns what is known of the members in use, by name.
func (t *Table) MemberReports() []MemberReport {
	t.mu.Lock()
	defer t.mu.Unlock()

	m := &t.members
	names := slices.Collect(maps.Keys(m.uses))

	for name := range m.allocations {
		if m.uses[name] == nil {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	out := make([]MemberReport, len(names))

	for i, name := range names {
		out[i] = MemberReport{Member: name, Rate: m.caps[name].Rate, Burst: m.caps[name].Burst, Near: m.near[name]}

		if u := m.uses[name]; u != nil {
			out[i].Demand, out[i].Expected, out[i].Waiting = u.demand, u.expected, len(u.queue)
			out[i].Admitted, out[i].Refused = u.admitted, u.refused
		}

		if a := m.allocations[name]; a != nil {
			out[i].Tokens, out[i].AllocatorRate = a.tokens, a.rate
		}
	}

	return out
}
