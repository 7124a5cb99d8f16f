//go:build !unix

package load

import "time"

// processCPUTime returns zero: CPU time is not measured on this platform.
func processCPUTime() time.Duration { return 0 }
