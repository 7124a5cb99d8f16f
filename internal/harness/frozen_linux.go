package harness

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"

	"github.com/joomcode/errorx"
)

// stateStopped is the state in /proc of a thread stopped by SIGSTOP.
const stateStopped = 'T'

// checkFrozen returns nil if every thread of the process is stopped.
func checkFrozen(pid int) error {
	paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	if err != nil {
		return errorx.Decorate(err, "list the threads of %d", pid)
	}
	if len(paths) == 0 {
		return errorx.IllegalState.New("process %d has no threads", pid)
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			return errorx.Decorate(err, "read the state of a thread")
		}
		// The state follows the thread's name, which is in parentheses and may
		// itself contain parentheses and spaces.
		_, rest, found := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte{' '})
		if !found || len(rest) == 0 || rest[0] != stateStopped {
			return errorx.IllegalState.New("a thread of process %d is not stopped: %s", pid, stat)
		}
	}
	return nil
}
