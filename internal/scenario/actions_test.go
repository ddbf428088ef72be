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
