// Command standin plays the cases of an independent review against the project's own
// programs: it starts them as separate processes on loopback addresses, and is their
// store, searchers and clients.
package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostName is the host of all routes.
const hostName = "search.example"

// The ports of an instance, as in the example of DEPLOY.md and in deploy/system.toml.
const (
	frontPort, readyPort, controlPort = "8104", "8108", "8106"
	peerPort, metricsPort             = "7380", "7390"
)

// graceTime is the bound graceS.
const graceTime = 6 * time.Second

// deployment holds the processes of the system, the store, and the folder for settings
// and logs.
type deployment struct {
	root, dir string
	store     *store
	instances []*instance
	record    *record
}

// instance is one machine of the system.
type instance struct {
	name, ip, zone string
	storeAddress   string
	seeds          []string
	d              *deployment
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newDeployment starts a store. root is the repository's root.
func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	st, err := startStore()
	if err != nil {
		return nil, err
	}

	return &deployment{root: root, dir: dir, store: st, record: rec}, nil
}

// freeAddress returns a loopback address on which all ports of an instance are free.
func freeAddress() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.Intn(200), rand.Intn(250), 1+rand.Intn(250))
		free := true

		for _, port := range []string{frontPort, readyPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false

				break
			}

			_ = l.Close()
		}

		if free {
			return ip, nil
		}
	}

	return "", fmt.Errorf("no loopback address with free ports")
}

// addInstances adds instances in different zones; storeAddress returns the address at
// which an instance reaches the store.
func (d *deployment) addInstances(n int, storeAddress func(i int) string) error {
	for i := range n {
		ip, err := freeAddress()
		if err != nil {
			return err
		}

		zone := string(rune('a' + i%3))
		d.instances = append(d.instances, &instance{
			name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: ip, zone: zone, storeAddress: storeAddress(i), d: d,
		})
	}

	for _, i := range d.instances {
		for _, s := range d.instances[:min(len(d.instances), 3)] {
			i.seeds = append(i.seeds, s.ip+":"+controlPort)
		}
	}

	return nil
}

func (i *instance) front() string { return i.ip + ":" + frontPort }

// settings returns the settings file of an instance, with the bounds of agreca-busqueda.
func (i *instance) settings() string {
	return fmt.Sprintf(`nodeName=%s
role=entry
machineClass=frontend
serves=frontend,control_plane
ip=%s
zone=%s
region=r
zones.a=r
zones.b=r
zones.c=r
listenAddrs.front=%s:%s
listenAddrs.ready=%s:%s
listenAddrs.control=%s:%s
internalPorts=7380,7395
seeds=%s
bootstrap=true
faultCounted=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
invariants=base,drain,config,cost,retry,recover,scatter,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stableWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=12000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=58
bounds.recoveryS=12
platform.address=%s
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.maxValueBytes=1048576
platform.ttlMinMs=1000
`, i.name, i.ip, i.zone, i.ip, frontPort, i.ip, readyPort, i.ip, controlPort, strings.Join(i.seeds, ","), i.storeAddress)
}

// start starts the process with the command of deploy/system.toml.
func (i *instance) start() error {
	file := filepath.Join(i.d.dir, i.name+".conf")
	if err := os.WriteFile(file, []byte(i.settings()), 0o600); err != nil {
		return err
	}

	log, err := os.OpenFile(filepath.Join(i.d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	cmd := exec.Command("target/primrosed", "hosted", "--metrics-port", metricsPort)
	cmd.Dir = i.d.root
	cmd.Path = filepath.Join(i.d.root, "target/primrosed")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "PRIMROSESPRING_NODE_FILE=" + file,
	}

	if err := cmd.Start(); err != nil {
		return err
	}

	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited

	go func() {
		_ = cmd.Wait()
		_ = log.Close()

		close(exited)
	}()

	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// alive reports whether the process runs.
func (i *instance) alive() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// ready reports whether the instance answers its readiness check with 200.
func (i *instance) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := c.Get("http://" + i.ip + ":" + readyPort + "/v1/readyz")
	if err != nil {
		return false
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// startAll starts all instances and waits until they are ready.
func (d *deployment) startAll() error {
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}

	end := time.Now().Add(15 * time.Second)

	for _, i := range d.instances {
		for !i.ready() {
			if time.Now().After(end) || !i.alive() {
				return fmt.Errorf("instance %s isn't ready", i.name)
			}

			time.Sleep(50 * time.Millisecond)
		}
	}

	return nil
}

// close ends all processes that were started, and removes the folder unless KEEP is set.
func (d *deployment) close() {
	var wg sync.WaitGroup

	for _, i := range d.instances {
		if i.cmd == nil {
			continue
		}

		wg.Go(func() {
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGTERM)

			select {
			case <-i.exited:
			case <-time.After(graceTime):
				i.signal(syscall.SIGKILL)
				<-i.exited
			}
		})
	}

	wg.Wait()

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}
