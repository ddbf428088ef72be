package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// printJSON writes m with the field names of the schema.
func (a *app) printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(m)
	if err != nil {
		return errors.Annotate(err, "encode output")
	}

	_, err = fmt.Fprintln(a.stdout, string(data))

	return err
}

// table writes rows in columns; the first row is the heading.
func (a *app) table(rows [][]string) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)

	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}

	return w.Flush()
}

func (a *app) printResult(o *pb.ChangeOptions, r *pb.ChangeResult) error {
	if a.output == "json" {
		return a.printJSON(r)
	}

	verb := "accepted"
	if r.GetDryRun() {
		verb = "would be accepted"
	}

	_, err := fmt.Fprintf(a.stdout, "%s: configuration version %d (change %s)\n",
		verb, r.GetConfigurationVersion(), o.GetChangeId())

	return err
}

func (a *app) printServices(services []*pb.Service) error {
	rows := [][]string{{"NAME", "VERSION", "MAP", "SHARDS", "SEARCHERS", "TIMEOUT", "REPEATABLE", "NON-REPEATABLE"}}

	for _, s := range services {
		searchers := 0
		for _, sh := range s.GetPartitionMap().GetShards() {
			searchers += len(sh.GetSearchers())
		}

		rows = append(rows, []string{
			s.GetName(), num(s.GetVersion()), num(s.GetPartitionMap().GetVersion()),
			num(len(s.GetPartitionMap().GetShards())), num(searchers), num(s.GetRules().GetTimeoutMs()) + "ms",
			yesNo(s.GetRules().GetRepeatable()), yesNo(s.GetRules().GetNonRepeatable()),
		})
	}

	return a.table(rows)
}

func (a *app) printService(s *pb.Service) error {
	if err := a.printServices([]*pb.Service{s}); err != nil {
		return err
	}

	rows := [][]string{{"\nSHARD", "SEARCHER", "ADDRESS", "FAILURE DOMAIN", "SLOTS", "CONNECTIONS", "DRAINING"}}

	for _, sh := range s.GetPartitionMap().GetShards() {
		for _, sr := range sh.GetSearchers() {
			rows = append(rows, []string{
				num(sh.GetNumber()), sr.GetId(), sr.GetAddress(), sr.GetFailureDomain(),
				num(sr.GetSlots()), num(sr.GetConnections()), yesNo(sr.GetDraining()),
			})
		}
	}

	return a.table(rows)
}

func (a *app) printRules(r *pb.Rules) error {
	return a.table([][]string{
		{"RULE", "VALUE"},
		{"timeout_ms", num(r.GetTimeoutMs())},
		{"max_attempts", num(r.GetMaxAttempts())},
		{"extra_load_permille", num(r.GetExtraLoadPermille())},
		{"hedging", yesNo(r.GetHedging())},
		{"min_coverage_permille", num(r.GetMinCoveragePermille())},
		{"partial_wait_ms", num(r.GetPartialWaitMs())},
		{"repeatable", yesNo(r.GetRepeatable())},
		{"non_repeatable", yesNo(r.GetNonRepeatable())},
	})
}

func (a *app) printMembers(members []*pb.Member) error {
	rows := [][]string{{"NAME", "WEIGHT"}}
	for _, m := range members {
		rows = append(rows, []string{m.GetName(), num(m.GetWeight())})
	}

	return a.table(rows)
}

func (a *app) printStatus(s *pb.AdminServiceGetStatusResponse) error {
	store := "available"
	if !s.GetStoreAvailable() {
		store = "unavailable"
	}

	if _, err := fmt.Fprintf(a.stdout, "answered by %s; store %s\n", s.GetAnsweredBy(), store); err != nil {
		return err
	}

	rows := [][]string{{"INSTANCE", "STATE", "CONFIGURATION", "FAILURE DOMAIN", "REGION", "PEER ADDRESS"}}
	for _, i := range s.GetInstances() {
		rows = append(rows, []string{
			i.GetId(), i.GetState(), num(i.GetConfigurationVersion()), i.GetFailureDomain(), i.GetRegion(), i.GetPeerAddress(),
		})
	}

	return a.table(rows)
}

func (a *app) printExplain(e *pb.ExplainResponse) error {
	relay := e.GetRelay()
	if relay == "" {
		relay = "none, runs at this instance"
	}

	_, err := fmt.Fprintf(a.stdout,
		"instance %s, configuration %d\nholders: %s\nrelay: %s\nsnapshot: index %d, partition map %d\nhedge after: %dus\n",
		e.GetInstance(), e.GetConfigurationVersion(), strings.Join(e.GetHolders(), " "), relay,
		e.GetIndexVersion(), e.GetPartitionMapVersion(), e.GetHedgeAfterUs())
	if err != nil {
		return err
	}

	rows := [][]string{{"SHARD", "SEARCHER", "CHOSEN", "EXPECTED", "OUTSTANDING", "QUEUED", "LIMIT", "EXCLUDED", "SIGNS"}}

	for _, sh := range e.GetShards() {
		for _, sr := range sh.GetSearchers() {
			rows = append(rows, []string{
				num(sh.GetShard()), sr.GetId(), yesNo(sr.GetId() == sh.GetChosen()), num(sr.GetExpectedUs()) + "us",
				num(sr.GetOutstanding()), num(sr.GetQueued()), num(sr.GetLimit()), sr.GetExcluded(),
				signs(sr),
			})
		}
	}

	return a.table(rows)
}

// signs describes what a searcher has said of itself.
func signs(sr *pb.ExplainSearcher) string {
	var list []string

	if sr.GetLimited() {
		source := sr.GetLimitSource()
		if source == "" {
			source = "its answer"
		}

		list = append(list, fmt.Sprintf("limit %.4g/s (%s, %dms ago)", sr.GetRateLimit(), source, sr.GetLimitAgeMs()))
	}

	if sr.GetPausedMs() > 0 {
		list = append(list, fmt.Sprintf("pause of %dms more", sr.GetPausedMs()))
	}

	return strings.Join(list, ", ")
}

func num[T ~int | ~uint32 | ~uint64](v T) string { return fmt.Sprint(v) }

func yesNo(v bool) string {
	if v {
		return "yes"
	}

	return "no"
}
