package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// errSetup is the error of a case that couldn't run.
var errSetup = errors.New("the case couldn't run")

const (
	metricsPort = 7390
	peerPort    = 7380
	heartbeat   = 1200 * time.Millisecond
)

// drill is one run of a case: a store, searchers, instances and what was seen of them.
type drill struct {
	program string // primrosed
	dir     string // Temporary folder.
	trouble bool
	net     string // The first three numbers of the loopback addresses.
	began   time.Time

	store     *store
	searchers map[string]*searcher
	instances []*instance

	mu     sync.Mutex
	record *bufio.Writer
	seen   []seen
	ended  bool
}

// seen is what a searcher did with a request.
type seen struct {
	what, searcher, request string
	at                      time.Time
}

// searcher is one process, and the entry that it has in the store.
type searcher struct {
	id, service, address, zone string
	slots                      int
	args                       []string
	born                       int64
	seq                        int
	state                      string
	listed                     bool
	written                    entry
	cmd                        *exec.Cmd
}

// entry is what of a searcher's entry may change, beside seq.
type entry struct {
	address, state string
	born           int64
}

// instance is one process of the project.
type instance struct {
	name, zone, front, ready string
	settings                 string
	cmd                      *exec.Cmd
	log                      string
	exited                   chan struct{}
}

func newDrill(program, record string) (*drill, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}

	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}

	d := &drill{
		program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(),
		searchers: make(map[string]*searcher), record: bufio.NewWriter(f),
	}

	// The ports of peers and metrics are fixed, so that the addresses must be free.
	for range 20 {
		d.net = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))

		l, err := net.Listen("tcp", d.net+"11:"+strconv.Itoa(metricsPort))
		if err != nil {
			continue
		}

		_ = l.Close()

		if d.store, err = newStore(d.net + "1:0"); err == nil {
			return d, nil
		}
	}

	return nil, errSetup
}

// say writes a line to the record.
func (d *drill) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.ended {
		fmt.Fprintf(d.record, "%9.3f ", time.Since(d.began).Seconds())
		fmt.Fprintf(d.record, format+"\n", args...)
	}
}

// freePort returns a port that is free at an address now.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()

	return l.Addr().(*net.TCPAddr).Port
}

// addSearcher starts a searcher and registers it.
func (d *drill) addSearcher(id, service, zone string, slots int, args ...string) error {
	ip := d.net + "2"
	s := &searcher{
		id: id, service: service, zone: zone, slots: slots, address: ip + ":" + strconv.Itoa(freePort(ip)), args: args, state: "ready",
	}

	d.mu.Lock()
	d.searchers[id] = s
	d.mu.Unlock()

	return d.startSearcher(s)
}

func (d *drill) startSearcher(s *searcher) error {
	args := append([]string{"searcher", "--id", s.id, "--address", s.address, "--slots", strconv.Itoa(s.slots)}, s.args...)
	cmd := exec.Command(os.Args[0], args...)

	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}

	if err := cmd.Start(); err != nil {
		return err
	}

	sc := bufio.NewScanner(out)
	if !sc.Scan() {
		return fmt.Errorf("searcher %s: %w", s.id, errSetup)
	}

	go func() {
		for sc.Scan() {
			f := strings.Fields(sc.Text())
			if len(f) != 4 {
				continue
			}

			n, _ := strconv.ParseInt(f[3], 10, 64)
			d.mu.Lock()
			d.seen = append(d.seen, seen{f[0], f[1], f[2], time.Unix(0, n)})
			d.mu.Unlock()
			d.say("searcher %s: %s %s", f[1], f[0], f[2])
		}

		_ = cmd.Wait()
	}()

	d.mu.Lock()
	s.cmd, s.born, s.seq, s.state, s.listed = cmd, time.Now().UnixMilli(), 0, "ready", true
	d.mu.Unlock()

	d.beat(s)

	return nil
}

