// Injects the faults that the load command requests in its log.

package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// logLine holds the keys and values of a line of the load command's log.
type logLine map[string]string

func parseLogLine(line string) logLine {
	l := logLine{}

	for _, word := range strings.Fields(line) {
		if k, v, ok := strings.Cut(word, "="); ok {
			l[k] = v
		}
	}

	return l
}

// faultInjector injects the faults that the load command requests: those of one kind
// one after another, and different kinds concurrently.
type faultInjector struct {
	fleet *fleet

	wg sync.WaitGroup
	// lastDone holds for each kind a channel that is closed when the last request of
	// the kind has been handled.
	lastDone map[string]chan struct{}

	mu  sync.Mutex // Guards err.
	err error
}

// handleLine begins or ends the fault that a line of the log requests.
func (i *faultInjector) handleLine(line string) {
	l := parseLogLine(line)

	switch l["event"] {
	case "restart_wanted", "fault_wanted", "fault_end_wanted":
	case "fault_failed":
		i.fail(errors.New(line))

		return
	default:
		return
	}

	if i.lastDone == nil {
		i.lastDone = make(map[string]chan struct{})
	}

	previous, done := i.lastDone[l["kind"]], make(chan struct{})
	i.lastDone[l["kind"]] = done

	i.wg.Go(func() {
		defer close(done)

		if previous != nil {
			<-previous
		}

		if err := i.fleet.applyFault(l["event"] != "fault_end_wanted", l); err != nil {
			i.fail(fmt.Errorf("%s: %w", strings.TrimSpace(line), err))
		}
	})
}

func (i *faultInjector) fail(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.err = errors.Join(i.err, err)
}

// wait waits until every request is handled and returns the errors.
func (i *faultInjector) wait() error {
	i.wg.Wait()

	return i.err
}

// applyFault begins or ends one requested fault. Only kills and pauses need an action
// at their end.
func (f *fleet) applyFault(begin bool, l logLine) error {
	switch kind := l["kind"]; {
	case kind == "rolling_restart" && begin:
		for _, in := range f.Instances {
			if err := f.restart(in.ID); err != nil {
				return err
			}
		}
	case kind == "instance_restarted" && begin:
		return f.restart(l["instance"])
	case kind == "instance_killed" && begin:
		return f.kill(l["instance"])
	case kind == "instance_killed":
		return f.startReady(l["instance"])
	case kind == "instance_paused" && begin:
		return f.signal(l["instance"], syscall.SIGSTOP)
	case kind == "instance_paused":
		return f.signal(l["instance"], syscall.SIGCONT)
	case kind == "partition_map_switch" && begin:
		return f.repartition(l["service"])
	case kind == "operators_racing" && begin:
		return f.race(l["service"])
	}

	return nil
}

// load runs the load command, injects the faults that it requests, and returns its
// output.
func (f *fleet) load(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(f.bin, "primrosefake"), append([]string{"load", f.runDir, "--system", "product"}, args...)...)
	injector := &faultInjector{fleet: f}
	out := &lineWriter{onLine: injector.handleLine}
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.dir, out, out

	err := cmd.Run()

	return out.all.Bytes(), errors.Join(err, injector.wait())
}

// lineWriter keeps what is written and calls onLine for every complete line.
type lineWriter struct {
	all     bytes.Buffer
	partial []byte
	onLine  func(string)
}

func (w *lineWriter) Write(data []byte) (int, error) {
	w.all.Write(data)
	w.partial = append(w.partial, data...)

	for {
		line, rest, ok := bytes.Cut(w.partial, []byte("\n"))
		if !ok {
			return len(data), nil
		}

		w.onLine(string(line))
		w.partial = rest
	}
}
