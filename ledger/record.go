// Package ledger keeps, in bounded memory, a process's own records of requests,
// and merges the records of several processes into one timeline per request.
package ledger

import (
	"time"

	"github.com/mangostage/mangostage/api"
)

// Kind is the kind of event that a record describes.
type Kind string

// The kinds of record, in the usual order for a request.
const (
	KindAdmitted Kind = "admitted"
	KindRouted   Kind = "routed"
	KindReceived Kind = "received"
	KindStarted  Kind = "started"
	KindFinished Kind = "finished"
	KindRefused  Kind = "refused"
	KindRevoked  Kind = "revoked"
	KindFinal    Kind = "final"
	// KindDropped is a late or duplicate result that was discarded.
	KindDropped Kind = "dropped"
)

// Record is one event of a request, recorded by the process in which it happened.
type Record struct {
	Request  string         `json:"request"`
	At       time.Time      `json:"at"`
	Process  string         `json:"process"`
	Kind     Kind           `json:"kind"`
	Account  string         `json:"account,omitempty"`
	Pipeline string         `json:"pipeline,omitempty"`
	Stage    string         `json:"stage,omitempty"`
	Endpoint string         `json:"endpoint,omitempty"`
	Entry    string         `json:"entry,omitempty"`
	Attempt  int            `json:"attempt,omitempty"`
	State    api.StageState `json:"state,omitempty"`
	Outcome  api.Outcome    `json:"outcome,omitempty"`
	Reason   api.Reason     `json:"reason,omitempty"`
	Detail   string         `json:"detail,omitempty"`
	Duration time.Duration  `json:"took_ns,omitempty"`
	Cost     time.Duration  `json:"cost_ns,omitempty"`
}
