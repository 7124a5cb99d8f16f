// Package warm keeps requests to cold endpoints within what they bear. An
// endpoint that has just started is slow, and crashes when it gets requests at a
// rate well above the one that its service names. The rate is shared out among
// the members of a fleet without a message between them: the owner of the queue
// and each member that picks endpoints itself keep to parts that add up to it.
// It does no I/O.
package warm

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// OwnerShare is the part of the rate that the owner of the queue may send.
	// Two owners at once, as when one takes over from another, add up to little
	// more than the rate, which endpoints bear half as much again of.
	OwnerShare = 0.6
	// pickersShare is the part that all members together may send to endpoints
	// of a queue's service that they pick themselves, when the owner's choice
	// has gone.
	pickersShare = 1 - OwnerShare
	// window is the time in which requests are counted: a second, in which the
	// rate is meant, and a margin for requests of which the first take longer on
	// their way than the last.
	window = 1100 * time.Millisecond
)

// PickerShare is the part of the rate of one of so many members that pick
// endpoints themselves; queued tells whether the queue's owner sends there too.
func PickerShare(members int, queued bool) float64 {
	share := 1 / float64(max(1, members))
	if queued {
		share *= pickersShare
	}
	return share
}

// sizeMemory is how long a larger fleet is remembered: many times as long as
// endpoints are cold.
const sizeMemory = 30 * time.Second

// Fleet remembers the size of the fleet. A member that has lost sight of the
// others, with its own link or theirs, would else take itself for the whole fleet,
// and its part for the whole rate, while the others send as before. The zero value
// knows of nobody. It is not safe for concurrent use.
type Fleet struct {
	// most is the largest size since began, before that of the span before.
	most, before int
	began        time.Time
}

// Size takes the number of members that live and returns the most of late.
func (f *Fleet) Size(now time.Time, live int) int {
	if now.Sub(f.began) >= sizeMemory {
		f.before, f.most, f.began = f.most, 0, now
	}
	f.most = max(f.most, live)
	return max(f.most, f.before)
}

// Pace is what one process has sent to one endpoint. The zero value has sent
// nothing. It is not safe for concurrent use.
type Pace struct {
	// sent are the times of the last requests, as many as a window may have.
	sent []time.Time
	// until is the end of the cold time for which from holds.
	until time.Time
	// from is when a process whose share is less than one request a window may
	// send the first.
	from time.Time
}

// Allows tells whether a request may be sent to the endpoint by a process with
// that share of its rate. A share that is less than a request in a window makes
// the window longer; phase, from 0 to 1 and another one in each process, is then
// the part of it that the process waits at first: without that all members of a
// fleet would send their first request at the same moment.
func (p *Pace) Allows(now time.Time, e *catalog.Endpoint, share, phase float64) bool {
	if !e.Cold(now) || e.ColdRate <= 0 {
		return true
	}
	most, span := limit(e.ColdRate * share)
	if span > window {
		p.begin(now, e.ColdUntil, time.Duration(phase*float64(span)))
		if now.Before(p.from) {
			return false
		}
	}
	n := len(p.sent)
	return n < most || now.Sub(p.sent[n-most]) >= span
}

// begin sets from, once for each time that the endpoint is cold.
func (p *Pace) begin(now, until time.Time, wait time.Duration) {
	if now.After(p.until) {
		p.from = now.Add(wait)
	}
	p.until = until
}

// limit returns how many requests a span may have at a rate in requests a
// second, which is above 0.
func limit(rate float64) (most int, span time.Duration) {
	if rate >= 1 {
		return int(rate), window
	}
	return 1, time.Duration(float64(window) / rate)
}

// Sent notes a request; those to a warm endpoint are not counted.
func (p *Pace) Sent(now time.Time, e *catalog.Endpoint) {
	if !e.Cold(now) || e.ColdRate <= 0 {
		p.sent = nil
		return
	}
	most, _ := limit(e.ColdRate)
	p.sent = append(p.sent, now)
	if extra := len(p.sent) - most; extra > 0 {
		p.sent = append(p.sent[:0], p.sent[extra:]...)
	}
}