// beat writes a searcher's entry. One that differs in seq alone changes nothing in the store.
func (d *drill) beat(s *searcher) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !s.listed {
		return time.Time{}
	}

	s.seq++

	now := entry{s.address, s.state, s.born}
	if s.written == now {
		return time.Time{}
	}

	s.written = now

	return d.store.put("servers", s.id, map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"warmupLeftMs": 0, "seq": s.seq, "born": s.born,
	})
}

// heartbeats has all registered searchers write their entries.
func (d *drill) heartbeats() {
	for range time.Tick(heartbeat) {
		d.mu.Lock()
		list := make([]*searcher, 0, len(d.searchers))
		for _, s := range d.searchers {
			list = append(list, s)
		}
		ended := d.ended
		d.mu.Unlock()

		if ended {
			return
		}

		for _, s := range list {
			d.beat(s)
		}
	}
}

// unlist removes a searcher's entry and returns the time of the ack.
func (d *drill) unlist(s *searcher) time.Time {
	d.mu.Lock()
	s.listed, s.written = false, entry{}
	d.mu.Unlock()

	return d.store.remove("servers", s.id)
}

// kill ends a searcher's process at once.
func (d *drill) kill(s *searcher) {
	d.say("searcher %s is killed", s.id)

	_ = s.cmd.Process.Kill()
}

// crash kills a searcher; its entry is removed after three heartbeats, and it starts again after
// down.
func (d *drill) crash(s *searcher, down time.Duration) {
	d.kill(s)

	d.mu.Lock()
	s.listed, s.written = false, entry{}
	d.mu.Unlock()

	time.AfterFunc(3*heartbeat, func() {
		d.mu.Lock()
		gone := !s.listed
		d.mu.Unlock()

		if gone {
			d.store.remove("servers", s.id)
		}
	})
	time.AfterFunc(down, func() {
		if err := d.startSearcher(s); err == nil {
			d.say("searcher %s has started again", s.id)
		}
	})
}

