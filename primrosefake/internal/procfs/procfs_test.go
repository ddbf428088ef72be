package procfs

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process name with spaces or parentheses that shifts the
// fields, and against a short line that counts as no CPU time.
func TestCPUTicks(t *testing.T) {
	ticks, err := cpuTicks([]byte("42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 11 4 0 0"))
	require.NoError(t, err)
	require.Equal(t, int64(15), ticks)

	_, err = cpuTicks([]byte("42 (a) S 1"))
	require.Error(t, err)

	_, err = cpuTicks([]byte("42 (a) S 1 2 3 4 5 6 7 8 9 10 x 4 0 0"))
	require.Error(t, err)
}

// Guards against reading another field than the resident set.
func TestOwnProcess(t *testing.T) {
	mb, err := ResidentMB(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, mb, 1.0)

	_, err = CPUTime(os.Getpid())
	require.NoError(t, err)
}
