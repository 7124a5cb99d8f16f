package order

import "time"

const (
	// versionShift leaves 40 bits for milliseconds, which last 34 years.
	versionShift = 40
	timeMask     = 1<<versionShift - 1
)

// fenceEpoch is when the millisecond part of fencing numbers begins.
var fenceEpoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// fence is the number of the n-th order under a bundle version by a process
// that began at start. It grows with the version, then with the start of the
// giver, then with each order, so that an engine which has obeyed a giver
// refuses its predecessor. Orders count as one millisecond each: a successor
// that began later is ahead of a predecessor that gave fewer than a thousand
// orders a second.
func fence(version uint64, start time.Time, n uint64) uint64 {
	began := uint64(max(0, start.Sub(fenceEpoch).Milliseconds()))
	return version<<versionShift | ((began + n) & timeMask)
}
