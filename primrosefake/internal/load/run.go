package load

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosefake/internal/procfs"
	"primrosespring.example/primrosefake/internal/workload"
)

// Names of the systems under load.
const (
	Product  = "product"
	Baseline = "baseline"
)

const (
	// answerGrace is how long after its timeout a caller still waits for the
	// refusal that reports the timeout.
	answerGrace   = 250 * time.Millisecond
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	// executeSettleTime is the wait after the load for requests that callers
	// gave up on to end at the searchers; it is longer than the timeout of the
	// built-in workloads, 1 s.
	executeSettleTime = 1500 * time.Millisecond
	// searchSettleTime is the wait for the searchers to end cancelled attempts.
	searchSettleTime = 200 * time.Millisecond
	// statusSettleTime is the wait for instances to learn the searchers' state
	// after a reset.
	statusSettleTime = 1500 * time.Millisecond
	maxRepeats       = 2
)

// Options are the settings of a run.
type Options struct {
	Workload *workload.Workload
	Topology *workload.Topology
	// Systems are run one after another, each on the same load.
	Systems []string
	// Direct sends to the instances instead of the balancer.
	Direct bool
	// AwaitWhole waits after the load until the system gives whole answers again;
	// the run fails if readyTimeout passes first.
	AwaitWhole bool
	// Until, if set, is a file that ends the load early once it exists.
	Until string
	// PIDs are the processes whose CPU time is measured.
	PIDs []int
	// Log receives one line for each event.
	Log io.Writer
}

// Run sends the load to each system and returns the results in that order. A wrong
// answer is no error of Run; CheckResults reports it.
func Run(ctx context.Context, o Options) ([]*Result, error) {
	var out []*Result

	for _, name := range o.Systems {
		p := &phase{options: o, name: name, log: o.Log}
		p.control = newControl(o.Workload, o.Topology, p.announce)

		r, err := p.run(ctx)
		if err != nil {
			return nil, errors.Annotatef(err, "%s", name)
		}

		out = append(out, r)
	}

	return out, nil
}

// phase is the run of the load against one system.
type phase struct {
	options  Options
	name     string
	control  *control
	system   system
	recorder *recorder
	start    time.Time

	mu       sync.Mutex // Guards the fields below.
	log      io.Writer
	executes []executeRecord
}

// executeRecord is a non-repeatable request with the outcomes of its tries.
type executeRecord struct {
	key string
	// failures holds the failed tries in order; answered marks that the try after
	// them was answered.
	failures []*failure
	answered bool
}

// reportedNotRun reports whether an answer says that the key didn't run. If the
// request was sent again, the first answer is about the first send only and
// doesn't count.
func (e *executeRecord) reportedNotRun() bool {
	for i, f := range e.failures {
		only := len(e.failures) == 1 && !e.answered
		if f.notRun() && (i > 0 || only) {
			return true
		}
	}

	return false
}

// last returns the failure of the last try, or nil if it was answered.
func (e *executeRecord) last() *failure {
	if e.answered || len(e.failures) == 0 {
		return nil
	}

	return e.failures[len(e.failures)-1]
}

// String lists the answers in order.
func (e *executeRecord) String() string {
	var out []string

	for _, f := range e.failures {
		out = append(out, f.code+" ("+f.fate.String()+")")
	}

	if e.answered {
		out = append(out, "answered")
	}

	return strings.Join(out, ", ")
}

func (p *phase) run(ctx context.Context) (*Result, error) {
	w := p.options.Workload
	p.recorder = newRecorder(w)

	if err := p.control.reset(ctx); err != nil {
		return nil, err
	}

	p.system = p.newSystem(ctx)
	defer p.system.close()

	pause(ctx, statusSettleTime)

	if err := p.awaitReady(ctx); err != nil {
		return nil, err
	}

	pause(ctx, searchSettleTime)

	runsBefore, _, err := p.control.runs(ctx)
	if err != nil {
		return nil, err
	}

	cpuBefore, loadBefore := cpuTime(p.options.PIDs), procfs.LoadAverage()

	if err := p.send(ctx); err != nil {
		return nil, err
	}

	cpu := cpuTime(p.options.PIDs) - cpuBefore

	if len(p.executes) > 0 {
		pause(ctx, executeSettleTime)
	}

	pause(ctx, searchSettleTime)

	if p.options.AwaitWhole {
		if err := p.awaitRecovery(ctx); err != nil {
			return nil, err
		}
	}

	runsAfter, byKey, err := p.control.runs(ctx)
	if err != nil {
		return nil, err
	}

	r := p.recorder.result(w, p.name)
	r.LoadAverageBefore, r.LoadAverageAfter = loadBefore, procfs.LoadAverage()
	r.Counts.SearcherRuns = runsAfter - runsBefore
	countRuns(r, p.executes, byKey)

	if p.name == Product && runsAfter > runsBefore {
		r.CPUMicrosPerSubQuery = float64(cpu.Microseconds()) / float64(runsAfter-runsBefore)
	}

	p.event("phase_ended", "queries=%d whole=%d p99_us=%d", r.Counts.Queries, r.Counts.Whole, r.Latency.P99)

	return r, nil
}

