package faultproxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// timerfdAlarm is an alarm that uses a kernel timer. Its file becomes readable
// when the timer expires, which wakes the network poller without the poller's
// rounding to milliseconds.
type timerfdAlarm struct {
	file *os.File
	fd   int
}

func newAlarm() (alarm, error) {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("timerfd_create", err)
	}

	return &timerfdAlarm{os.NewFile(uintptr(fd), "timerfd"), fd}, nil
}

func (a *timerfdAlarm) set(at time.Time) {
	// A value of 0 would stop the timer.
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(max(int64(time.Until(at)), 1))}
	_ = unix.TimerfdSettime(a.fd, 0, &spec, nil)
}

func (a *timerfdAlarm) wait() bool {
	var expirations [8]byte

	_, err := a.file.Read(expirations[:])

	return err == nil
}

func (a *timerfdAlarm) close() { _ = a.file.Close() }
