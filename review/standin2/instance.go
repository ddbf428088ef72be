package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports are the same on all machines. Those of the metrics and of other instances are the
// ones of the deploy file and of the settings' internalPorts.
const (
	portFront   = 8104
	portControl = 8106
	portReady   = 8108
	portPeer    = 7380
	portMetrics = 7390
)

// instance is one process of the project, started with the command of the deploy file.
type instance struct {
	name, ip, zone string
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
	stopping       bool
	startedAt      time.Time
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, portFront) }

// deployment is the system under test with its stand-ins.
type deployment struct {
	root, dir string
	network   string // The first three parts of the loopback addresses.
	rec       *record
	store     *store
	ledger    *ledger
	instances []*instance
	// extra are further lines of the settings, and bounds replace those of newSettings.
	extra  []string
	bounds map[string]string
}

// newDeployment picks loopback addresses whose ports are free and starts the store.
func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	d := &deployment{root: root, dir: dir, rec: rec, ledger: &ledger{}, bounds: map[string]string{}}

	for try := range 200 {
		n := (os.Getpid()*7 + try*131) % 60000
		d.network = fmt.Sprintf("127.%d.%d", 20+n/256%200, n%256)

		if d.free() {
			d.store, err = startStore(rec, d.network+".250:8102")

			return d, err
		}
	}

	return nil, errors.New("no free loopback addresses")
}

func (d *deployment) free() bool {
	for i := 1; i <= 12; i++ {
		for _, port := range []int{portFront, portControl, portReady, portPeer, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, i, port))
			if err != nil {
				return false
			}

			_ = l.Close()
		}
	}

	return true
}

// settingsOf returns the settings file of an instance of a small deployment.
func (d *deployment) settingsOf(i *instance) string {
	bounds := map[string]string{
		"seedLagS": "3", "addrReuseS": "2", "stableWindowMs": "4000", "ackMs": "5000", "catchUpS": "4", "drainMs": "3000",
		"graceS": "6", "lossSlackMs": "200", "configApplyMs": "3000", "rollbackSlackMs": "250", "skewMaxMs": "12000",
		"retryBudgetRatio": "0.2", "budgetWindowS": "10", "retrySlack": "58", "recoveryS": "12",
	}
	for k, v := range d.bounds {
		bounds[k] = v
	}

	seeds := make([]string, 0, 3)
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.network, n, portControl))
	}

	lines := []string{
		"nodeName=" + i.name, "role=entry", "machineClass=frontend", "serves=frontend,control_plane", "ip=" + i.ip,
		"zone=" + i.zone, "region=gt-centro", "zones.gt-centro-a=gt-centro", "zones.gt-centro-b=gt-centro", "zones.gt-centro-c=gt-centro",
		fmt.Sprintf("listenAddrs.front=%s:%d", i.ip, portFront), fmt.Sprintf("listenAddrs.ready=%s:%d", i.ip, portReady),
		fmt.Sprintf("listenAddrs.control=%s:%d", i.ip, portControl), "internalPorts=7380,7395", "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "faultCounted=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"invariants=base,drain,config,cost,retry,recover,scatter,platform", "faultTolerance.machines=2", "faultTolerance.zones=0",
		"faultTolerance.regions=0",
	}
	for k, v := range bounds {
		lines = append(lines, "bounds."+k+"="+v)
	}

	lines = append(lines, "platform.address="+d.store.address, "platform.form=objects", "platform.writesPerS=400",
		"platform.readsPerS=2000", "platform.historyS=20", "platform.maxValueBytes=1048576", "platform.ttlMinMs=1000")

	return strings.Join(append(lines, d.extra...), "\n") + "\n"
}

// addInstance starts the next instance; zones follow in turn.
func (d *deployment) addInstance() (*instance, error) {
	n := len(d.instances) + 1
	zone := "gt-centro-" + string(rune('a'+(n-1)%3))
	i := &instance{name: fmt.Sprintf("frontend-%s-%d", zone, (n+2)/3), ip: fmt.Sprintf("%s.%d", d.network, n), zone: zone}
	i.settings = filepath.Join(d.dir, i.name+".conf")

	if err := os.WriteFile(i.settings, []byte(d.settingsOf(i)), 0o600); err != nil {
		return nil, err
	}

	if err := d.start(i); err != nil {
		return nil, err
	}

	d.instances = append(d.instances, i)

	return i, nil
}

// start starts the process of an instance. Its log goes to a file in the temporary folder, or in
// the folder that REVIEW_LOGS names.
func (d *deployment) start(i *instance) error {
	logs := d.dir
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		logs = dir
	}

	out, err := os.OpenFile(filepath.Join(logs, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	// The command of the deploy file, from the root of the repository.
	i.cmd = exec.Command("target/primrosed", "hosted", "--metrics-port", "7390")
	i.cmd.Dir = d.root
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSESPRING_NODE_FILE=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = out, out
	i.done = make(chan struct{})
	i.startedAt = time.Now()

	if err := i.cmd.Start(); err != nil {
		return err
	}

	d.rec.printf("instance %s started", i.name)

	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()

		d.rec.printf("instance %s ended: %v", i.name, err)
		close(done)
	}(i.cmd, i.done)

	return nil
}

// ready reports whether an instance answers 200 to the balancer.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}

	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", i.ip, portReady))
	if err != nil {
		return false
	}

	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		missing := ""

		for _, i := range d.instances {
			if !i.ready() {
				missing = i.name
			}
		}

		switch {
		case missing == "":
			d.rec.printf("all %d instances are ready", len(d.instances))

			return nil
		case time.Now().After(until):
			return errors.New(missing + " isn't ready in time")
		}
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, i := range d.instances {
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()

	for _, i := range d.instances {
		select {
		case <-i.done:
		case <-ctx.Done():
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}

	_ = os.RemoveAll(d.dir)
}