func (p *phase) newSystem(ctx context.Context) system {
	if p.name == Baseline {
		return newBaseline(ctx, p.options.Workload, p.options.Topology)
	}

	addresses := []string{p.options.Topology.Balancer}

	if p.options.Direct || addresses[0] == "" {
		addresses = nil
		for _, i := range p.options.Topology.Instances {
			addresses = append(addresses, i.Caller)
		}
	}

	return newProductClient(addresses, p.options.Workload.Load.Connections)
}

// awaitReady returns once every service that takes queries gives a whole answer
// over each connection, or with an error after readyTimeout.
func (p *phase) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	connections := 1
	if c, ok := p.system.(*productClient); ok {
		connections = len(c.clients)
	}

	for _, s := range p.options.Workload.Services {
		if !s.Rules.Repeatable {
			continue
		}

		for n := range connections {
			if err := p.awaitWholeAnswer(ctx, s.Name, n); err != nil {
				return errors.Annotatef(err, "service %s isn't ready", s.Name)
			}
		}
	}

	return nil
}

func (p *phase) awaitWholeAnswer(ctx context.Context, service string, n int) error {
	for {
		resp, err := p.system.search(ctx, n, &pb.SearchRequest{
			Service: service, Member: p.options.Workload.Load.Members[0].Name, Query: "ready", RequestId: "ready",
			TimeoutMs: p.options.Workload.Load.TimeoutMS,
		})
		if err == nil && len(resp.GetCoverage().GetMissing()) == 0 {
			return nil
		}

		if ctx.Err() != nil {
			return stderrors.Join(ctx.Err(), err)
		}

		pause(ctx, readyInterval)
	}
}

// awaitRecovery returns once the system is ready and every service that takes
// non-repeatable requests runs one. Each of the two fails after readyTimeout.
func (p *phase) awaitRecovery(ctx context.Context) error {
	if err := p.awaitReady(ctx); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	for i := range p.options.Workload.Services {
		s := &p.options.Workload.Services[i]
		if !s.Rules.NonRepeatable {
			continue
		}

		if err := p.awaitExecute(ctx, s); err != nil {
			return errors.Annotatef(err, "service %s doesn't run requests", s.Name)
		}
	}

	p.event("whole_again", "")

	return nil
}

func (p *phase) awaitExecute(ctx context.Context, s *workload.Service) error {
	for try := 0; ; try++ {
		a := arrival{service: s, member: p.options.Workload.Load.Members[0].Name, random: [2]uint64{rand.Uint64(), rand.Uint64()}}

		f := p.tryExecute(ctx, &a, a.key(time.Now()), try, 0)
		if f == nil {
			return nil
		}

		if ctx.Err() != nil {
			return fmt.Errorf("%w; the last answer was %s (%s)", ctx.Err(), f.code, f.fate)
		}

		pause(ctx, readyInterval)
	}
}

// send runs the schedule as an open loop: each request is sent at its time,
// whether or not earlier ones have been answered.
func (p *phase) send(ctx context.Context) error {
	schedule := newSchedule(p.options.Workload)
	p.start = time.Now()
	p.event("phase_started", "requests=%d", len(schedule))

	fctx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()

	var faults, requests sync.WaitGroup

	for _, f := range p.options.Workload.Faults {
		faults.Go(func() { p.runFault(fctx, f) })
	}

	for i := range schedule {
		a := &schedule[i]
		pause(ctx, time.Until(p.start.Add(a.at)))

		if ctx.Err() != nil || p.endedEarly() {
			break
		}

		p.recorder.recordDispatch(time.Since(p.start.Add(a.at)))

		if a.execute {
			requests.Go(func() { p.sendExecute(ctx, a) })
		} else {
			requests.Go(func() { p.sendSearch(ctx, a) })
		}
	}

	requests.Wait()
	stopFaults()
	faults.Wait()

	return ctx.Err()
}

// endedEarly reports whether the file Options.Until exists.
func (p *phase) endedEarly() bool {
	if p.options.Until == "" {
		return false
	}

	_, err := os.Stat(p.options.Until)

	return err == nil
}

