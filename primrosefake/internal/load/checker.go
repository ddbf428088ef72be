package load

import (
	"fmt"
	"strconv"
	"strings"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// finding is one way in which an answer is wrong.
type finding string

const (
	// crossed is an answer, or a part of one, that belongs to another request.
	crossed finding = "crossed"
	// mixedSnapshot is an answer that states no snapshot, or has hits of another
	// one than it states.
	mixedSnapshot finding = "mixed_snapshot"
	// falseCoverage is an answer whose coverage doesn't match its results.
	falseCoverage finding = "false_coverage"
)

// expectation is what the answer to a query must match.
type expectation struct {
	requestID string
	service   string
	query     string
	shards    uint32
}

// problem is a finding with its details.
type problem struct {
	finding finding
	detail  string
}

// check returns everything that is wrong with an answer.
func check(want expectation, resp *pb.SearchResponse) []problem {
	c := checker{want: want, resp: resp}

	if resp.GetRequestId() != want.requestID {
		c.add(crossed, "request id is %q", resp.GetRequestId())
	}

	if resp.GetSnapshot().GetIndexVersion() == 0 || resp.GetSnapshot().GetPartitionMapVersion() == 0 {
		c.add(mixedSnapshot, "no snapshot is stated")
	}

	included := c.checkCoverage()
	c.checkResults(included)

	return c.problems
}

type checker struct {
	want     expectation
	resp     *pb.SearchResponse
	problems []problem
}

func (c *checker) add(f finding, format string, args ...any) {
	c.problems = append(c.problems, problem{finding: f, detail: fmt.Sprintf(format, args...)})
}

// checkCoverage checks that the included and the missing shards together are
// all shards, each once, and returns which are included.
func (c *checker) checkCoverage() []bool {
	cov := c.resp.GetCoverage()
	included := make([]bool, c.want.shards)
	seen := make([]bool, c.want.shards)

	if cov.GetShards() != c.want.shards {
		c.add(falseCoverage, "%d shards are stated; the service has %d", cov.GetShards(), c.want.shards)
	}

	mark := func(shard uint32) bool {
		switch {
		case shard >= c.want.shards:
			c.add(falseCoverage, "shard %d doesn't exist", shard)

			return false
		case seen[shard]:
			c.add(falseCoverage, "shard %d is listed twice", shard)

			return false
		}

		seen[shard] = true

		return true
	}

	for _, shard := range cov.GetIncluded() {
		if mark(shard) {
			included[shard] = true
		}
	}

	for _, m := range cov.GetMissing() {
		mark(m.GetShard())

		if m.GetReason() == "" {
			c.add(falseCoverage, "shard %d is missing without a reason", m.GetShard())
		}
	}

	for shard, ok := range seen {
		if !ok {
			c.add(falseCoverage, "shard %d is neither included nor missing", shard)
		}
	}

	return included
}

// checkResults checks that there are hits for exactly the included shards.
func (c *checker) checkResults(included []bool) {
	hasHits := make([]bool, len(included))

	for _, r := range c.resp.GetResults() {
		shard := r.GetShard()

		switch {
		case int(shard) >= len(included) || !included[shard]:
			c.add(falseCoverage, "there is a result for shard %d, which isn't included", shard)
		case hasHits[shard]:
			c.add(falseCoverage, "there are two results for shard %d", shard)
		case len(r.GetHits()) == 0:
			c.add(falseCoverage, "the result for shard %d has no hits", shard)
		default:
			hasHits[shard] = true
		}

		for _, h := range r.GetHits() {
			c.checkHit(shard, h)
		}
	}

	for shard, ok := range included {
		if ok && !hasHits[shard] {
			c.add(falseCoverage, "shard %d is included without hits", shard)
		}
	}
}

// checkHit checks one hit, whose id is
// "<service>/<shard>@<partition map version>.<index version>".
func (c *checker) checkHit(shard uint32, h *pb.Hit) {
	if h.GetBody() != c.want.query {
		c.add(crossed, "a hit of shard %d answers the query %q", shard, h.GetBody())
	}

	place, version, _ := strings.Cut(h.GetId(), "@")
	service, number, _ := strings.Cut(place, "/")

	if service != c.want.service {
		c.add(crossed, "hit %q is from another service", h.GetId())
	}

	if number != strconv.FormatUint(uint64(shard), 10) {
		c.add(falseCoverage, "hit %q is listed under shard %d", h.GetId(), shard)
	}

	snap := c.resp.GetSnapshot()
	if version != fmt.Sprintf("%d.%d", snap.GetPartitionMapVersion(), snap.GetIndexVersion()) {
		c.add(mixedSnapshot, "hit %q is not of the stated snapshot %d.%d", h.GetId(),
			snap.GetPartitionMapVersion(), snap.GetIndexVersion())
	}
}
