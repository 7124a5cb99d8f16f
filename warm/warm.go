// Package warm limits the request rate to cold endpoints. An endpoint that has
// just started is slow, and crashes if it gets requests at a rate well above
// the one that its service specifies. The rate is divided among the members of
// a fleet without coordination: the owner of the queue and each member that
// picks endpoints itself keep to shares that add up to it. It does no I/O.
package warm

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// OwnerShare is the share of the rate that the owner of the queue may use.
	// Two owners at once, as during a change of owner, add up to little more
	// than the rate; endpoints tolerate one and a half times the rate.
	OwnerShare = 0.6
	// allPickersShare is the share that all members together may use for
	// endpoints of a queue's service that they pick themselves because the
	// endpoint chosen by the owner is gone.
	allPickersShare = 1 - OwnerShare
	// rateWindow is the time over which requests are counted: one second, as
	// the rate is per second, and a margin in case the first requests of a
	// window take longer to arrive than the last.
	rateWindow = 1100 * time.Millisecond
)

// PickerShare returns the share of the rate for each of members that pick
// endpoints themselves; queued is true if the owner of a queue sends to the
// same endpoints.
func PickerShare(members int, queued bool) float64 {
	share := 1 / float64(max(1, members))
	if queued {
		share *= allPickersShare
	}
	return share
}

// fleetSizeWindow is at least how long a larger fleet size is remembered: many
// times as long as endpoints are cold.
const fleetSizeWindow = 30 * time.Second

// FleetSize tracks the largest recent size of the fleet. Otherwise a member that
// has lost sight of the others, because its link or theirs failed, would take
// itself for the whole fleet and use the whole rate, while the others send as
// before. The zero value has seen no member. It is not safe for concurrent use.
type FleetSize struct {
	// maxSize is the largest size since windowStart, prevMaxSize that of the
	// window before.
	maxSize, prevMaxSize int
	windowStart          time.Time
}

// Update records the number of live members and returns the largest recent
// number.
func (f *FleetSize) Update(now time.Time, live int) int {
	if now.Sub(f.windowStart) >= fleetSizeWindow {
		f.prevMaxSize, f.maxSize, f.windowStart = f.maxSize, 0, now
	}
	f.maxSize = max(f.maxSize, live)
	return max(f.maxSize, f.prevMaxSize)
}

// Limiter limits the requests of one process to one cold endpoint. The zero value
// has sent nothing. It is not safe for concurrent use.
type Limiter struct {
	// sent holds the times of the latest requests, at most as many as the rate
	// allows in a window.
	sent []time.Time
	// coldUntil is the end of the cold period for which firstAllowed applies.
	coldUntil time.Time
	// firstAllowed is when a process whose share is less than one request per
	// window may send its first request.
	firstAllowed time.Time
}

// Allow reports whether a process with that share of the rate may send a
// request to the endpoint. A share of less than one request per window makes
// the window longer. phase, from 0 to 1 and different in each process, is then
// the part of the window that the process waits before its first request;
// without it, all members of a fleet would send their first request at the same
// moment.
func (p *Limiter) Allow(now time.Time, e *catalog.Endpoint, share, phase float64) bool {
	if !e.Cold(now) || e.ColdRate <= 0 {
		return true
	}
	maxRequests, span := limit(e.ColdRate * share)
	if span > rateWindow {
		p.setFirstAllowed(now, e.ColdUntil, time.Duration(phase*float64(span)))
		if now.Before(p.firstAllowed) {
			return false
		}
	}
	n := len(p.sent)
	return n < maxRequests || now.Sub(p.sent[n-maxRequests]) >= span
}

// setFirstAllowed sets firstAllowed once per cold period.
func (p *Limiter) setFirstAllowed(now, until time.Time, wait time.Duration) {
	if now.After(p.coldUntil) {
		p.firstAllowed = now.Add(wait)
	}
	p.coldUntil = until
}

// limit returns how many requests a span may contain at a rate in requests per
// second; rate must be positive.
func limit(rate float64) (maxRequests int, span time.Duration) {
	if rate >= 1 {
		return int(rate), rateWindow
	}
	return 1, time.Duration(float64(rateWindow) / rate)
}

// Record counts a request to a cold endpoint; requests to a warm one are not
// counted.
func (p *Limiter) Record(now time.Time, e *catalog.Endpoint) {
	if !e.Cold(now) || e.ColdRate <= 0 {
		p.sent = nil
		return
	}
	maxRequests, _ := limit(e.ColdRate)
	p.sent = append(p.sent, now)
	if extra := len(p.sent) - maxRequests; extra > 0 {
		p.sent = append(p.sent[:0], p.sent[extra:]...)
	}
}
