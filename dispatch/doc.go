// Package dispatch schedules the requests of a fleet: it decides when the pieces
// of their stages run, on which endpoint and in which batch, and which model
// engine finally serves each request.
//
// Core does no I/O: it takes events and the current time and returns effects. One
// process of the fleet owns the queue; its scheduler carries out the effects.
package dispatch

import "github.com/joomcode/errorx"

var errs = errorx.NewNamespace("dispatch")

// ErrDuplicate means that a job with the same ticket exists already.
var ErrDuplicate = errs.NewType("duplicate")