// startInstances starts n instances of the project with the command of the deploy file.
func (d *drill) startInstances(n int, extra string) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}

	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:8106", d.net, 11+i))
	}

	for i := range n {
		ip := d.net + strconv.Itoa(11+i)
		in := &instance{
			name: "frontend-" + strconv.Itoa(i+1), zone: zones[i%len(zones)], front: ip + ":" + strconv.Itoa(freePort(ip)),
			ready: ip + ":" + strconv.Itoa(freePort(ip)),
		}
		settings := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=frontend
serves=frontend,control_plane
ip=%s
zone=%s
region=region-1
zones.zone-a=region-1
zones.zone-b=region-1
zones.zone-c=region-1
listenAddrs.front=%s
listenAddrs.ready=%s
listenAddrs.control=%s:8106
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
%s`, in.name, ip, in.zone, in.front, in.ready, ip, strings.Join(seeds, ","), d.store.addr, extra)

		path := filepath.Join(d.dir, in.name+".conf")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}

		in.settings, in.log = path, filepath.Join(d.dir, in.name+".log")

		if err := d.run(in); err != nil {
			return err
		}

		d.instances = append(d.instances, in)
	}

	for _, in := range d.instances {
		if !d.await(5*time.Second, func() bool { return isReady(in.ready) }) {
			return fmt.Errorf("instance %s isn't ready: %w", in.name, errSetup)
		}
	}

	d.say("all instances are ready")

	return nil
}

// run starts the process of an instance.
func (d *drill) run(in *instance) error {
	log, err := os.OpenFile(in.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()

	cmd := exec.Command(d.program, "hosted", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSESPRING_NODE_FILE=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		return err
	}

	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	d.say("instance %s starts, callers connect to %s", in.name, in.front)

	go func() {
		_ = cmd.Wait()
		d.say("instance %s has ended: %s", in.name, cmd.ProcessState)
		close(exited)
	}()

	return nil
}

func isReady(address string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := c.Get("http://" + address + "/v1/readyz")
	if err != nil {
		return false
	}

	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// await waits until f reports true, for d at most.
func (d *drill) await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}

	return false
}

// hasEnded reports whether an instance's process has ended.
func (in *instance) hasEnded() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// tail copies the last lines of an instance's log that contain a word to the record.
func (d *drill) tail(in *instance, lines int, word string) {
	b, err := os.ReadFile(in.log)
	if err != nil {
		return
	}

	var list []string
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, word) {
			list = append(list, l)
		}
	}

	for _, l := range list[max(len(list)-lines, 0):] {
		d.say("log of %s: %s", in.name, l)
	}
}

// panicLines copies the beginning of a panic from an instance's log to the record.
func (d *drill) panicLines(in *instance) {
	b, err := os.ReadFile(in.log)
	if err != nil {
		return
	}

	at := strings.Index(string(b), "panic:")
	if at < 0 {
		at = strings.Index(string(b), "fatal error:")
	}

	if at < 0 {
		return
	}

	for _, l := range strings.SplitN(string(b[at:]), "\n", 16)[:min(15, strings.Count(string(b[at:]), "\n"))] {
		if !strings.HasPrefix(strings.TrimSpace(l), "/") {
			d.say("log of %s: %s", in.name, l)
		}
	}
}

// close ends all processes that the drill has started.
func (d *drill) close() {
	for _, in := range d.instances {
		if in.cmd != nil && in.cmd.Process != nil && !in.hasEnded() {
			_ = in.cmd.Process.Signal(syscall.SIGKILL)
			<-in.exited
		}
	}

	d.mu.Lock()
	d.ended = true
	list := d.searchers
	_ = d.record.Flush()
	d.mu.Unlock()

	for _, s := range list {
		if s.cmd != nil && s.cmd.Process != nil {
			_ = s.cmd.Process.Kill()
		}
	}

	_ = d.store.server.Close()

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// result is what a client got for a request.
type result struct {
	id, instance string
	kept         bool // The connection had carried a request before.
	sent, ended  time.Time
	status       int // 0: the connection ended without a complete answer.
	header       http.Header
	body         []byte
	err          error
}

// client is one caller with one connection, kept open as long as the instance keeps it.
type client struct {
	d       *drill
	in      *instance
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
	timeout time.Duration
}

var (
	sequenceMu sync.Mutex
	sequence   int
)

func nextID() string {
	sequenceMu.Lock()
	defer sequenceMu.Unlock()

	sequence++

	return fmt.Sprintf("q%05d", sequence)
}

// do sends a request and waits for its answer.
func (c *client) do(method, path, body string, extra ...string) result {
	r := result{id: nextID(), instance: c.in.name}

	if c.conn == nil {
		nc, err := net.DialTimeout("tcp", c.in.front, time.Second)
		if err != nil {
			r.sent, r.ended, r.err = time.Now(), time.Now(), err

			return r
		}

		c.conn, c.reader, c.used = nc, bufio.NewReader(nc), false
	}

	r.kept = c.used
	c.used = true
	r.sent = time.Now()
	c.d.say("client: %s %s %s to %s", r.id, method, path, c.in.name)

	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, r.id,
		c.timeout.Milliseconds())
	for _, h := range extra {
		head += h + "\r\n"
	}

	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}

	_ = c.conn.SetDeadline(time.Now().Add(c.timeout))

	if _, r.err = io.WriteString(c.conn, head+"\r\n"+body); r.err == nil {
		var resp *http.Response

		if resp, r.err = http.ReadResponse(c.reader, &http.Request{Method: method}); r.err == nil {
			r.body, r.err = io.ReadAll(resp.Body)
			r.status, r.header = resp.StatusCode, resp.Header

			if r.err != nil {
				r.status = 0
			}

			if resp.Close {
				c.close()
			}
		}
	}

	r.ended = time.Now()

	if r.err != nil {
		c.close()
		c.d.say("client: %s gets no complete answer: %v", r.id, r.err)
	} else {
		c.d.say("client: %s gets %d", r.id, r.status)
	}

	return r
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
