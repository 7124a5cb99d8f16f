package load

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangostage/mangostage/internal/cputime"
)

// loadAverageFile has the machine's load averages on Linux.
const loadAverageFile = "/proc/loadavg"

// usageMeter measures the CPU time of this process and the machine's load average
// during a run.
type usageMeter struct {
	start   time.Time
	cpuTime time.Duration
	load    float64
}

func startUsage() usageMeter {
	return usageMeter{start: time.Now(), cpuTime: cputime.Used(), load: loadAverage()}
}

// usageResult is the result of a usageMeter. cores is the mean number of cores
// that this process kept busy.
type usageResult struct {
	cores              float64
	loadStart, loadEnd float64
}

func (u usageMeter) stop() usageResult {
	return usageResult{
		cores:     fraction(float64(cputime.Used()-u.cpuTime), float64(time.Since(u.start))),
		loadStart: u.load,
		loadEnd:   loadAverage(),
	}
}

func (u usageResult) addTo(d *Driver) {
	d.Cores, d.LoadAverageStart, d.LoadAverageEnd = u.cores, u.loadStart, u.loadEnd
}

// loadAverage returns the machine's load average over the last minute; zero where
// it is not available.
func loadAverage() float64 {
	data, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	average, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return average
}
