package load

import (
	"time"

	"primrosespring.example/primrosefake/internal/procfs"
)

// cpuTime returns the CPU time that the processes have used. A process that has
// exited counts as zero.
func cpuTime(pids []int) time.Duration {
	var total time.Duration

	for _, pid := range pids {
		t, err := procfs.CPUTime(pid)
		if err != nil {
			continue
		}

		total += t
	}

	return total
}
