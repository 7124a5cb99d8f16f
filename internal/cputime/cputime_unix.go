//go:build unix

// Package cputime tells how much processor time this process has used.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the user and system processor time that this process has used so far; 0 if it
// cannot be read.
func Used() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
