// Package scenario runs scripted scenarios over real processes: instances, the
// operators' command and the fakes, all on loopback ports.
//
// Each scenario is a txtar file under testdata. Besides the commands of
// testscript there are:
//
//	ports NAME...             sets each variable to a free 127.0.0.1 address
//	expand FILE               replaces ${VARIABLES} in a file
//	start NAME PROGRAM ARG... starts a process in the background
//	shutdown NAME             sends SIGTERM and waits for an exit without an error
//	crash NAME                kills a process
//	pause NAME, resume NAME   sends SIGSTOP, SIGCONT to a process
//	system DIR WORKLOAD       generates a run and starts all of its processes
//	instance ID...            starts instances of the system again
//	switch-index SERVICE V    has one searcher after another hold only index version V
//	await-index V             waits until every instance gives a whole answer from
//	                          index version V
//	restarts ROUNDS           restarts every instance gracefully, one after another
//	load ARG...               runs the load and injects the faults that it requests
//	race SERVICE ROUNDS       has operators change one version concurrently; one must succeed
//	poll-versions             begins to read every instance's configuration version
//	check-versions V          waits for version V; fails if a version read was lower
//	                          than the previous one
//	join NAME                 waits until a process exits by itself
//	ready URL                 waits until URL answers 200
//	until PROGRAM ARG...      repeats a command until it succeeds
//	get URL, put URL FILE     HTTP requests; the body goes to standard output
//	post URL FILE             posts JSON
//	await-post URL FILE       repeats a post until it answers 200
//	fault-until-retried SHARD FAULT NAME URL FILE TEXT
//	                          injects FAULT into one searcher of a shard of
//	                          portal-inst after another while it posts, until the
//	                          log of instance NAME shows a retry; after an answer
//	                          with TEXT it waits for the log before it posts more;
//	                          each post must answer 200
//	await-get URL PATTERN     repeats a get until its body matches, or after "!" doesn't
//	await-status PATTERN      repeats "primrosectl status" until it matches
//	await-partial URL FILE    repeats a search until a shard has no live searcher
//	await-log NAME PATTERN    waits until the log of a process matches
//
// Waits have a timeout and end as soon as their condition holds.
package scenario

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	waitTimeout  = 30 * time.Second
	waitInterval = 20 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

// programs are built once and are on the scripts' PATH.
var programs = []string{"primrosed", "primrosectl", "primrosefake"}

// binaries is the directory of the programs.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()

	binaries = dir

	if out, err := build(dir); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)

		return 1
	}

	return m.Run()
}

// dirFlag selects other scenarios, such as those in testdata/long.
var dirFlag = flag.String("dir", "testdata", "directory of the scenarios")

func TestScenarios(t *testing.T) { runScenarios(t, *dirFlag) }

func runScenarios(t *testing.T, dir string) {
	t.Helper()

	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(filepath.ListSeparator)+os.Getenv("PATH"))

			p := newProcesses(binaries, env.WorkDir)
			env.Values[processesKey{}] = p
			env.Values[fleetKey{}] = new(*fleet)
			env.Values[pollersKey{}] = new([]func() error)
			env.Defer(p.stopAll)

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports": ports, "expand": expand, "start": start, "shutdown": shutdown, "crash": crash,
			"pause": signalCommand(syscall.SIGSTOP), "resume": signalCommand(syscall.SIGCONT),
			"system": system, "instance": instance, "restarts": restarts,
			"switch-index": switchIndex, "await-index": awaitIndex, "load": load, "join": join, "race": race, "poll-versions": startPolling, "check-versions": checkVersions,
			"ready": ready, "until": until, "get": get, "put": put, "post": post, "await-post": awaitPost, "fault-until-retried": faultUntilRetried,
			"await-get": awaitGet, "await-log": awaitLog,
			"await-status": awaitFleetStatus, "await-partial": awaitPartial,
		},
	})
}

func build(bin string) ([]byte, error) {
	args := []string{"build", "-o", bin + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}

	for _, p := range programs {
		args = append(args, "primrosespring.example/"+p)
	}

	return exec.Command("go", args...).CombinedOutput()
}

type processesKey struct{}

func processesOf(ts *testscript.TestScript) *processes { return ts.Value(processesKey{}).(*processes) }