func (p *phase) sendSearch(ctx context.Context, a *arrival) {
	timeout := p.options.Workload.Load.Timeout()

	ctx, cancel := context.WithDeadline(ctx, p.start.Add(a.at+timeout+answerGrace))
	defer cancel()

	id := p.name + "-" + strconv.FormatInt(p.start.UnixNano(), 36) + "-" + strconv.Itoa(a.number)
	want := expectation{requestID: id, service: a.service.Name, query: "query of " + id, shards: a.service.Shards}

	resp, err := p.system.search(ctx, a.number, &pb.SearchRequest{
		Service: want.service, Member: a.member, Query: want.query, RequestId: id, TimeoutMs: uint32(timeout.Milliseconds()),
	})

	e := queryRecord{at: a.at, latency: time.Since(p.start.Add(a.at)), shards: a.service.Shards}
	if err != nil {
		e.failure = classify(ctx, err)
	} else {
		e.problems = check(want, resp)
		e.included = uint32(len(resp.GetCoverage().GetIncluded()))
		e.attempts = resp.GetAttempts()
	}

	p.recorder.recordQuery(e)
}

// sendExecute sends a request and, if it has an early timeout, repeats it under
// the same key until it is answered, at most maxRepeats times, each time to
// another address or over another connection.
func (p *phase) sendExecute(ctx context.Context, a *arrival) {
	key := a.key(p.start.Add(a.at))

	e := executeRecord{key: key}

	for try := 0; try <= maxRepeats && !e.answered; try++ {
		earlyTimeout := time.Duration(0)
		if try == 0 {
			earlyTimeout = a.earlyTimeout
		}

		if f := p.tryExecute(ctx, a, key, try, earlyTimeout); f != nil {
			e.failures = append(e.failures, f)
		} else {
			e.answered = true
		}

		if a.earlyTimeout == 0 {
			break
		}
	}

	p.recorder.recordExecute(a.at, e)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.executes = append(p.executes, e)
}

func (p *phase) tryExecute(ctx context.Context, a *arrival, key string, try int, earlyTimeout time.Duration) *failure {
	timeout := p.options.Workload.Load.Timeout()
	wait := timeout + answerGrace

	if earlyTimeout > 0 {
		wait = earlyTimeout
	}

	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()

	resp, err := p.system.execute(ctx, a.number, try, &pb.ExecuteRequest{
		Service: a.service.Name, Member: a.member, Key: key, Payload: "payload of " + key,
		TimeoutMs: uint32(timeout.Milliseconds()), Repeated: try > 0,
	})
	if err != nil {
		f := classify(ctx, err)
		if f.code == codeUnreachable && try > 0 {
			f.fate = domain.FateUnknown // Only this send is known not to have run.
		}

		return f
	}

	if resp.GetKey() != key || resp.GetResult() != key+":done" {
		p.recorder.recordProblem(problem{finding: crossed, detail: fmt.Sprintf("key %s got the result %q", key, resp.GetResult())})
	}

	return nil
}

// countRuns compares the callers' answers with the searchers' run counts.
func countRuns(r *Result, executes []executeRecord, runs map[string]int) {
	for _, e := range executes {
		n := runs[e.key]
		if n > 1 {
			r.Counts.Doubled++
			r.addProblem("doubled: key %s ran %d times; its answers: %s", e.key, n, &e)
		}

		if n > 0 && e.reportedNotRun() {
			r.Counts.FalseNotRun++
			r.addProblem("false_not_run: key %s ran %d times; its answers: %s", e.key, n, &e)
		}
	}
}

func (p *phase) runFault(ctx context.Context, f workload.Fault) {
	pause(ctx, time.Until(p.start.Add(time.Duration(f.AtMS)*time.Millisecond)))

	if ctx.Err() != nil {
		return
	}

	p.event("fault_began", "kind=%s service=%s shard=%d searcher=%d", f.Kind, f.Service, f.Shard, f.Searcher)

	if err := p.control.begin(ctx, f); err != nil {
		p.event("fault_failed", "kind=%s error=%q", f.Kind, err)
	}

	if f.ForMS > 0 {
		pause(ctx, time.Until(p.start.Add(time.Duration(f.AtMS+f.ForMS)*time.Millisecond)))
	} else {
		<-ctx.Done()
	}

	if err := p.control.end(context.WithoutCancel(ctx), f); err != nil {
		p.event("fault_failed", "kind=%s error=%q", f.Kind, err)
	}

	p.event("fault_ended", "kind=%s", f.Kind)
}

// announce logs the begin or the end of a fault that only the program that
// started the processes can inject.
func (p *phase) announce(f workload.Fault, begin bool) {
	name := "fault_end_wanted"

	switch {
	case begin && f.Kind == workload.RollingRestart:
		name = "restart_wanted"
	case begin:
		name = "fault_wanted"
	}

	p.event(name, "kind=%s instance=%s service=%s", f.Kind, p.options.Topology.Instances[f.Instance].ID, f.Service)
}

func (p *phase) event(name, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_, _ = fmt.Fprintf(p.log, "event=%s system=%s at_ms=%d %s\n",
		name, p.name, time.Since(p.start).Milliseconds(), fmt.Sprintf(format, args...))
}
