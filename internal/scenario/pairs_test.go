package scenario

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	pairsFlag = flag.String("pairs", "few", "fault pairs to run: few, all, or names as in the subtests, comma-separated")
	seedFlag  = flag.Uint64("seed", 1, "seed of the fault pairs' times and of their loads")
	tableFlag = flag.String("table", "", "file for the table of the fault pairs' results")
)

// fewPairs is the number of pairs that run by default: about 15 s on an otherwise
// idle machine with 10 cores.
const fewPairs = 5

// pairService is the service of the small workload.
const pairService = "portal-inst"

// fault is a value of the load command's --fault flag. The first fault of a pair
// affects shard 0 or instance 0 and the second shard 1 or instance 1, so that two
// faults of the same kind of target don't replace each other.
type fault map[string]any

// pairFaults are the faults that pairs are made of.
var pairFaults = []fault{
	{"kind": "straggling_searcher", "slow_factor": 40},
	{"kind": "lost_searcher"},
	{"kind": "silent_searcher"},
	{"kind": "silent_connections"},
	{"kind": "shedding_searcher", "slow_factor": 10},
	{"kind": "corrupt_answers"},
	{"kind": "crossed_answers"},
	{"kind": "late_answers"},
	{"kind": "draining_searcher"},
	{"kind": "lost_shard"},
	{"kind": "index_switch", "index_version": 2},
	{"kind": "partition_map_switch"},
	{"kind": "instance_restarted"},
	{"kind": "instance_killed"},
	{"kind": "instance_paused"},
	{"kind": "instances_partitioned"},
	{"kind": "silent_peer_sessions"},
	{"kind": "store_outage"},
	{"kind": "store_hang"},
	{"kind": "store_slow"},
	{"kind": "store_answers_lost"},
	{"kind": "store_stale"},
	{"kind": "operators_racing"},
}

// Limits of the faults' start times and durations. All faults have ended
// when the load ends after 4 s.
const (
	minStartMS    = 300
	maxStartMS    = 1300
	minDurationMS = 1000
	maxDurationMS = 2200
)

// scheduled returns the fault with random times, on shard and instance n.
func (f fault) scheduled(n int, r *rand.Rand) fault {
	out := fault{
		"at_ms": minStartMS + r.IntN(maxStartMS-minStartMS), "for_ms": minDurationMS + r.IntN(maxDurationMS-minDurationMS),
		"service": pairService, "shard": n, "instance": n,
	}
	for k, v := range f {
		out[k] = v
	}

	return out
}

func (f fault) kind() string { return f["kind"].(string) }

func (f fault) String() string {
	data, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}

	return string(data)
}

// pair is two faults and the seed of their times.
type pair struct {
	seed   uint64
	faults [2]fault
}

func (p pair) String() string {
	return fmt.Sprintf("seed=%d/%s+%s", p.seed, p.faults[0].kind(), p.faults[1].kind())
}

// allPairs returns every pair of two different faults, except two faults of the store,
// which has one at a time.
func allPairs(seed uint64) []pair {
	var out []pair

	for i, a := range pairFaults {
		for j, b := range pairFaults[:i] {
			if strings.HasPrefix(a.kind(), "store_") && strings.HasPrefix(b.kind(), "store_") {
				continue
			}

			r := rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			out = append(out, pair{seed: seed, faults: [2]fault{a.scheduled(0, r), b.scheduled(1, r)}})
		}
	}

	return out
}

// selectedPairs returns the pairs that the flags select.
func selectedPairs() []pair {
	all := allPairs(*seedFlag)

	switch *pairsFlag {
	case "all":
		return all
	case "few":
		r := rand.New(rand.NewPCG(*seedFlag, 0))
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

		return all[:fewPairs]
	}

	var out []pair

	for _, p := range all {
		for name := range strings.SplitSeq(*pairsFlag, ",") {
			if strings.HasSuffix(p.String(), "/"+name) {
				out = append(out, p)
			}
		}
	}

	return out
}

