package order

import "time"

const (
	// versionShift is the number of bits for milliseconds; 40 bits last 34
	// years.
	versionShift = 40
	timeMask     = 1<<versionShift - 1
)

// fenceEpoch is the time zero of the milliseconds in fencing numbers.
var fenceEpoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// fence returns the fencing number of the n-th order of a process that began at
// start, given under a bundle version. Numbers grow with the version, then with
// the start of the process, then with each order, so that an engine which has
// executed an order of one process refuses those of its predecessor. Each order
// counts as one millisecond: a successor that began later is ahead of a
// predecessor that sent fewer than a thousand orders a second.
func fence(version uint64, start time.Time, n uint64) uint64 {
	began := uint64(max(0, start.Sub(fenceEpoch).Milliseconds()))
	return version<<versionShift | ((began + n) & timeMask)
}
