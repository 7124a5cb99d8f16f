package clients

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
)

const (
	// usageInterval is the interval at which the usage of a process is read.
	usageInterval = 50 * time.Millisecond
	// killAt is the memory in bytes at which the rig ends a process.
	killAt = 4 << 30
)

// usage watches the memory and the descriptors of a process.
type usage struct {
	t       *testing.T
	process *harness.Process
	// local are the ports of the process, remote those that it calls, in the form of
	// /proc/net/tcp.
	local, remote map[string]bool
	memory        int64

	mu sync.Mutex
	// unread and sockets are the largest values seen.
	unread  int64
	sockets int
	all     int
	killed  bool
}

// watchUsage watches a process with addresses until the end of the test. calls are the addresses
// that it calls.
func watchUsage(t *testing.T, p *harness.Process, listens, calls []string) *usage {
	t.Helper()
	u := &usage{t: t, process: p, local: hexPorts(t, listens), remote: hexPorts(t, calls), memory: memoryLimit()}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			u.sample()
			select {
			case <-stop:
				return
			case <-time.After(usageInterval):
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return u
}

// hexPorts returns the ports of addresses as /proc/net/tcp writes them.
func hexPorts(t *testing.T, addrs []string) map[string]bool {
	t.Helper()
	ports := make(map[string]bool)
	for _, addr := range addrs {
		port, err := strconv.Atoi(portOf(t, addr))
		assert.NilError(t, err)
		ports[fmt.Sprintf("%04X", port)] = true
	}
	return ports
}

// sample reads the usage once, and ends a process that uses far too much.
func (u *usage) sample() {
	pid := u.process.PID()
	unread := u.unreadBytes()
	sockets, all := openDescriptors(pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unread = max(u.unread, unread)
	u.sockets = max(u.sockets, sockets)
	u.all = max(u.all, all)
	if u.process.Memory()+unread > killAt && u.process.Running() && !u.killed {
		u.killed = true
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
}

// awaitRest waits until the process has as many descriptors in several samples in a row.
func (u *usage) awaitRest() {
	const samples = 6
	last, same := -1, 0
	for end := time.Now().Add(settleTimeout); same < samples && time.Now().Before(end); time.Sleep(usageInterval) {
		u.sample()
		_, all := openDescriptors(u.process.PID())
		same++
		if all != last {
			last, same = all, 0
		}
	}
}

// unreadBytes returns how many bytes the process has received and not yet read.
func (u *usage) unreadBytes() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" {
			continue
		}
		if !u.local[portField(fields[1])] && !u.remote[portField(fields[2])] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += n
		}
	}
	return total
}

func portField(address string) string {
	_, port, _ := strings.Cut(address, ":")
	return port
}

// openDescriptors returns how many sockets and pipes, and how many descriptors in all, a process has.
func openDescriptors(pid int) (sockets, all int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			sockets++
		}
	}
	return sockets, len(entries)
}

// check checks that the process stayed within its limits so far.
func (u *usage) check() {
	u.t.Helper()
	u.checkMemory()
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Check(u.t, u.sockets <= *descriptors-fileDescriptors, "%d sockets and pipes", u.sockets)
	assert.Check(u.t, u.all <= *descriptors, "%d descriptors", u.all)
}

// checkMemory checks that the process stayed within its memory so far.
func (u *usage) checkMemory() {
	u.t.Helper()
	peak := u.process.PeakMemory()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.t.Logf("peak of the memory %d MB, unread %d MB, %d sockets and pipes, %d descriptors", peak>>20, u.unread>>20, u.sockets, u.all)
	assert.Check(u.t, !u.killed, "ended by the rig")
	assert.Check(u.t, peak+u.unread <= u.memory, "%d MB of memory and %d MB unread, the limit is %d MB", peak>>20, u.unread>>20, u.memory>>20)
}