func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, l.Addr().String())

		// Listeners stay open until all ports are chosen, so that no two are the same.
		defer func() { _ = l.Close() }()
	}
}

func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARG...")
	}

	ts.Check(processesOf(ts).start(args[0], args[1], args[2:]...))
}

func shutdown(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(processesOf(ts).stop(name))
	}
}

func crash(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(processesOf(ts).kill(name))
	}
}

func signalCommand(s os.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(processesOf(ts).signal(name, s))
		}
	}
}

// wait calls f until it succeeds and fails the script after waitTimeout.
func wait(ts *testscript.TestScript, what string, f func() error) { ts.Check(await(what, f)) }

func ready(ts *testscript.TestScript, _ bool, args []string) {
	for _, url := range args {
		ts.Check(awaitOK(url))
	}
}

func until(ts *testscript.TestScript, _ bool, args []string) {
	wait(ts, "waiting for "+strings.Join(args, " "), func() error {
		return ts.Exec(args[0], args[1:]...)
	})
}

func get(ts *testscript.TestScript, neg bool, args []string) {
	sendRequest(ts, neg, http.MethodGet, args[0], nil)
}

func put(ts *testscript.TestScript, neg bool, args []string) {
	sendRequest(ts, neg, http.MethodPut, args[0], []byte(ts.ReadFile(args[1])))
}

func post(ts *testscript.TestScript, neg bool, args []string) {
	sendRequest(ts, neg, http.MethodPost, args[0], []byte(ts.ReadFile(args[1])))
}

func awaitPost(ts *testscript.TestScript, _ bool, args []string) {
	body := []byte(ts.ReadFile(args[1]))

	wait(ts, "waiting for an answer of "+args[0], func() error {
		data, err := request(http.MethodPost, args[0], body)
		if err != nil {
			return fmt.Errorf("%w: %s", err, data)
		}

		_, err = ts.Stdout().Write(data)

		return err
	})
}

// faultUntilRetried forces a retry: an instance without load sends the first attempt
// to the searcher that it expects to be faster, so that a fault at one searcher after
// the other must affect a first attempt. Every answer goes to standard output.
func faultUntilRetried(ts *testscript.TestScript, _ bool, args []string) {
	const (
		posts = 5
		// logReads is how often the log is read after a retried request before more are
		// sent: log lines are written only a few times a second.
		logReads = 50
	)

	log, fault, body := ts.MkAbs(args[2]+".log"), ts.ReadFile(args[1]), []byte(ts.ReadFile(args[4]))
	pattern := regexp.MustCompile(fmt.Sprintf(`shard=%s searcher=\S+ reason=retry`, args[0]))

	before, err := os.ReadFile(log)
	ts.Check(err)

	setFault := func(searcher int, fault string) {
		_, err := request(http.MethodPut,
			fmt.Sprintf("http://%s/fake/faults?id=portal-inst-%s-%d", ts.Getenv("SEARCHERS"), args[0], searcher), []byte(fault))
		ts.Check(err)
	}

	searcher, readsLeft := 0, 0

	wait(ts, "waiting for a retry of shard "+args[0]+" in the log of "+args[2], func() error {
		if readsLeft--; readsLeft < 0 {
			setFault(searcher, fault)

			for range posts {
				if bytes.Contains(sendRequest(ts, false, http.MethodPost, args[3], body), []byte(args[5])) {
					readsLeft = logReads
				}
			}

			setFault(searcher, "{}")

			searcher = 1 - searcher
		}

		data, err := os.ReadFile(log)
		if err == nil && !pattern.Match(data[len(before):]) {
			err = fmt.Errorf("no match in %d new bytes", len(data)-len(before))
		}

		return err
	})
}

// sendRequest sends one request and writes the response body to the script's standard
// output. A status of 400 or more is a failure.
func sendRequest(ts *testscript.TestScript, neg bool, method, url string, body []byte) []byte {
	data, err := request(method, url, body)

	_, _ = ts.Stdout().Write(data)

	if (err != nil) != neg {
		ts.Fatalf("%s %s: error %v, body %s", method, url, err, data)
	}

	return data
}

var errStatus = errors.New("status")

func request(method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")

	client := http.Client{Timeout: waitTimeout}

	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}

	if resp.StatusCode >= http.StatusBadRequest {
		return data, fmt.Errorf("%w %s", errStatus, resp.Status)
	}

	return data, nil
}
