package scheduler

import (
	"slices"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
)

// callReport is the end of a call to an endpoint of a stage.
type callReport struct {
	Call  uint64             `json:"c"`
	Fault dispatch.CallFault `json:"f,omitempty"`
	// Handles name the results of the pieces, in their order; empty for one without. Faults says
	// why, by the index of the piece.
	Handles []string               `json:"h,omitempty"`
	Faults  map[int]dispatch.Fault `json:"e,omitempty"`
	// Signals is what the endpoint said about itself; nil if that was nothing.
	Signals *platform.Signals `json:"s,omitempty"`
}

// freeReport is the end of a release of results.
type freeReport struct {
	ID      uint64            `json:"c"`
	OK      bool              `json:"ok,omitempty"`
	Signals *platform.Signals `json:"s,omitempty"`
}

// noSignals are the signals of an answer to a call that has none of their headers. Those of a release
// of results are zero.
var noSignals = platform.Signals{Rate: platform.RequestRate{Known: true}}

// packSignals returns what an endpoint said; nil for none.
func packSignals(said, none platform.Signals) *platform.Signals {
	if said == none {
		return nil
	}
	return &said
}

// unpackSignals is the inverse of packSignals.
func unpackSignals(packed *platform.Signals, none platform.Signals) platform.Signals {
	if packed == nil {
		return none
	}
	return *packed
}

// knownFaults are the faults of calls that members report.
var knownFaults = []dispatch.CallFault{
	dispatch.CallOK, dispatch.CallRefused, dispatch.CallLost, dispatch.CallOtherIncarnation,
}

// newCallReport returns the end of a call with an endpoint's answer.
func newCallReport(call uint64, fault dispatch.CallFault, reply platform.StageReply) callReport {
	r := callReport{Call: call, Fault: fault, Handles: make([]string, len(reply.Results)), Signals: packSignals(reply.Signals, noSignals)}
	for i, result := range reply.Results {
		r.Handles[i] = result.Handle
		if f := pieceFault(result); f != dispatch.FaultNone {
			r.addFault(i, f)
		}
	}
	return r
}

// addFault records why a piece has no result.
func (r *callReport) addFault(piece int, f dispatch.Fault) {
	if r.Faults == nil {
		r.Faults = make(map[int]dispatch.Fault)
	}
	r.Faults[piece] = f
}

// checked returns the report on a call for a number of pieces. One that does not fit the call, as from
// a member of another build, says nothing: the call counts as lost.
func (r callReport) checked(pieces int) callReport {
	fits := r.Fault != dispatch.CallOK || len(r.Handles) == pieces
	if !fits || !slices.Contains(knownFaults, r.Fault) {
		return callReport{Call: r.Call, Fault: dispatch.CallLost}
	}
	return r
}

// outcomes returns what became of the pieces.
func (r callReport) outcomes() []dispatch.Outcome {
	outcomes := make([]dispatch.Outcome, len(r.Handles))
	for i, handle := range r.Handles {
		outcomes[i] = dispatch.Outcome{Handle: handle, Fault: r.Faults[i]}
	}
	return outcomes
}
