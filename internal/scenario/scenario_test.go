// Package scenario runs scripted scenarios over real processes: entry
// instances, the operators' command and the stand-ins, all on loopback ports
// that the kernel chose.
//
// Each scenario is a txtar file under testdata. Besides the commands of
// testscript there are:
//
//	ports NAME...             sets each variable to a free 127.0.0.1 address
//	expand FILE               replaces ${VARIABLES} in a file
//	start NAME PROGRAM ARG... starts a process in the background
//	stop NAME                 sends SIGTERM and waits for a clean end
//	kill NAME                 ends a process at once
//	pause NAME, resume NAME   stops and continues a process
//	system DIR WORKLOAD       generates a run and starts all of its processes
//	instance DIR ID...        starts instances of a generated run again
//	join NAME                 waits until a process has ended by itself
//	ready URL                 waits until URL answers 200
//	until PROGRAM ARG...      repeats a command until it succeeds
//	get URL, put URL FILE     HTTP requests; the body goes to standard output
//	post URL FILE             posts JSON
//	await-post URL FILE       repeats a post until it answers 200
//
// Waits are bounded and end as soon as their condition holds.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

const (
	waitLimit = 30 * time.Second
	waitStep  = 20 * time.Millisecond
	stopLimit = 20 * time.Second
)

// programs are built once and put on the scripts' PATH.
var programs = []string{"primrosed", "primrosectl", "primrosefake"}

func TestScenarios(t *testing.T) {
	bin := t.TempDir()
	build(t, bin)

	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(filepath.ListSeparator)+os.Getenv("PATH"))

			p := &processes{running: make(map[string]*process)}
			env.Values[processesKey{}] = p
			env.Defer(p.stopAll)

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports": ports, "expand": expand, "start": start, "stop": stop, "kill": kill,
			"pause": signalCommand(syscall.SIGSTOP), "resume": signalCommand(syscall.SIGCONT),
			"system": system, "instance": instance, "join": join,
			"ready": ready, "until": until, "get": get, "put": put, "post": post, "await-post": awaitPost,
		},
	})
}

func build(t *testing.T, bin string) {
	t.Helper()

	args := []string{"build", "-o", bin + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}

	for _, p := range programs {
		args = append(args, "primrosespring.example/"+p)
	}

	out, err := exec.Command("go", args...).CombinedOutput()
	require.NoError(t, err, string(out))
}

type processesKey struct{}

// processes are those that one script started.
type processes struct {
	mu      sync.Mutex // Guards running.
	running map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan error
}

// stopAll ends what the script left running.
func (p *processes) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range p.running {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.done
	}
}

func of(ts *testscript.TestScript) *processes { return ts.Value(processesKey{}).(*processes) }

func (p *processes) get(ts *testscript.TestScript, name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.running[name]
	if !ok {
		ts.Fatalf("no process %q is running", name)
	}

	return r
}

func (p *processes) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.running, name)
}

func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, l.Addr().String())

		// Ports stay taken until all are chosen, so that no two are the same.
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

	path, err := exec.LookPath(filepath.Join(strings.Split(ts.Getenv("PATH"), string(filepath.ListSeparator))[0], args[1]))
	ts.Check(err)

	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)

	cmd := exec.Command(path, args[2:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), log, log
	ts.Check(cmd.Start())

	r := &process{cmd: cmd, done: make(chan error, 1)}

	go func() {
		r.done <- cmd.Wait()

		close(r.done)
		_ = log.Close()
	}()

	p := of(ts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[args[0]] = r
}

func stop(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		r := of(ts).get(ts, name)
		ts.Check(r.cmd.Process.Signal(syscall.SIGTERM))

		select {
		case err := <-r.done:
			of(ts).remove(name)
			ts.Check(err)
		case <-time.After(stopLimit):
			ts.Fatalf("%s hasn't ended %s after SIGTERM", name, stopLimit)
		}
	}
}

func kill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		r := of(ts).get(ts, name)
		ts.Check(r.cmd.Process.Kill())
		<-r.done
		of(ts).remove(name)
	}
}

func signalCommand(s os.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(of(ts).get(ts, name).cmd.Process.Signal(s))
		}
	}
}

// wait calls f until it succeeds and fails the script after waitLimit.
func wait(ts *testscript.TestScript, what string, f func() error) {
	deadline := time.Now().Add(waitLimit)

	for {
		err := f()
		if err == nil {
			return
		}

		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}

		time.Sleep(waitStep)
	}
}

func ready(ts *testscript.TestScript, _ bool, args []string) {
	for _, url := range args {
		wait(ts, "waiting for "+url, func() error {
			_, err := request(http.MethodGet, url, nil)

			return err
		})
	}
}

func until(ts *testscript.TestScript, _ bool, args []string) {
	wait(ts, "waiting for "+strings.Join(args, " "), func() error {
		return ts.Exec(args[0], args[1:]...)
	})
}

func get(ts *testscript.TestScript, neg bool, args []string) {
	answer(ts, neg, http.MethodGet, args[0], nil)
}

func put(ts *testscript.TestScript, neg bool, args []string) {
	answer(ts, neg, http.MethodPut, args[0], []byte(ts.ReadFile(args[1])))
}

func post(ts *testscript.TestScript, neg bool, args []string) {
	answer(ts, neg, http.MethodPost, args[0], []byte(ts.ReadFile(args[1])))
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

// answer makes one request. Its body is the script's standard output; a status
// of 400 or more is a failure.
func answer(ts *testscript.TestScript, neg bool, method, url string, body []byte) {
	data, err := request(method, url, body)

	_, _ = ts.Stdout().Write(data)

	if (err != nil) != neg {
		ts.Fatalf("%s %s: error %v, body %s", method, url, err, data)
	}
}

var errStatus = errors.New("status")

func request(method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")

	client := http.Client{Timeout: waitLimit}

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
