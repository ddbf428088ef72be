package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
)

// topology is the part of a generated topology that scenarios use.
type topology struct {
	Platform        string `json:"platform"`
	Balancer        string `json:"balancer"`
	BalancerListen  string `json:"balancer_listen"`
	BalancerControl string `json:"balancer_control"`
	FaultProxy      string `json:"fault_proxy"`
	SearcherControl string `json:"searcher_control"`
	Instances       []struct {
		ID       string `json:"id"`
		Caller   string `json:"caller"`
		Operator string `json:"operator"`
		Health   string `json:"health"`
		Debug    string `json:"debug"`
	} `json:"instances"`
	Searchers []struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Shard   int    `json:"shard"`
	} `json:"searchers"`
}

// fleet is a generated run with its processes.
type fleet struct {
	*processes
	topology

	// run is the directory of the generated files, relative to that of the
	// processes.
	run string
}

func newFleet(p *processes, run string) *fleet { return &fleet{processes: p, run: run} }

// program runs a program to its end and returns its standard output.
func (f *fleet) program(name string, args ...string) ([]byte, error) {
	var stderr bytes.Buffer

	cmd := exec.Command(filepath.Join(f.bin, name), args...)
	cmd.Dir, cmd.Stderr = f.dir, &stderr

	out, err := cmd.Output()
	if err != nil {
		err = fmt.Errorf("%s %s: %w: %s", name, strings.Join(args, " "), err, stderr.Bytes())
	}

	return out, err
}

const (
	// startTries bounds the starts of one run. Another test's processes may
	// take a port between its choice and its use.
	startTries = 3
	// portsPerRun is more than the ports of the small workload.
	portsPerRun    = 100
	lowestPort     = 10_000
	highestPort    = 32_000
	portRangeCount = (highestPort - lowestPort) / portsPerRun
)

// nextPorts is the number of the next range of ports. It begins at random, so
// that tests of other processes have others.
var nextPorts atomic.Uint32

func init() { nextPorts.Store(rand.Uint32N(portRangeCount)) }

func firstPort() string {
	return strconv.Itoa(lowestPort + int(nextPorts.Add(1)%portRangeCount)*portsPerRun)
}

// startAll generates the run, starts every process and returns once the
// configuration is in force and all instances are ready.
func (f *fleet) startAll(workload string) error {
	for try := 1; ; try++ {
		err := f.startOnce(workload)
		if err == nil || !errors.Is(err, errEnded) || try == startTries {
			return err
		}

		f.stopAll()
	}
}

func (f *fleet) startOnce(workload string) error {
	_, err := f.program("primrosefake", "workload", "generate", "--workload", workload, "--first-port", firstPort(), f.run)
	if err != nil {
		return err
	}

	if err := f.open(); err != nil {
		return err
	}

	if err := f.startStandIns(); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if err := f.startInstance(in.ID); err != nil {
			return err
		}
	}

	for _, in := range f.Instances {
		if err := f.awaitStatus("http://" + in.Health + "/livez"); err != nil {
			return err
		}
	}

	if _, err := f.program("primrosefake", "workload", "apply", f.run); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if err := f.awaitStatus("http://" + in.Health + "/readyz"); err != nil {
			return err
		}
	}

	return f.startBalancer()
}

func (f *fleet) startBalancer() error {
	err := f.start("balancer", "primrosefake", "balancer", "--address", f.BalancerListen,
		"--control-address", f.BalancerControl, "--backends", f.file("backends.json"))
	if err != nil {
		return err
	}

	return f.awaitStatus("http://" + f.BalancerControl + "/fake/backends")
}

// awaitStatus waits until url answers 200, or until a process of the fleet has
// ended.
func (f *fleet) awaitStatus(url string) error {
	return await("waiting for "+url, func() error {
		if _, err := request(http.MethodGet, url, nil); err != nil {
			return errors.Join(err, f.ended())
		}

		return nil
	})
}

// open reads the topology of a generated run.
func (f *fleet) open() error {
	data, err := os.ReadFile(f.path(f.file("topology.json")))
	if err != nil {
		return err
	}

	return json.Unmarshal(data, &f.topology)
}

func (f *fleet) file(name string) string { return filepath.Join(f.run, name) }

