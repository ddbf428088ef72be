package workload

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespring.example/internal/domain"
)

func encode(tb testing.TB, w *Workload) []byte {
	tb.Helper()

	data, err := json.Marshal(w)
	require.NoError(tb, err)

	return data
}

// Guards against a built-in workload that its own decoder refuses or changes.
func TestBuiltinWorkloadsDecode(t *testing.T) {
	for _, name := range Names() {
		w, _ := Builtin(name)
		got, err := Decode(encode(t, w))
		require.NoError(t, err, name)
		require.Equal(t, encode(t, w), encode(t, got), name)
	}
}

// Guards against a bad file that is accepted, or refused without the field and
// the reason.
func TestDecodeRefusesBadFiles(t *testing.T) {
	for _, c := range []struct {
		field, reason string
		mutate        func(*Workload)
	}{
		{"name", "must not be empty", func(w *Workload) { w.Name = "" }},
		{"duration_ms", "is 0; must be 1 to 600000", func(w *Workload) { w.DurationMS = 0 }},
		{"warm_up_ms", "is 30000; must be less than duration_ms (30000)", func(w *Workload) { w.WarmUpMS = w.DurationMS }},
		{"delays.jitter_us", "is 1000001; at most 1000000 is allowed", func(w *Workload) { w.Delays.JitterUS = MaxDelayUS + 1 }},
		{"failure_domains[1]", `"gt-centro-a" is listed twice`, func(w *Workload) { w.FailureDomains[1] = "gt-centro-a" }},
		{"instances", "has 0 entries; must have 1 to 440", func(w *Workload) { w.Instances = nil }},
		{"instances[2].failure_domain", `"x" is not one of failure_domains`, func(w *Workload) { w.Instances[2].FailureDomain = "x" }},
		{"instances[1].id", `"instance-0" is listed twice`, func(w *Workload) { w.Instances[1].ID = "instance-0" }},
		{"services[0].shards", "is 0; must be 1 to 1024", func(w *Workload) { w.Services[0].Shards = 0 }},
		{"services[1].name", `"portal-inst" is listed twice`, func(w *Workload) { w.Services[1].Name = "portal-inst" }},
		{"services[0]", "brings the searchers to 3000; at most 2600 are allowed", func(w *Workload) { w.Services[0].Shards, w.Services[0].SearchersPerShard = 1000, 3 }},
		{"services[0].straggler_factor", "is 0.5; must be 1 to 1000", func(w *Workload) { w.Services[0].StragglerFactor = 0.5 }},
		{"services[0].rules.timeout_ms", "is 0; must be 1 to 60000", func(w *Workload) { w.Services[0].Rules.TimeoutMS = 0 }},
		{
			"load.queries_per_second", "exactly one of queries_per_second and slots_permille must be set",
			func(w *Workload) { w.Load.QueriesPerSecond = 5 },
		},
		{"load.mix[0].service", `"x" is not one of services`, func(w *Workload) { w.Load.Mix[0].Service = "x" }},
		{"load.mix[0].weight", "is 0; must be above 0 and at most 1000", func(w *Workload) { w.Load.Mix[0].Weight = 0 }},
		{
			"load.mix[0].non_repeatable_permille", "the rules of portal-inst allow no non-repeatable requests",
			func(w *Workload) { w.Load.Mix[0].NonRepeatablePermille = 1 },
		},
		{
			"load.members", "the values of load_permille add up to 500; must be 1000",
			func(w *Workload) { w.Load.Members = w.Load.Members[:1] },
		},
		{"faults[0].at_ms", "is 30000; must be less than duration_ms (30000)", func(w *Workload) { w.Faults[0].AtMS = w.DurationMS }},
		{"faults[0].kind", `"x" is not a known fault`, func(w *Workload) { w.Faults[0].Kind = "x" }},
		{"faults[0].shard", "is 20; portal-inst has 20 shards", func(w *Workload) { w.Faults[0].Shard = 20 }},
		{"faults[1].searcher", "is 2; each shard of avisos-socios has 2 searchers", func(w *Workload) { w.Faults[1].Searcher = 2 }},
		{
			"faults[2].index_version", "is 1; must be at least 2, since 1 is held at the start",
			func(w *Workload) { w.Faults[2].IndexVersion = 1 },
		},
	} {
		t.Run(c.field, func(t *testing.T) {
			w := agreca()
			c.mutate(w)

			_, err := Decode(encode(t, w))
			requireInvalid(t, err, c.field, c.reason)
		})
	}
}

// Guards against errors of the JSON decoder that lose the field.
func TestDecodeRefusesBadJSON(t *testing.T) {
	for _, c := range []struct{ data, field, reason string }{
		{`{"title": "x"}`, "title", "is not a known field"},
		{`{"load": {"timeout_ms": "1s"}}`, "load.timeout_ms", "is a string; must be of type uint32"},
		{`{"seed": -1}`, "seed", "is a number -1; must be of type uint64"},
		{`{`, "", "is not valid JSON: unexpected EOF"},
		{string(encode(t, agreca())) + "{}", "", "holds more than one JSON value"},
	} {
		_, err := Decode([]byte(c.data))
		requireInvalid(t, err, c.field, c.reason)
	}
}

func requireInvalid(t *testing.T, err error, field, reason string) {
	t.Helper()

	var e *domain.Error

	require.ErrorAs(t, err, &e)
	require.Equal(t, domain.CodeInvalid, e.Code)
	require.Equal(t, domain.FateNotRun, e.Fate)
	require.Equal(t, field, e.Field)
	require.Equal(t, reason, e.Message)
}

// Guards against a file that makes the decoder panic, is refused without a
// typed error, or is accepted in a form that it refuses when written again.
func FuzzDecode(f *testing.F) {
	for _, name := range Names() {
		w, _ := Builtin(name)
		f.Add(encode(f, w))
	}

	f.Add([]byte(`{"name": 1}`))

	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := Decode(data)
		if err != nil {
			var e *domain.Error

			require.ErrorAs(t, err, &e)

			return
		}

		_, err = Decode(encode(t, w))
		require.NoError(t, err)
	})
}

// Guards against two processes that get the same port, and against files that
// the load command can't use.
func TestGenerate(t *testing.T) {
	dir := t.TempDir()
	_, err := Generate(agreca(), dir, 0)
	require.NoError(t, err)

	topology, w, err := OpenTopology(dir)
	require.NoError(t, err)
	require.Equal(t, agreca(), w)
	require.Len(t, topology.Searchers, 115)
	require.Len(t, topology.Service("garantias").Shards, 5)

	addresses := map[string]bool{}
	add := func(a string) {
		require.NoError(t, domain.CheckAddress("address", a))
		require.False(t, addresses[a], a)

		addresses[a] = true
	}

	add(topology.Platform)
	add(topology.Balancer)
	add(topology.FaultProxy)
	add(topology.SearcherControl)

	for _, i := range topology.Instances {
		for _, a := range []string{i.Caller, i.Operator, i.Health, i.Debug} {
			add(a)
		}
	}

	for _, s := range topology.Searchers {
		add(s.Address)
		add(s.Listen)
	}

	data, err := os.ReadFile(filepath.Join(dir, ConfigurationFile))
	require.NoError(t, err)

	var c Configuration

	require.NoError(t, json.Unmarshal(data, &c))
	require.Len(t, c.Services, 4)
}
