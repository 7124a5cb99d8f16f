package slopes

import (
	"encoding/json"
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

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/member"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

const (
	// idleWindow is the time over which idle processes are measured.
	idleWindow = 10 * time.Second
	// callers is the number of requests sent concurrently.
	callers = 8
)

const processBundle = `
version: 1
operators:
  - {name: operator, credential_sha256: [%s]}
accounts:
  - name: caller
    credential_sha256: [%s]
    limit: {requests_per_second: 100000, burst: 100000, in_flight: 10000}
pools:
  - {name: service, endpoints: 1}
  - {name: engines, protocol: engine, endpoints: 1, models: [m]}
pipelines:
  - {name: service, max_body: 262144, stages: [{name: service, pool: service}]}
  - {name: tokens-8, stages: [{name: generate, pool: engines, model: m, max_tokens: 8}]}
  - {name: tokens-16, stages: [{name: generate, pool: engines, model: m, max_tokens: 16}]}
  - {name: tokens-24, stages: [{name: generate, pool: engines, model: m, max_tokens: 24}]}
`

// startProcesses starts an entry, and an agent for each endpoint of the pools, as
// processes of their own.
func startProcesses(tb testing.TB, pools map[string]int) *harness.Fleet {
	return harness.Start(tb, harness.Config{
		Bundle: fmt.Appendf(nil, processBundle, hash("operator"), hash("caller")),
		Pools:  pools, Entries: 1, NoRace: true,
	})
}

// BenchmarkIdleProcess measures the processor time, memory and traffic of an
// entry, and the processor time and memory of an agent, without any requests, by
// the number of agents.
func BenchmarkIdleProcess(b *testing.B) {
	for _, size := range []int{4, 12, 36, 108} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				fleet := startProcesses(b, map[string]int{"service": size})
				before, sent := readProcesses(b), stats(b, fleet)
				timer := time.NewTimer(idleWindow)
				<-timer.C
				after, now := readProcesses(b), stats(b, fleet)
				for role, used := range usageSince(before, after) {
					b.ReportMetric(100*used.cpu.Seconds()/idleWindow.Seconds()/float64(used.processes), role+"-%cpu")
					b.ReportMetric(used.resident/float64(used.processes)/(1<<20), role+"-MiB")
				}
				b.ReportMetric(float64(now.PeerBytesOut-sent.PeerBytesOut)/idleWindow.Seconds(), "entry-out-B/s")
				b.ReportMetric(float64(now.PeerBytesIn-sent.PeerBytesIn)/idleWindow.Seconds(), "entry-in-B/s")
			}
		})
	}
}

// BenchmarkProcessRequest measures the processor time of an entry and an agent
// for a request with one stage, by the size of its input in bytes.
func BenchmarkProcessRequest(b *testing.B) {
	fleet := startProcesses(b, map[string]int{"service": 1})
	for _, size := range []int{256, 4096, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			input, err := json.Marshal(strings.Repeat("word ", size/5))
			assert.NilError(b, err)
			measureRequests(b, fleet, harness.Call{Pipeline: "service", Input: input}, 1)
		})
	}
}

// BenchmarkProcessTokens measures the processor time of an entry and an agent for
// a streamed answer, by the number of its tokens.
func BenchmarkProcessTokens(b *testing.B) {
	fleet := startProcesses(b, map[string]int{"engines": 1})
	for _, tokens := range []int{8, 16, 24} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			measureRequests(b, fleet, harness.Call{Pipeline: fmt.Sprintf("tokens-%d", tokens), Input: text(256), Stream: true}, tokens)
		})
	}
}

// measureRequests sends b.N requests and reports the processor time per request
// of the entry and of the agents.
func measureRequests(b *testing.B, fleet *harness.Fleet, call harness.Call, tokens int) {
	send := func() {
		reply := fleet.Send(b.Context(), 0, call)
		assert.Check(b, reply.Err == nil && reply.Outcome() == api.OutcomeAnswered, "%v %s", reply.Err, reply.Body)
		assert.Check(b, tokens == 1 || len(reply.Events) == tokens+1, "%d events", len(reply.Events))
	}
	send()
	before := readProcesses(b)
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range work {
				send()
			}
		})
	}
	group.Wait()
	for role, used := range usageSince(before, readProcesses(b)) {
		b.ReportMetric(float64(used.cpu.Microseconds())/float64(b.N), role+"-µs/req")
	}
}

// process is a child process.
type process struct {
	role string
	cpu  time.Duration
	// resident is the resident memory in bytes.
	resident float64
}

// roleUsage is the processor time that all processes of a role used between two
// readings, and their resident memory in bytes at the second.
type roleUsage struct {
	processes int
	cpu       time.Duration
	resident  float64
}

// usageSince returns the usage between two readings, by role.
func usageSince(before, after map[string]process) map[string]roleUsage {
	sum := make(map[string]roleUsage)
	for pid, p := range after {
		s := sum[p.role]
		s.processes++
		s.cpu += p.cpu - before[pid].cpu
		s.resident += p.resident
		sum[p.role] = s
	}
	return sum
}

// readProcesses returns the entries and agents among the child processes, by
// their directory in /proc.
func readProcesses(tb testing.TB) map[string]process {
	tb.Helper()
	found := make(map[string]process)
	dirs, err := filepath.Glob("/proc/[0-9]*")
	assert.NilError(tb, err)
	for _, dir := range dirs {
		status, err := os.ReadFile(filepath.Join(dir, "status"))
		if err != nil || field(status, "PPid:") != strconv.Itoa(os.Getpid()) {
			continue
		}
		role, ok := strings.CutPrefix(field(status, "Name:"), "mangostage-")
		if !ok {
			continue
		}
		resident, err := strconv.ParseFloat(field(status, "VmRSS:"), 64)
		assert.NilError(tb, err)
		// The kernel truncates names to 15 bytes.
		role = map[string]string{"entr": "entry", "agen": "agent"}[role[:4]]
		found[dir] = process{role: role, cpu: cpuTime(tb, dir), resident: resident * 1024}
	}
	return found
}

// cpuTime returns the total processor time of the process's threads, as counted
// by the scheduler.
func cpuTime(tb testing.TB, dir string) time.Duration {
	tb.Helper()
	threads, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	assert.NilError(tb, err)
	var sum time.Duration
	for _, thread := range threads {
		line, err := os.ReadFile(thread)
		assert.NilError(tb, err)
		ns, err := strconv.ParseInt(strings.Fields(string(line))[0], 10, 64)
		assert.NilError(tb, err)
		sum += time.Duration(ns)
	}
	return sum
}

// field returns the first word after name in a /proc status file, or an empty
// string.
func field(status []byte, name string) string {
	_, rest, _ := strings.Cut(string(status), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

// stats returns the membership statistics of the first entry.
func stats(tb testing.TB, fleet *harness.Fleet) member.StatsSnapshot {
	tb.Helper()
	reply := fleet.Get(tb.Context(), 0, "/debug/vars", "")
	assert.NilError(tb, reply.Err)
	var vars struct {
		Member member.StatsSnapshot `json:"member"`
	}
	assert.NilError(tb, json.Unmarshal(reply.Body, &vars))
	return vars.Member
}

// cpuClock measures the processor time of this process since startCPU.
type cpuClock struct{ start time.Duration }

func startCPU() cpuClock { return cpuClock{ownCPU()} }

func (c cpuClock) report(b *testing.B, n int) {
	b.ReportMetric(float64((ownCPU()-c.start).Nanoseconds())/float64(n), "cpu-ns/op")
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
