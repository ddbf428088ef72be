// What a scenario does when its load announces a fault.

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

// logLine is a line of the load command's log.
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

// faultInjector brings about the faults that the load command announces. Those of
// one kind are done one after another, and the kinds at the same time.
type faultInjector struct {
	fleet *fleet

	wg       sync.WaitGroup
	lastDone map[string]chan struct{}

	mu  sync.Mutex // Guards err.
	err error
}

// handleLine acts on one line of the log.
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

// wait returns once every action is done.
func (i *faultInjector) wait() error {
	i.wg.Wait()

	return i.err
}

// applyFault begins or ends one announced fault.
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

// load runs the load command on the run, acts on what it announces, and
// returns its output.
func (f *fleet) load(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(f.bin, "primrosefake"), append([]string{"load", f.runDir, "--system", "product"}, args...)...)
	injector := &faultInjector{fleet: f}
	out := &lineWriter{onLine: injector.handleLine}
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.dir, out, out

	err := cmd.Run()

	return out.all.Bytes(), errors.Join(err, injector.wait())
}

// lineWriter keeps what is written and calls each for every whole line.
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
