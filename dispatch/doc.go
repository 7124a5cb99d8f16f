// Package dispatch decides, for the requests of a fleet, when the pieces of
// their stages run, at which endpoint and in which batch, and which model
// engine takes the request in the end.
//
// Core does no I/O: events and the time go in, effects come out. One process
// of the fleet owns the queue; its shell carries the effects out.
package dispatch

import "github.com/joomcode/errorx"

var errs = errorx.NewNamespace("dispatch")

// ErrDuplicate means that a ticket is already known.
var ErrDuplicate = errs.NewType("duplicate")