// Guards against failures that only two faults together cause: requests that run
// twice or are falsely refused as not run, answers that are crossed, of mixed
// snapshots or of false coverage, and a system that doesn't give whole answers again.
func TestFaultPairs(t *testing.T) {
	table := &resultTable{}
	t.Cleanup(func() { require.NoError(t, table.write(*tableFlag)) })

	pairs := selectedPairs()
	require.NotEmpty(t, pairs)

	for _, p := range pairs {
		t.Run(p.String(), func(t *testing.T) {
			t.Parallel()

			out, err := runPair(t, p)
			table.add(p, out, err)
			require.NoError(t, err, "faults %s and %s\n%s", p.faults[0], p.faults[1], out)
		})
	}
}

// runPair runs the load with both faults on a system of its own and returns
// the output of the load command.
func runPair(t *testing.T, p pair) ([]byte, error) {
	t.Helper()

	ps := newProcesses(binaries, t.TempDir())
	defer ps.stopAll()

	f := newFleet(ps, "run")
	if err := f.startAll("small"); err != nil {
		return nil, err
	}

	out, err := f.load("--seed", strconv.FormatUint(p.seed, 10), "--await-whole", "--fault", p.faults[0].String(), "--fault", p.faults[1].String())
	if err == nil {
		err = f.awaitWholeEverywhere()
	}

	if err != nil {
		f.logTails(t)
	}

	return out, err
}

// logTails writes the end of each instance's log to the test's log.
func (f *fleet) logTails(t *testing.T) {
	t.Helper()

	const tail = 4 << 10

	for _, in := range f.Instances {
		data, err := os.ReadFile(f.path(in.ID + ".log"))
		require.NoError(t, err)
		t.Logf("end of the log of %s:\n%s", in.ID, data[max(0, len(data)-tail):])
	}
}

// awaitWholeEverywhere waits until each instance is ready and gives a whole answer to
// a direct request.
func (f *fleet) awaitWholeEverywhere() error {
	body := []byte(fmt.Sprintf(`{"service": %q, "query": "whole", "requestId": "whole"}`, pairService))

	for _, in := range f.Instances {
		if err := awaitOK("http://" + in.Health + "/readyz"); err != nil {
			return err
		}

		err := await("waiting for a whole answer of "+in.ID, func() error {
			data, err := request(http.MethodPost, "http://"+in.Caller+"/primrosespring.v1.SearchService/Search", body)
			if err == nil && strings.Contains(string(data), `"missing"`) {
				err = errors.New("the answer is partial")
			}

			if err != nil {
				err = fmt.Errorf("%w: %s", err, data)
			}

			return err
		})
		if err != nil {
			return err
		}
	}

	return nil
}

// resultTable collects the results of the pairs as a Markdown table.
type resultTable struct {
	mu   sync.Mutex // Guards rows.
	rows []string
}

// phaseEnded matches the event at the end of the load.
var phaseEnded = regexp.MustCompile(`event=phase_ended .*queries=(\d+) whole=(\d+)`)

func (r *resultTable) add(p pair, out []byte, err error) {
	queries, whole := "-", "-"
	if m := phaseEnded.FindSubmatch(out); m != nil {
		queries, whole = string(m[1]), string(m[2])
	}

	outcome := "passed"
	if err != nil {
		outcome = "failed: " + strings.Join(strings.Fields(err.Error()), " ")
	}

	describe := func(f fault) string { return fmt.Sprintf("%s (%v, %v ms)", f.kind(), f["at_ms"], f["for_ms"]) }

	r.mu.Lock()
	defer r.mu.Unlock()

	r.rows = append(r.rows, fmt.Sprintf("| %d | %s | %s | %s | %s | %s |\n",
		p.seed, describe(p.faults[0]), describe(p.faults[1]), queries, whole, outcome))
}

func (r *resultTable) write(file string) error {
	if file == "" {
		return nil
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	header := "| seed | fault (begin, length) | fault (begin, length) | queries | whole | outcome |\n| --- | --- | --- | --- | --- | --- |\n"

	return os.WriteFile(file, []byte(header+strings.Join(r.rows, "")), 0o600)
}

// Guards against a fault that is in no pair, and against a seed that doesn't determine
// the pairs.
func TestAllPairs(t *testing.T) {
	first, second := allPairs(7), allPairs(7)
	require.Equal(t, first, second)

	seen := map[string]bool{}

	for _, p := range allPairs(1) {
		require.NotEqual(t, p.faults[0].kind(), p.faults[1].kind())

		for _, f := range p.faults {
			seen[f.kind()] = true
		}
	}

	require.Len(t, seen, len(pairFaults))
}
