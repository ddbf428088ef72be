package load

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the CPU times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system time that the processes have used. A
// process that is gone counts as zero.
func cpuTime(pids []int) time.Duration {
	var ticks int64

	for _, pid := range pids {
		data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
		if err != nil {
			continue
		}

		ticks += cpuTicks(data)
	}

	return time.Duration(ticks) * clockTick
}

// cpuTicks returns the fields utime and stime. The name before them is in
// parentheses and may hold spaces.
func cpuTicks(stat []byte) int64 {
	const utime, stime = 11, 12

	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stime {
		return 0
	}

	user, _ := strconv.ParseInt(string(fields[utime]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[stime]), 10, 64)

	return user + system
}

// loadAverage returns the machine's load average over one minute, or zero if
// it isn't known.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}

	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)

	return v
}
