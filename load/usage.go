package load

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// loadAverageFile is where Linux tells the machine's load.
const loadAverageFile = "/proc/loadavg"

// usage measures what this process and its machine do during a run.
type usage struct {
	start     time.Time
	processor time.Duration
	load      float64
}

func startUsage() usage {
	return usage{start: time.Now(), processor: processorTime(), load: loadAverage()}
}

// used is the outcome of a usage.
type used struct {
	cores               float64
	loadStart, loadStop float64
}

func (u usage) stop() used {
	return used{
		cores:     share(float64(processorTime()-u.processor), float64(time.Since(u.start))),
		loadStart: u.load,
		loadStop:  loadAverage(),
	}
}

func (u used) addTo(d *Driver) {
	d.Cores, d.LoadAverageStart, d.LoadAverageEnd = u.cores, u.loadStart, u.loadStop
}

// loadAverage is the machine's over the last minute; zero where it is not told.
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