func (f *fleet) startStandIns() error {
	links, err := os.ReadFile(f.path(f.file("links.json")))
	if err != nil {
		return err
	}

	err = errors.Join(
		f.start("platform", "primrosefake", "platform", "--address", f.Platform),
		f.start("searchers", "primrosefake", "searchers", f.file("searchers.json")))

	if bytes.Contains(links, []byte(`"listen"`)) {
		err = errors.Join(err, f.start("faultproxy", "primrosefake", "faultproxy", f.file("links.json")),
			f.awaitStatus("http://"+f.FaultProxy+"/fake/links"))
	}

	err = errors.Join(err, f.awaitStatus("http://"+f.Platform+"/fake/meter"), f.awaitStatus("http://"+f.SearcherControl+"/fake/stats"))
	if err != nil {
		return err
	}

	_, err = f.program("primrosefake", "workload", "register", f.run)

	return err
}

func (f *fleet) startInstance(id string) error {
	return f.start(id, "primrosed", "run", f.file(id+".json"))
}

// restart stops an instance gracefully, starts it again, and returns once it
// is ready.
func (f *fleet) restart(id string) error {
	if err := f.stop(id); err != nil {
		return err
	}

	return f.startReady(id)
}

func (f *fleet) startReady(id string) error {
	if err := f.startInstance(id); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if in.ID == id {
			return awaitStatus("http://" + in.Health + "/readyz")
		}
	}

	return fmt.Errorf("no instance %q", id)
}

func (f *fleet) operators() string {
	var out []string
	for _, in := range f.Instances {
		out = append(out, in.Operator)
	}

	return strings.Join(out, ",")
}

func awaitStatus(url string) error {
	return await("waiting for "+url, func() error {
		_, err := request(http.MethodGet, url, nil)

		return err
	})
}

// announcement is a line of the load command's log.
type announcement map[string]string

func parseAnnouncement(line string) announcement {
	a := announcement{}

	for _, word := range strings.Fields(line) {
		if k, v, ok := strings.Cut(word, "="); ok {
			a[k] = v
		}
	}

	return a
}

// actions brings about the faults that the load command announces. Those of
// one kind are done one after another, and the kinds at the same time.
type actions struct {
	fleet *fleet

	wg   sync.WaitGroup
	last map[string]chan struct{}

	mu  sync.Mutex // Guards err.
	err error
}

// line acts on one line of the log.
func (a *actions) line(line string) {
	w := parseAnnouncement(line)

	switch w["event"] {
	case "restart_wanted", "fault_wanted", "fault_end_wanted":
	case "fault_failed":
		a.fail(errors.New(line))

		return
	default:
		return
	}

	if a.last == nil {
		a.last = make(map[string]chan struct{})
	}

	before, done := a.last[w["kind"]], make(chan struct{})
	a.last[w["kind"]] = done

	a.wg.Go(func() {
		defer close(done)

		if before != nil {
			<-before
		}

		if err := a.fleet.act(w["event"] != "fault_end_wanted", w); err != nil {
			a.fail(fmt.Errorf("%s: %w", strings.TrimSpace(line), err))
		}
	})
}

func (a *actions) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.err = errors.Join(a.err, err)
}

// wait returns once every action is done.
func (a *actions) wait() error {
	a.wg.Wait()

	return a.err
}

// act begins or ends one announced fault.
func (f *fleet) act(begin bool, w announcement) error {
	switch kind := w["kind"]; {
	case kind == "rolling_restart" && begin:
		for _, in := range f.Instances {
			if err := f.restart(in.ID); err != nil {
				return err
			}
		}
	case kind == "instance_restarted" && begin:
		return f.restart(w["instance"])
	case kind == "instance_killed" && begin:
		return f.kill(w["instance"])
	case kind == "instance_killed":
		return f.startReady(w["instance"])
	case kind == "instance_paused" && begin:
		return f.signal(w["instance"], syscall.SIGSTOP)
	case kind == "instance_paused":
		return f.signal(w["instance"], syscall.SIGCONT)
	case kind == "partition_map_switch" && begin:
		return f.repartition(w["service"])
	case kind == "operators_racing" && begin:
		return f.race(w["service"])
	}

	return nil
}

// load runs the load command on the run, acts on what it announces, and
// returns its output.
func (f *fleet) load(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(f.bin, "primrosefake"), append([]string{"load", f.run, "--system", "product"}, args...)...)
	a := &actions{fleet: f}
	out := &lineWriter{each: a.line}
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.dir, out, out

	err := cmd.Run()

	return out.text.Bytes(), errors.Join(err, a.wait())
}

