// Package allocator speaks to the instance that divides the limits of searchers: it translates
// the messages of package quota.
package allocator

import (
	"math"
	"time"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/internal/quota"
)

// EncodeQuestion returns the wire form.
func EncodeQuestion(a *quota.Ask) *pb.PermitQuestion {
	q := &pb.PermitQuestion{
		InstanceId: a.Instance, Lends: a.Lends, Epoch: a.Epoch, Challenge: a.Challenge,
		GatheredShare: a.Shares.Gathered, DirectShare: a.Shares.Direct, Needs: make([]*pb.PermitNeed, len(a.Needs)),
	}

	for i := range a.Needs {
		n := &a.Needs[i]
		q.Needs[i] = &pb.PermitNeed{Limit: encodeReport(&n.Report), Demand: n.Demand, Want: clamp(n.Want), Returned: encodeReturned(n.Returned)}
	}

	for i := range a.Members {
		n := &a.Members[i]
		need := &pb.MemberNeed{Member: n.Member, Used: int64(n.Used), Demand: n.Demand, Want: clamp(n.Want), Returned: encodeReturned(n.Returned)}
		q.Members = append(q.Members, need)
	}

	return q
}

func encodeReturned(list []quota.Returned) []*pb.ReturnedPermits {
	var out []*pb.ReturnedPermits

	for _, r := range list {
		out = append(out, &pb.ReturnedPermits{Challenge: r.Challenge, Permits: clamp(r.Permits)})
	}

	return out
}

func decodeReturned(list []*pb.ReturnedPermits) []quota.Returned {
	var out []quota.Returned

	for _, r := range list {
		out = append(out, quota.Returned{Challenge: r.GetChallenge(), Permits: int(r.GetPermits())})
	}

	return out
}

// DecodeQuestion returns the checked message.
func DecodeQuestion(q *pb.PermitQuestion) (quota.Ask, error) {
	a := quota.Ask{
		Instance: q.GetInstanceId(), Lends: q.GetLends(), Epoch: q.GetEpoch(), Challenge: q.GetChallenge(),
		Shares: quota.Shares{Gathered: q.GetGatheredShare(), Direct: q.GetDirectShare()},
		Needs:  make([]quota.Need, len(q.GetNeeds())),
	}

	for i, n := range q.GetNeeds() {
		a.Needs[i] = quota.Need{
			Report: decodeReport(n.GetLimit()), Demand: n.GetDemand(), Want: int(n.GetWant()), Returned: decodeReturned(n.GetReturned()),
		}
	}

	for _, n := range q.GetMembers() {
		a.Members = append(a.Members, quota.MemberNeed{
			Member: n.GetMember(), Used: int(n.GetUsed()), Demand: n.GetDemand(), Want: int(n.GetWant()), Returned: decodeReturned(n.GetReturned()),
		})
	}

	return a, a.Validate()
}

// EncodeAnswer returns the wire form.
func EncodeAnswer(a *quota.Answer) *pb.PermitAnswer {
	out := &pb.PermitAnswer{Epoch: a.Epoch, Challenge: a.Challenge, Lent: a.Lent, Backed: a.Backed, NearMembers: a.Near, Grants: make([]*pb.PermitGrant, len(a.Grants))}

	for i := range a.Grants {
		g := &a.Grants[i]
		out.Grants[i] = &pb.PermitGrant{Limit: encodeReport(&g.Report), Permits: clamp(g.Permits), Expected: g.Expected}
	}

	for _, g := range a.Members {
		out.Members = append(out.Members, &pb.MemberGrant{Member: g.Member, Permits: clamp(g.Permits), Expected: g.Expected, Left: g.Left})
	}

	return out
}

// DecodeAnswer returns the checked message.
func DecodeAnswer(a *pb.PermitAnswer) (quota.Answer, error) {
	out := quota.Answer{
		Epoch: a.GetEpoch(), Challenge: a.GetChallenge(), Lent: a.GetLent(), Backed: a.GetBacked(), Near: a.GetNearMembers(), Grants: make([]quota.Grant, len(a.GetGrants())),
	}

	for i, g := range a.GetGrants() {
		out.Grants[i] = quota.Grant{Report: decodeReport(g.GetLimit()), Permits: int(g.GetPermits()), Expected: g.GetExpected()}
	}

	for _, g := range a.GetMembers() {
		out.Members = append(out.Members, quota.MemberGrant{Member: g.GetMember(), Permits: int(g.GetPermits()), Expected: g.GetExpected(), Left: g.GetLeft()})
	}

	return out, out.Validate()
}

func encodeReport(r *quota.Report) *pb.SearcherLimit {
	return &pb.SearcherLimit{
		SearcherId: r.Searcher, Incarnation: r.Incarnation, Gathered: r.Gathered,
		Limited: r.Statement.Limited, Rate: r.Statement.Rate,
		// Rounding must not make the time of the statement shorter.
		FromAgeUs:  uint64((r.FromAge + time.Microsecond - 1) / time.Microsecond),
		UntilAgeUs: uint64(r.UntilAge / time.Microsecond),
	}
}

func decodeReport(l *pb.SearcherLimit) quota.Report {
	return quota.Report{
		Searcher: l.GetSearcherId(), Incarnation: l.GetIncarnation(), Gathered: l.GetGathered(),
		Statement: quota.Statement{Limited: l.GetLimited(), Rate: l.GetRate()},
		FromAge:   microseconds(l.GetFromAgeUs()), UntilAge: microseconds(l.GetUntilAgeUs()),
	}
}

// microseconds returns a duration, or a day for one that is as good as none.
func microseconds(us uint64) time.Duration {
	const day = 24 * time.Hour

	return time.Duration(min(us, uint64(day/time.Microsecond))) * time.Microsecond
}

func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }
