package quota

import (
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
)

// loanTime is how long an instance lends its share to an allocator, from the answer on. An
// allocator that is lost is replaced after that time.
const loanTime = 2 * time.Second

// Ask is a question of an instance to an allocator.
type Ask struct {
	Instance string
	// Lends says that the instance lends its Shares to the allocator. Epoch and Challenge
	// are those of the allocator's last answer and show since when.
	Lends     bool
	Epoch     uint64
	Challenge uint64
	Shares    Shares
	Needs     []Need
	Members   []MemberNeed
}

// Report says what an instance knows of a searcher's limit, with the age of the knowledge
// when the message was written.
type Report struct {
	Searcher    string
	Incarnation int64
	Gathered    bool
	Statement   Statement
	// The searcher made the statement between FromAge and UntilAge ago.
	FromAge  time.Duration
	UntilAge time.Duration
}

func (r *Report) key() key { return key{r.Searcher, r.Incarnation, r.Gathered} }

// Need says how many permits an instance wants for a searcher.
type Need struct {
	Report
	// Demand is how many requests a second the instance would send.
	Demand float64
	Want   int
	// Returned are the allocator's permits that have expired unused since the last question.
	Returned []Returned
}

// Returned is a number of permits of the answer with that challenge.
type Returned struct {
	Challenge uint64
	Permits   int
}

// Answer is an allocator's answer to an Ask.
type Answer struct {
	Epoch     uint64
	Challenge uint64
	// Lent says that the allocator has a loan of the instance that asked.
	Lent    bool
	Grants  []Grant
	Members []MemberGrant
	// Backed says that others lend to the allocator, or that there are none, so that it knows
	// which members are near their caps.
	Backed bool
	// Near are the member organisations near their caps, at any instance.
	Near []string
}

// Grant gives permits for a searcher.
type Grant struct {
	Report
	Permits int
	// Expected is the rate of permits a second that the instance may expect.
	Expected float64
}

// Learned is a change that an instance learned from another one.
type Learned struct {
	Searcher    string
	Incarnation int64
	Change      Change
	Statement   Statement
}

// grantor is one process of an allocator.
type grantor struct {
	instance string
	epoch    uint64
}

// loan is what an instance has lent to an allocator.
type loan struct {
	to        grantor
	challenge uint64
	until     time.Time
	// confirmed says that the allocator has the loan, so that no other one can have it.
	confirmed bool
}

// Validate returns an error for the first invalid field.
func (a *Ask) Validate() error {
	if a.Instance == "" {
		return errors.New("question for permits: instance must not be empty")
	}

	for _, s := range []float64{a.Shares.Gathered, a.Shares.Direct} {
		if math.IsNaN(s) || s < 0 || s > 1 {
			return errors.Errorf("question for permits: share %v isn't between 0 and 1", s)
		}
	}

	if len(a.Needs) > MaxSearchers {
		return errors.Errorf("question for permits: %d searchers, at most %d are allowed", len(a.Needs), MaxSearchers)
	}

	for i := range a.Needs {
		n := &a.Needs[i]
		if err := n.validate(); err != nil {
			return err
		}

		if !validRate(n.Demand) || n.Want < 0 || slices.ContainsFunc(n.Returned, func(r Returned) bool { return r.Permits < 0 }) {
			return errors.Errorf("question for permits: searcher %s: invalid demand", n.Searcher)
		}
	}

	if len(a.Members) > MaxMembers {
		return errors.Errorf("question for permits: %d members, at most %d are allowed", len(a.Members), MaxMembers)
	}

	for i := range a.Members {
		n := &a.Members[i]
		if n.Member == "" || !validRate(n.Demand) || n.Want < 0 || n.Used < -maxUsed || n.Used > maxUsed ||
			slices.ContainsFunc(n.Returned, func(r Returned) bool { return r.Permits < 0 }) {
			return errors.Errorf("question for permits: member %q: invalid use", n.Member)
		}
	}

	return nil
}

// Validate returns an error for the first invalid field.
func (a *Answer) Validate() error {
	if len(a.Grants) > MaxSearchers {
		return errors.Errorf("permits: %d searchers, at most %d are allowed", len(a.Grants), MaxSearchers)
	}

	for i := range a.Grants {
		g := &a.Grants[i]
		if err := g.validate(); err != nil {
			return err
		}

		if !validRate(g.Expected) || g.Permits < 0 {
			return errors.Errorf("permits: searcher %s: invalid number", g.Searcher)
		}
	}

	if len(a.Members) > MaxMembers || len(a.Near) > MaxMembers {
		return errors.Errorf("permits: %d members and %d near their caps, at most %d are allowed", len(a.Members), len(a.Near), MaxMembers)
	}

	for i := range a.Members {
		if g := &a.Members[i]; g.Member == "" || !validRate(g.Expected) || math.IsNaN(g.Left) || g.Permits < 0 {
			return errors.Errorf("permits: member %q: invalid number", g.Member)
		}
	}

	return nil
}

