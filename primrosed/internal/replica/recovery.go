package replica

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"primrosespring.example/internal/budget"
	"primrosespring.example/internal/directory"
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

const (
	// otherWitnesses is how many instances beside the readers are asked in a round about what the store
	// may have lost: the readers may have started just now as well.
	otherWitnesses = 2
	// evacuationWitnesses is how many answers an instance that has started gets about evacuations.
	evacuationWitnesses = 3
	// budgetWitnesses is how many answers it gets about budgets.
	budgetWitnesses = 2
)

// BudgetKeeper counts the extra attempts at each pool.
type BudgetKeeper interface {
	// BudgetUses returns what this instance has used, by pool.
	BudgetUses() map[string]budget.Use
	// TakeOverBudgets counts what another instance has used as if a predecessor of this process had.
	TakeOverBudgets(uses map[string]budget.Use)
}

// EvacuationKeeper keeps evacuations in force after the store's return from an older copy.
type EvacuationKeeper interface {
	// InForce returns the evacuations in force, and the store's era in which they were read.
	InForce() (list []directory.EvacuationInForce, era uint64)
	// Learn takes those of another instance, and reports whether it could: this one has read the
	// store's.
	Learn(list []directory.EvacuationInForce, era uint64) bool
}

// unsettled reports whether it isn't known whether the store holds all that it had acknowledged.
func (p *Positions) unsettled() bool {
	if p.Settlement == nil {
		return false
	}

	_, _, settled := p.Settlement.Settled()

	return !settled
}

// askWitnesses asks other instances what they know that the store may have lost, while this one can't tell:
// it may have started after a return of the store from an older copy.
func (p *Positions) askWitnesses(ctx context.Context, readers []domain.Instance) {
	if !p.needsWitness() {
		return
	}

	for _, address := range p.chooseWitnesses(readers) {
		asked := time.Now()

		answer, err := p.ask(ctx, address, &pb.PositionRequest{RecoveryOnly: true, Budgets: p.needsBudgets()})
		if err != nil {
			p.silent[address] = asked.Add(avoidTime)

			continue
		}

		p.learnRecovery(ctx, address, answer, asked)

		if p.needsBudgets() {
			p.budgetAnswers++
			p.Budgets.TakeOverBudgets(decodeBudgets(answer.GetBudgets()))
		}

		if !p.needsWitness() {
			return
		}
	}
}

// needsWitness reports whether another instance is to be asked.
func (p *Positions) needsWitness() bool {
	return p.unsettled() || p.needsBudgets() || p.Evacuations != nil && p.evacuationAnswers < evacuationWitnesses
}

// needsBudgets reports whether it isn't known what a predecessor of this process has used of the budgets.
func (p *Positions) needsBudgets() bool { return p.Budgets != nil && p.budgetAnswers < budgetWitnesses }

// chooseWitnesses returns the peer addresses of the other readers and of a few other instances, without those that
// didn't answer lately.
func (p *Positions) chooseWitnesses(readers []domain.Instance) []string {
	now := time.Now()
	maps.DeleteFunc(p.silent, func(_ string, until time.Time) bool { return now.After(until) })

	var out []string

	for _, r := range readers {
		if _, silent := p.silent[r.PeerAddress]; r.ID != p.Self && !silent && !now.Before(p.avoided[r.ID]) {
			out = append(out, r.PeerAddress)
		}
	}

	if p.Others == nil {
		return out
	}

	others := slices.DeleteFunc(p.Others(), func(a string) bool {
		_, silent := p.silent[a]

		return silent || slices.Contains(out, a)
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

	return append(out, others[:min(len(others), otherWitnesses)]...)
}

// learnRecovery takes what another instance knows that the store may have lost, and that the era is
// settled. That counts here only once this instance has in force what the other one has.
func (p *Positions) learnRecovery(ctx context.Context, address string, a *pb.PositionAnswer, asked time.Time) {
	if p.Evacuations != nil && p.Evacuations.Learn(decodeEvacuations(a.GetEvacuations(), asked), a.GetEvacuationsEra()) {
		p.evacuationAnswers++
	}

	if !p.unsettled() {
		return
	}

	if p.InForce != nil && a.GetConfigurationVersion() > p.InForce() {
		p.CatchUp(ctx, address)

		return
	}

	if era := a.GetSettledEra(); era > 0 {
		p.Settlement.Learn(era, time.Now().Add(-milliseconds(a.GetSettledMs())))
	}
}

// addRecovery adds what learnRecovery takes to an answer.
func (p *Positions) addRecovery(a *pb.PositionAnswer) {
	if p.InForce != nil {
		a.ConfigurationVersion = p.InForce()
	}

	if p.Settlement != nil {
		if era, since, ok := p.Settlement.Settled(); ok {
			a.SettledEra, a.SettledMs = era, uint64(max(since, 0).Milliseconds())
		}
	}

	if p.Evacuations != nil {
		list, era := p.Evacuations.InForce()
		a.Evacuations, a.EvacuationsEra = encodeEvacuations(list), era
	}
}

func encodeBudgets(uses map[string]budget.Use) []*pb.BudgetUse {
	out := make([]*pb.BudgetUse, 0, len(uses))
	for pool, u := range uses {
		out = append(out, &pb.BudgetUse{Pool: pool, Requests: u.Requests, Extras: u.Extras})
	}

	return out
}

func decodeBudgets(list []*pb.BudgetUse) map[string]budget.Use {
	out := make(map[string]budget.Use, len(list))

	for _, u := range list {
		if u.GetPool() != "" {
			out[u.GetPool()] = budget.Use{Requests: u.GetRequests(), Extras: u.GetExtras()}
		}
	}

	return out
}

func encodeEvacuations(list []directory.EvacuationInForce) []*pb.EvacuationInForce {
	out := make([]*pb.EvacuationInForce, 0, len(list))

	for _, e := range list {
		remaining := max(time.Until(e.Until), 0)
		out = append(out, &pb.EvacuationInForce{FailureDomain: e.FailureDomain, RemainingMs: uint64(remaining.Milliseconds())})
	}

	return out
}

// decodeEvacuations returns the evacuations told in answer to a question of that time. None is kept for
// longer than instances keep their own.
func decodeEvacuations(list []*pb.EvacuationInForce, asked time.Time) []directory.EvacuationInForce {
	out := make([]directory.EvacuationInForce, 0, len(list))

	for _, e := range list {
		if e.GetFailureDomain() == "" {
			continue
		}

		v := directory.EvacuationInForce{Evacuation: domain.Evacuation{FailureDomain: e.GetFailureDomain()}}
		if ms := e.GetRemainingMs(); ms > 0 {
			v.Until = asked.Add(min(milliseconds(ms), directory.EvacuationGrace))
		}

		out = append(out, v)
	}

	return out
}

// milliseconds returns a duration, of an hour at most: a longer one is as good as that.
func milliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour/time.Millisecond))) * time.Millisecond
}