// lineWriter keeps what is written and calls each for every whole line.
type lineWriter struct {
	text bytes.Buffer
	rest []byte
	each func(string)
}

func (w *lineWriter) Write(data []byte) (int, error) {
	w.text.Write(data)
	w.rest = append(w.rest, data...)

	for {
		line, rest, ok := bytes.Cut(w.rest, []byte("\n"))
		if !ok {
			return len(data), nil
		}

		w.each(string(line))
		w.rest = rest
	}
}

// service is a service as primrosectl writes and reads it.
type service map[string]any

func (f *fleet) service(name, operators string) (service, error) {
	out, err := f.program("primrosectl", "--server", operators, "service", "get", name, "-o", "json")
	if err != nil {
		return nil, err
	}

	var s service

	return s, json.Unmarshal(out, &s)
}

func (s service) partitionMap() map[string]any { return s["partition_map"].(map[string]any) }

// rotated returns the service with a second partition map, in which each shard
// is with the searchers of the shard before it.
func (s service) rotated() ([]byte, error) {
	m := s.partitionMap()
	shards := m["shards"].([]any)
	searchers := make([]any, len(shards))

	for i, sh := range shards {
		searchers[(i+1)%len(shards)] = sh.(map[string]any)["searchers"]
	}

	for i, sh := range shards {
		sh.(map[string]any)["searchers"] = searchers[i]
	}

	m["version"] = secondMap

	return json.Marshal(s)
}

// secondMap is the version of the second partition map, as protojson writes it.
const secondMap = "2"

// repartition changes the partition map while the searchers hold both, and has
// them drop the shards of the first one once the second is in force at every
// instance.
func (f *fleet) repartition(name string) error {
	err := await("changing the partition map", func() error {
		s, err := f.service(name, f.operators())
		if err != nil || s.partitionMap()["version"] == secondMap {
			return err
		}

		data, err := s.rotated()
		if err != nil {
			return err
		}

		if err := os.WriteFile(f.path("repartition.json"), data, 0o600); err != nil {
			return err
		}

		_, err = f.program("primrosectl", "--server", f.operators(), "service", "update", "--file", "repartition.json")

		return err
	})
	if err != nil {
		return err
	}

	for _, in := range f.Instances {
		err := await("waiting for the partition map at "+in.ID, func() error {
			s, err := f.service(name, in.Operator)
			if err == nil && s.partitionMap()["version"] != secondMap {
				err = fmt.Errorf("version %v is in force", s.partitionMap()["version"])
			}

			return err
		})
		if err != nil {
			return err
		}
	}

	for _, sr := range f.Searchers {
		if sr.Service != name {
			continue
		}

		body := fmt.Sprintf(`{"service": %q, "shard": %d, "snapshots": []}`, name, sr.Shard)
		if _, err := request(http.MethodPost, "http://"+f.SearcherControl+"/fake/hold?id="+sr.ID, []byte(body)); err != nil {
			return err
		}
	}

	return nil
}

const (
	raceRounds = 4
	racers     = 3
	// raceTimeoutMS is the least timeout that the racers set.
	raceTimeoutMS = 1000
)

// race has operators at different instances change the same version of a
// service at once, and fails if more than one of them is told that its change
// was accepted. A round without an accepted change is no error, since another
// fault may keep the store from taking it.
func (f *fleet) race(name string) error {
	for round := range raceRounds {
		s, err := f.service(name, f.operators())
		if err != nil {
			return err
		}

		accepted, err := f.raceOnce(name, fmt.Sprint(s["version"]), round)
		if err != nil {
			return err
		}

		if accepted > 1 {
			return fmt.Errorf("%d of %d conflicting changes to version %v were accepted", accepted, racers, s["version"])
		}
	}

	return nil
}

// raceOnce returns how many of the conflicting changes were accepted.
func (f *fleet) raceOnce(name, version string, round int) (int, error) {
	errs := make([]error, racers)

	var wg sync.WaitGroup

	for i := range racers {
		wg.Go(func() {
			_, errs[i] = f.program("primrosectl", "--server", f.Instances[i%len(f.Instances)].Operator, "rules", "set", name,
				"--timeout-ms", strconv.Itoa(raceTimeoutMS+round*racers+i+1), "--version", version)
		})
	}

	wg.Wait()

	accepted := 0

	for _, err := range errs {
		var exit *exec.ExitError

		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &exit):
			return 0, err
		}
	}

	return accepted, nil
}