func (r *Report) validate() error {
	if r.Searcher == "" {
		return errors.New("limit: searcher must not be empty")
	}

	if !validRate(r.Statement.Rate) {
		return errors.Errorf("limit of searcher %s: invalid rate", r.Searcher)
	}

	if r.UntilAge < 0 || r.FromAge < r.UntilAge || r.FromAge > 2*memory {
		return errors.Errorf("limit of searcher %s: invalid age", r.Searcher)
	}

	return nil
}

func validRate(r float64) bool { return !math.IsNaN(r) && r >= 0 && r <= MaxRate }

// report describes a state; the caller holds the table's lock.
func (s *state) report(now time.Time, searcher string) Report {
	until := max(now.Sub(s.stated.until), 0)

	return Report{
		Searcher: searcher, Incarnation: s.incarnation, Gathered: s.gathered, Statement: s.statement,
		FromAge: min(max(now.Sub(s.stated.from), until), 2*memory), UntilAge: min(until, 2*memory),
	}
}

// span returns when the statement was made if the message was written between earliest and
// latest.
func (r *Report) span(earliest, latest time.Time) span {
	return span{from: earliest.Add(-r.FromAge), until: latest.Add(-r.UntilAge)}
}

// lendable reports whether the instance may use or lend its share: a process before this
// one may have lent it.
func (t *Table) lendable(now time.Time) bool { return now.Sub(t.started) >= loanTime }

// freeShares returns the shares that the instance hasn't lent; the caller holds mu.
func (t *Table) freeShares(now time.Time) Shares {
	if !t.lendable(now) || now.Before(t.loan.until) {
		return Shares{}
	}

	return t.shares.at(now)
}

// Ask returns the question to the instance to, which may be this one.
func (t *Table) Ask(now time.Time, to string) Ask {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.prune(now)
	t.askedAt = now
	a := Ask{Instance: t.self}

	if t.loan.to.instance == to && now.Before(t.loan.until) && (t.loan.confirmed || t.lendable(now)) {
		a.Lends, a.Epoch, a.Challenge, a.Shares = true, t.loan.to.epoch, t.loan.challenge, t.shares.at(now)
	}

	for id, st := range t.states {
		n := Need{Report: st.report(now, id)}

		if st.statement.Limited {
			n.Want, n.Demand = st.want(now), min(st.demand, MaxRate)

			if st.giver.instance == to {
				n.Returned = st.returned
			}

			st.returned = nil
		}

		a.Needs = append(a.Needs, n)
	}

	a.Members = t.members.needs(now, to)

	return a
}

// Apply takes the answer of the instance from to a question that was sent at the time
// asked, and returns what changed.
func (t *Table) Apply(now, asked time.Time, from string, a Answer) []Learned {
	t.mu.Lock()
	defer t.mu.Unlock()

	g := grantor{from, a.Epoch}

	if from != t.self && (t.loan.to.instance == from || !now.Before(t.loan.until)) {
		lent := now.Before(t.loan.until)
		t.loan = loan{to: g, challenge: a.Challenge, until: now.Add(loanTime), confirmed: a.Lent}

		if !lent {
			t.refillAll(now)
		}
	}

	var out []Learned

	for i := range a.Grants {
		r := &a.Grants[i]

		if c := t.learn(now, r.key(), r.Statement, r.span(asked, now), from); c != Unchanged {
			out = append(out, Learned{r.Searcher, r.Incarnation, c, r.Statement})
		}

		st := t.states[r.Searcher]
		if st == nil || st.incarnation != r.Incarnation || !st.statement.Limited {
			continue
		}

		if st.giver != g {
			st.stock(now)
			st.giver, st.returned = g, nil
		}

		st.expected, st.expectedAt = r.Expected, now

		if until := asked.Add(permitTime); r.Permits > 0 && now.Before(until) {
			st.batches = append(st.batches, batch{g, a.Challenge, r.Permits, until})
		}
	}

	t.members.apply(now, asked, g, &a)

	return out
}
