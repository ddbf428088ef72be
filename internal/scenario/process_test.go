package scenario

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// processes holds the processes of one test. Each writes its output to NAME.log in
// dir; one that is started again appends to it.
type processes struct {
	bin, dir string

	mu       sync.Mutex // Guards all below.
	running  map[string]*process
	cleanups []func()
}

type process struct {
	cmd *exec.Cmd
	// done receives the error of Wait, and exited is closed then.
	done   chan error
	exited chan struct{}
}

// errExited reports a process that exited by itself.
var errExited = errors.New("process has exited")

// logTailBytes is how much of a process's log the error quotes when it exited by itself.
const logTailBytes = 500

func newProcesses(bin, dir string) *processes {
	return &processes{bin: bin, dir: dir, running: make(map[string]*process)}
}

func (p *processes) path(name string) string { return filepath.Join(p.dir, name) }

func (p *processes) start(name, program string, args ...string) error {
	log, err := os.OpenFile(p.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.dir, log, log

	if err := cmd.Start(); err != nil {
		return err
	}

	r := &process{cmd: cmd, done: make(chan error, 1), exited: make(chan struct{})}

	go func() {
		r.done <- cmd.Wait()

		close(r.exited)
		close(r.done)
		_ = log.Close()
	}()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.running[name] = r

	return nil
}

func (p *processes) get(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.running[name]
	if !ok {
		return nil, fmt.Errorf("no process %q is running", name)
	}

	return r, nil
}

func (p *processes) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.running, name)
}

// addCleanup has stopAll call f after all processes have exited.
func (p *processes) addCleanup(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.cleanups = append(p.cleanups, f)
}

// checkRunning returns an error if a process has exited by itself.
func (p *processes) checkRunning() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	for name, r := range p.running {
		select {
		case <-r.exited:
			data, _ := os.ReadFile(p.path(name + ".log"))

			return fmt.Errorf("%w: %s: %s", errExited, name, data[max(0, len(data)-logTailBytes):])
		default:
		}
	}

	return nil
}

// stop sends SIGTERM to a process, waits for it and returns the error of its exit.
func (p *processes) stop(name string) error {
	r, err := p.get(name)
	if err != nil {
		return err
	}

	if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}

	select {
	case err := <-r.done:
		p.remove(name)

		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s hasn't exited %s after SIGTERM", name, stopTimeout)
	}
}

func (p *processes) kill(name string) error {
	r, err := p.get(name)
	if err != nil {
		return err
	}

	if err := r.cmd.Process.Kill(); err != nil {
		return err
	}

	<-r.done
	p.remove(name)

	return nil
}

func (p *processes) signal(name string, s os.Signal) error {
	r, err := p.get(name)
	if err != nil {
		return err
	}

	return r.cmd.Process.Signal(s)
}

// join waits until a process exits by itself and returns its output and its error.
func (p *processes) join(name string) ([]byte, error) {
	r, err := p.get(name)
	if err != nil {
		return nil, err
	}

	err = <-r.done
	p.remove(name)

	data, readErr := os.ReadFile(p.path(name + ".log"))
	if err == nil {
		err = readErr
	}

	return data, err
}

// stopAll kills the processes that are still running and calls the cleanups.
func (p *processes) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range p.running {
		_ = r.cmd.Process.Signal(syscall.SIGCONT)
		_ = r.cmd.Process.Kill()
		<-r.exited
	}

	clear(p.running)

	for _, f := range p.cleanups {
		f()
	}

	p.cleanups = nil
}

// await calls f until it succeeds. It returns f's error after waitTimeout, or at once
// if a process has exited.
func await(what string, f func() error) error {
	deadline := time.Now().Add(waitTimeout)

	for {
		err := f()
		if err == nil {
			return nil
		}

		if time.Now().After(deadline) || errors.Is(err, errExited) {
			return fmt.Errorf("%s: %w", what, err)
		}

		time.Sleep(waitInterval)
	}
}
