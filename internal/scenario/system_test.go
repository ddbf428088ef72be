package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// topology is the part of a generated topology that scripts use.
type topology struct {
	Platform        string `json:"platform"`
	Balancer        string `json:"balancer"`
	FaultProxy      string `json:"fault_proxy"`
	SearcherControl string `json:"searcher_control"`
	Instances       []struct {
		ID       string `json:"id"`
		Caller   string `json:"caller"`
		Operator string `json:"operator"`
		Health   string `json:"health"`
		Debug    string `json:"debug"`
	} `json:"instances"`
}

// system starts every process of a generated run except the balancer, creates
// its configuration, and waits until all instances are ready. It sets PLATFORM,
// SEARCHERS, FAULTPROXY and, for instance number N, CALLER_N, OPERATOR_N,
// HEALTH_N and DEBUG_N, and PRIMROSECTL_SERVER to all operator addresses.
func system(ts *testscript.TestScript, _ bool, args []string) {
	dir := args[0]

	ts.Check(ts.Exec("primrosefake", "workload", "generate", "--workload", args[1], dir))

	var t topology

	ts.Check(json.Unmarshal([]byte(ts.ReadFile(filepath.Join(dir, "topology.json"))), &t))
	ts.Setenv("PLATFORM", t.Platform)
	ts.Setenv("SEARCHERS", t.SearcherControl)
	ts.Setenv("FAULTPROXY", t.FaultProxy)

	start(ts, false, []string{"platform", "primrosefake", "platform", "--address", t.Platform})
	start(ts, false, []string{"searchers", "primrosefake", "searchers", filepath.Join(dir, "searchers.json")})

	if strings.Contains(ts.ReadFile(filepath.Join(dir, "links.json")), `"listen"`) {
		start(ts, false, []string{"faultproxy", "primrosefake", "faultproxy", filepath.Join(dir, "links.json")})
	}

	ready(ts, false, []string{"http://" + t.Platform + "/fake/meter", "http://" + t.SearcherControl + "/fake/stats"})

	operators := make([]string, 0, len(t.Instances))

	for i, in := range t.Instances {
		n := fmt.Sprintf("_%d", i)
		ts.Setenv("CALLER"+n, in.Caller)
		ts.Setenv("OPERATOR"+n, in.Operator)
		ts.Setenv("HEALTH"+n, in.Health)
		ts.Setenv("DEBUG"+n, in.Debug)

		operators = append(operators, in.Operator)
		startInstance(ts, dir, in.ID)
	}

	ts.Setenv("PRIMROSECTL_SERVER", strings.Join(operators, ","))

	for _, in := range t.Instances {
		ready(ts, false, []string{"http://" + in.Health + "/livez"})
	}

	ts.Check(ts.Exec("primrosefake", "workload", "apply", dir))

	for _, in := range t.Instances {
		ready(ts, false, []string{"http://" + in.Health + "/readyz"})
	}
}

// instance starts one instance of a generated run again.
func instance(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args[1:] {
		startInstance(ts, args[0], id)
	}
}

func startInstance(ts *testscript.TestScript, dir, id string) {
	start(ts, false, []string{id, "primrosed", "run", filepath.Join(dir, id+".json")})
}

// join waits until a process that ends by itself has ended, and fails if its
// exit code isn't 0.
func join(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		err := <-of(ts).get(ts, name).done
		of(ts).remove(name)

		data, rerr := os.ReadFile(ts.MkAbs(name + ".log"))
		ts.Check(rerr)
		_, _ = ts.Stdout().Write(data)

		if (err != nil) != neg {
			ts.Fatalf("%s: %v\n%s", name, err, data)
		}
	}
}
