// Package ledger keeps, in bounded memory, what a process knows first-hand
// about requests, and merges the parts of several processes into one account.
package ledger

import (
	"time"

	"github.com/mangostage/mangostage/api"
)

// Kind tells what a record says.
type Kind string

// The kinds of record, in the order a request usually meets them.
const (
	KindAdmitted Kind = "admitted"
	KindRouted   Kind = "routed"
	KindReceived Kind = "received"
	KindStarted  Kind = "started"
	KindFinished Kind = "finished"
	KindRefused  Kind = "refused"
	KindRevoked  Kind = "revoked"
	KindFinal    Kind = "final"
	// KindDropped is a late or repeated result that was not used.
	KindDropped Kind = "dropped"
)

// Record is one first-hand fact about a request.
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
	Took     time.Duration  `json:"took_ns,omitempty"`
	Cost     time.Duration  `json:"cost_ns,omitempty"`
}
