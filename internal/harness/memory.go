package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the most memory that the process has taken, in bytes; 0 if it has ended.
func (p *Process) PeakMemory() int64 { return p.memory("VmHWM:") }

// Memory returns the memory that the process takes, in bytes; 0 if it has ended.
func (p *Process) Memory() int64 { return p.memory("VmRSS:") }

// memory returns a figure of the memory of the process from the kernel, in bytes.
func (p *Process) memory(name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes << 10
	}
	return 0
}
