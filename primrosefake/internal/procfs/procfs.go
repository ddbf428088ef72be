// Package procfs reads figures of processes and of the machine from Linux's
// /proc.
package procfs

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// clockTick is the unit of the CPU times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	kibibyte  = 1024
	megabyte  = 1_000_000
)

// CPUTime returns the user and system time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Annotate(err, "read CPU time")
	}

	ticks, err := cpuTicks(data)
	if err != nil {
		return 0, errors.Annotatef(err, "read CPU time of process %d", pid)
	}

	return time.Duration(ticks) * clockTick, nil
}

// cpuTicks returns the sum of the fields utime and stime. The name before them
// is in parentheses and may contain spaces and parentheses.
func cpuTicks(stat []byte) (int64, error) {
	const utime, stime = 11, 12 // Indexes of the fields after the name.

	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stime {
		return 0, errors.Errorf("stat has %d fields after the name", len(fields))
	}

	user, err := strconv.ParseInt(string(fields[utime]), 10, 64)
	if err != nil {
		return 0, errors.Annotate(err, "user time")
	}

	system, err := strconv.ParseInt(string(fields[stime]), 10, 64)
	if err != nil {
		return 0, errors.Annotate(err, "system time")
	}

	return user + system, nil
}

// ResidentMB returns the resident set size of a process, in megabytes of
// 1,000,000 bytes.
func ResidentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Annotate(err, "read memory")
	}

	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}

		kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)

		return kb * kibibyte / megabyte, err
	}

	return 0, errors.Errorf("read memory of process %d: no VmRSS line in status", pid)
}

// LoadAverage returns the machine's load average over one minute, or zero if it
// can't be read.
func LoadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}

	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)

	return v
}
