package cputime

import (
	"runtime/metrics"
	"time"
)

// gcMetric is the runtime's estimate of the processor time that garbage collection has used.
const gcMetric = "/cpu/classes/gc/total:cpu-seconds"

// GC returns the processor time that garbage collection has used, as of the latest collection.
func GC() time.Duration {
	sample := []metrics.Sample{{Name: gcMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(sample[0].Value.Float64() * float64(time.Second))
}
