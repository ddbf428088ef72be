package scenario

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

type fleetKey struct{}

func fleetOf(ts *testscript.TestScript) *fleet {
	f, ok := ts.Value(fleetKey{}).(**fleet)
	if !ok || *f == nil {
		ts.Fatalf("no system is running")
	}

	return *f
}

// system starts every process of a generated run, creates its configuration,
// and waits until all instances are ready. It sets PLATFORM, SEARCHERS,
// FAULTPROXY, BALANCER, BACKENDS and, for instance number N, CALLER_N,
// OPERATOR_N, HEALTH_N and DEBUG_N, and PRIMROSECTL_SERVER to all operator
// addresses.
func system(ts *testscript.TestScript, _ bool, args []string) {
	f := newFleet(processesOf(ts), args[0])
	ts.Check(f.startAll(args[1]))

	*ts.Value(fleetKey{}).(**fleet) = f

	ts.Setenv("PLATFORM", f.Platform)
	ts.Setenv("SEARCHERS", f.SearcherControl)
	ts.Setenv("FAULTPROXY", f.FaultProxy)
	ts.Setenv("BALANCER", f.Balancer)
	ts.Setenv("BACKENDS", f.BalancerControl)
	ts.Setenv("PRIMROSECTL_SERVER", f.operatorAddresses())

	for i, in := range f.Instances {
		n := fmt.Sprintf("_%d", i)
		ts.Setenv("CALLER"+n, in.Caller)
		ts.Setenv("OPERATOR"+n, in.Operator)
		ts.Setenv("HEALTH"+n, in.Health)
		ts.Setenv("DEBUG"+n, in.Debug)
	}
}

// instance starts instances of the system again and waits until they are
// ready.
func instance(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		ts.Check(fleetOf(ts).startReady(id))
	}
}

// switchIndex has one searcher after another hold only one index version, so that
// queries in progress lose their snapshot.
func switchIndex(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)

	for _, sr := range f.Searchers {
		if sr.Service != args[0] {
			continue
		}

		body := fmt.Sprintf(`{"service": %q, "shard": %d, "snapshots": [{"index_version": %s, "partition_map_version": 1}]}`,
			sr.Service, sr.Shard, args[1])
		_, err := request("POST", "http://"+f.SearcherControl+"/fake/hold?id="+sr.ID, []byte(body))
		ts.Check(err)
	}
}

// awaitIndex waits until each instance gives a whole answer from an index version.
// The ids of the fake searchers' hits end with "@PARTITIONMAPVERSION.INDEXVERSION".
func awaitIndex(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	body := []byte(`{"service": "portal-inst", "query": "heater", "requestId": "index"}`)

	for _, in := range f.Instances {
		wait(ts, "waiting for index version "+args[0]+" at "+in.ID, func() error {
			data, err := request("POST", "http://"+in.Caller+"/primrosespring.v1.SearchService/Search", body)
			if err == nil && (!bytes.Contains(data, []byte(`@1.`+args[0]+`"`)) || bytes.Contains(data, []byte(`"missing"`))) {
				err = fmt.Errorf("the answer is %s", data)
			}

			return err
		})
	}
}

// restarts restarts every instance gracefully, one after another, several
// times.
func restarts(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)

	rounds, err := strconv.Atoi(args[0])
	ts.Check(err)

	for range rounds {
		for _, in := range f.Instances {
			ts.Check(f.restart(in.ID))
		}
	}
}

// load runs the load on the system, injects the faults that it requests, and fails if
// its exit code isn't 0.
func load(ts *testscript.TestScript, neg bool, args []string) {
	out, err := fleetOf(ts).load(args...)
	_, _ = ts.Stdout().Write(out)

	if (err != nil) != neg {
		ts.Fatalf("load: error %v\n%s", err, out)
	}
}

// race has operators change one version of a service concurrently; exactly one of
// them must succeed.
func race(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)

	rounds, err := strconv.Atoi(args[1])
	ts.Check(err)

	for round := range rounds {
		s, err := f.service(args[0], f.operatorAddresses())
		ts.Check(err)

		accepted, err := f.raceOnce(args[0], fmt.Sprint(s["version"]), round)
		ts.Check(err)

		if accepted != 1 {
			ts.Fatalf("%d of %d conflicting changes were accepted; must be 1", accepted, racers)
		}
	}
}

type pollersKey struct{}

// startPolling begins to poll the configuration version of each instance.
func startPolling(ts *testscript.TestScript, _ bool, _ []string) {
	pollers := ts.Value(pollersKey{}).(*[]func() error)

	for _, in := range fleetOf(ts).Instances {
		stop := pollVersions(in.Operator)
		processesOf(ts).addCleanup(func() { _ = stop() })

		*pollers = append(*pollers, stop)
	}
}

// checkVersions waits until each instance has the version of the argument, and fails
// if a version read since startPolling was lower than the previous one.
func checkVersions(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)

	for _, in := range fleetOf(ts).Instances {
		wait(ts, "waiting for version "+args[0]+" at "+in.ID, func() error {
			v, err := versionAt(in.Operator)
			if err == nil && v < want {
				err = fmt.Errorf("version %d is in force", v)
			}

			return err
		})
	}

	for _, stop := range *ts.Value(pollersKey{}).(*[]func() error) {
		ts.Check(stop())
	}
}

// awaitLog waits until the log of a process matches a pattern.
func awaitLog(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])

	wait(ts, "waiting for "+args[1]+" in the log of "+args[0], func() error {
		data, err := os.ReadFile(ts.MkAbs(args[0] + ".log"))
		if err == nil && !pattern.Match(data) {
			err = fmt.Errorf("no match in %d bytes", len(data))
		}

		return err
	})
}

// awaitGet repeats a GET until its body matches a pattern or, after "!", doesn't.
func awaitGet(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(args[1])

	wait(ts, "waiting for "+strings.Join(args, " "), func() error {
		data, err := request("GET", args[0], nil)
		if err == nil && pattern.Match(data) == neg {
			err = fmt.Errorf("the body is %s", data)
		}

		return err
	})
}

// awaitFleetStatus repeats "primrosectl status" until its output matches a pattern.
func awaitFleetStatus(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])

	wait(ts, "waiting for the status "+args[0], func() error {
		out, err := fleetOf(ts).runProgram("primrosectl", "--server", ts.Getenv("PRIMROSECTL_SERVER"), "status")
		if err == nil && !pattern.Match(out) {
			err = fmt.Errorf("the status is\n%s", out)
		}

		return err
	})
}

// awaitPartial repeats a post until the answer lacks a shard that has no live
// searcher.
func awaitPartial(ts *testscript.TestScript, _ bool, args []string) {
	body := []byte(ts.ReadFile(args[1]))

	wait(ts, "waiting for a partial answer of "+args[0], func() error {
		data, err := request("POST", args[0], body)
		if err == nil && !strings.Contains(string(data), "no_live_searcher") {
			err = fmt.Errorf("the answer is %s", data)
		}

		return err
	})
}

// join waits until a process exits by itself, and fails if its exit code isn't 0.
func join(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		data, err := processesOf(ts).join(name)
		_, _ = ts.Stdout().Write(data)

		if (err != nil) != neg {
			ts.Fatalf("%s: %v\n%s", name, err, data)
		}
	}
}
