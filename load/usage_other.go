//go:build !unix

package load

import "time"

// processorTime is not measured here.
func processorTime() time.Duration { return 0 }
