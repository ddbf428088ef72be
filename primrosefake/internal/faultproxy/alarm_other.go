//go:build !linux

package faultproxy

func newAlarm() (alarm, error) { return newTimerAlarm(), nil }
