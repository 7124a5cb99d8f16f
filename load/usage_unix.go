//go:build unix

package load

import (
	"syscall"
	"time"
)

// processCPUTime returns the user and system CPU time that this process has used
// so far; zero if it cannot be read.
func processCPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
