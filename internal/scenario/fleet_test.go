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
	"syscall"
	"time"
)

// topology holds the fields of a generated topology.json that scenarios use.
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

// fleet is a generated run and its processes.
type fleet struct {
	*processes
	topology

	// runDir is the directory of the generated files, relative to the processes' dir.
	runDir string
}

func newFleet(p *processes, runDir string) *fleet { return &fleet{processes: p, runDir: runDir} }

// runProgram runs a program to completion and returns its standard output.
func (f *fleet) runProgram(name string, args ...string) ([]byte, error) {
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
	// pollInterval is the interval between reads of an instance's version.
	pollInterval = 2 * time.Millisecond
	// maxStarts limits the attempts to start a run. Another process may take a port
	// between its choice and its use.
	maxStarts = 3
	// portsPerRun is more than the ports of the small workload.
	portsPerRun = 100
	// The ranges lie below Linux's default ephemeral ports, which begin at 32768.
	lowestPort  = 10_000
	highestPort = 32_000
	portRanges  = (highestPort - lowestPort) / portsPerRun
)

// reservePorts reserves a range of ports by locking its file, so that no other test on
// this machine uses it, also in other processes. It returns the first port and a
// function that releases the range.
func reservePorts() (string, func(), error) {
	first := rand.IntN(portRanges)

	for i := range portRanges {
		n := (first + i) % portRanges

		lock, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("primrosespring-ports-%d.lock", n)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return "", nil, err
		}

		if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return strconv.Itoa(lowestPort + n*portsPerRun), func() { _ = lock.Close() }, nil
		}

		_ = lock.Close()
	}

	return "", nil, errors.New("all port ranges are reserved")
}

// startAll generates the run, starts every process and returns once the
// configuration is in force and all instances are ready.
func (f *fleet) startAll(workload string) error {
	for attempt := 1; ; attempt++ {
		err := f.startOnce(workload)
		if err == nil || !errors.Is(err, errExited) || attempt == maxStarts {
			return err
		}

		f.stopAll()
	}
}

func (f *fleet) startOnce(workload string) error {
	port, release, err := reservePorts()
	if err != nil {
		return err
	}

	f.addCleanup(release)

	if _, err := f.runProgram("primrosefake", "workload", "generate", "--workload", workload, "--first-port", port, f.runDir); err != nil {
		return err
	}

	if err := f.readTopology(); err != nil {
		return err
	}

	if err := f.startFakes(); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if err := f.startInstance(in.ID); err != nil {
			return err
		}
	}

	for _, in := range f.Instances {
		if err := f.awaitOK("http://" + in.Health + "/livez"); err != nil {
			return err
		}
	}

	if _, err := f.runProgram("primrosefake", "workload", "apply", f.runDir); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if err := f.awaitOK("http://" + in.Health + "/readyz"); err != nil {
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

	return f.awaitOK("http://" + f.BalancerControl + "/fake/backends")
}

// awaitOK waits until url answers 200, or until a process of the fleet has
// exited.
func (f *fleet) awaitOK(url string) error {
	return await("waiting for "+url, func() error {
		if _, err := request(http.MethodGet, url, nil); err != nil {
			return errors.Join(err, f.checkRunning())
		}

		return nil
	})
}

// readTopology reads the topology of the generated run.
func (f *fleet) readTopology() error {
	data, err := os.ReadFile(f.path(f.file("topology.json")))
	if err != nil {
		return err
	}

	return json.Unmarshal(data, &f.topology)
}

// file returns the path of a generated file, relative to the processes' dir.
func (f *fleet) file(name string) string { return filepath.Join(f.runDir, name) }

func (f *fleet) startFakes() error {
	links, err := os.ReadFile(f.path(f.file("links.json")))
	if err != nil {
		return err
	}

	err = errors.Join(
		f.start("platform", "primrosefake", "platform", "--address", f.Platform),
		f.start("searchers", "primrosefake", "searchers", f.file("searchers.json")))

	if bytes.Contains(links, []byte(`"listen"`)) {
		err = errors.Join(err, f.start("faultproxy", "primrosefake", "faultproxy", f.file("links.json")),
			f.awaitOK("http://"+f.FaultProxy+"/fake/links"))
	}

	err = errors.Join(err, f.awaitOK("http://"+f.Platform+"/fake/meter"), f.awaitOK("http://"+f.SearcherControl+"/fake/stats"))
	if err != nil {
		return err
	}

	_, err = f.runProgram("primrosefake", "workload", "register", f.runDir)

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

// startReady starts an instance and waits until it is ready.
func (f *fleet) startReady(id string) error {
	if err := f.startInstance(id); err != nil {
		return err
	}

	for _, in := range f.Instances {
		if in.ID == id {
			return awaitOK("http://" + in.Health + "/readyz")
		}
	}

	return fmt.Errorf("no instance %q", id)
}

// operatorAddresses returns the operator addresses of all instances, comma-separated.
func (f *fleet) operatorAddresses() string {
	var out []string
	for _, in := range f.Instances {
		out = append(out, in.Operator)
	}

	return strings.Join(out, ",")
}

// awaitOK waits until url answers 200.
func awaitOK(url string) error {
	return await("waiting for "+url, func() error {
		_, err := request(http.MethodGet, url, nil)

		return err
	})
}

// pollVersions reads an instance's configuration version repeatedly until stop is
// called, which returns an error if a version was lower than the previous one, or if
// none was read.
func pollVersions(operator string) (stop func() error) {
	var (
		last      int
		decreases error
		stopping  = make(chan struct{})
		done      = make(chan struct{})
	)

	go func() {
		defer close(done)

		t := time.NewTicker(pollInterval)
		defer t.Stop()

		for {
			select {
			case <-stopping:
				return
			case <-t.C:
			}

			v, err := versionAt(operator)
			if err == nil && v < last {
				decreases = errors.Join(decreases, fmt.Errorf("%s: version %d after version %d", operator, v, last))
			}

			last = max(last, v)
		}
	}()

	return sync.OnceValue(func() error {
		close(stopping)
		<-done

		if last == 0 {
			return fmt.Errorf("%s: no version was read", operator)
		}

		return decreases
	})
}

func versionAt(operator string) (int, error) {
	data, err := request(http.MethodPost, "http://"+operator+"/primrosespring.v1.AdminService/GetConfiguration", []byte("{}"))
	if err != nil {
		return 0, err
	}

	var c struct {
		Version int `json:"version,string"`
	}

	return c.Version, json.Unmarshal(data, &c)
}
