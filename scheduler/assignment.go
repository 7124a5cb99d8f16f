package scheduler

import (
	"time"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/quarantine"
)

// assignment is a message from the owner of the queue to a member that makes its calls.
type assignment struct {
	Calls []assignedCall `json:"calls,omitempty"`
	Frees []assignedFree `json:"frees,omitempty"`
}

// assignedCall is a dispatch.StartCall whose pieces of one stage stand together: they have the same
// inputs, which are most of a call.
type assignedCall struct {
	Call     uint64        `json:"c"`
	Service  string        `json:"n"`
	Endpoint string        `json:"i"`
	Key      string        `json:"k"`
	Addr     string        `json:"a"`
	Timeout  time.Duration `json:"t"`
	Waiting  int           `json:"w,omitempty"`
	Speed    float64       `json:"s,omitempty"`
	Suspect  bool          `json:"u,omitempty"`
	Pieces   []stagePieces `json:"p"`
}

// stagePieces are pieces of one stage of a job.
type stagePieces struct {
	Request   string             `json:"r"`
	Content   quarantine.Content `json:"c,omitempty"`
	Stage     int                `json:"s,omitempty"`
	Indices   []int              `json:"x"`
	Remaining time.Duration      `json:"t"`
	Key       string             `json:"k,omitempty"`
	Inputs    []string           `json:"i,omitempty"`
}

// assignedFree is a dispatch.Free.
type assignedFree struct {
	ID       uint64   `json:"c"`
	Endpoint string   `json:"i"`
	Key      string   `json:"k"`
	Addr     string   `json:"a"`
	Handles  []string `json:"h"`
}

// assign returns the assignment of a call.
func assign(e dispatch.StartCall) assignedCall {
	c := assignedCall{
		Call: e.Call, Service: e.Service, Endpoint: e.Endpoint, Key: e.Key, Addr: e.Addr,
		Timeout: e.Timeout, Waiting: e.Waiting, Speed: e.Speed, Suspect: e.Suspect,
	}
	for _, p := range e.Pieces {
		last := len(c.Pieces) - 1
		if last >= 0 && c.Pieces[last].Request == p.Request && c.Pieces[last].Stage == p.Stage {
			c.Pieces[last].Indices = append(c.Pieces[last].Indices, p.Index)
			continue
		}
		c.Pieces = append(c.Pieces, stagePieces{
			Request: p.Request, Content: p.Content, Stage: p.Stage, Indices: []int{p.Index}, Remaining: p.Remaining, Key: p.Key, Inputs: p.Inputs,
		})
	}
	return c
}

// startCall returns the call, with its pieces in their order.
func (c assignedCall) startCall() dispatch.StartCall {
	e := dispatch.StartCall{
		Call: c.Call, Service: c.Service, Endpoint: c.Endpoint, Key: c.Key, Addr: c.Addr,
		Timeout: c.Timeout, Waiting: c.Waiting, Speed: c.Speed, Suspect: c.Suspect,
	}
	for _, p := range c.Pieces {
		for _, index := range p.Indices {
			e.Pieces = append(e.Pieces, dispatch.Piece{
				Request: p.Request, Content: p.Content, Stage: p.Stage, Index: index, Remaining: p.Remaining, Key: p.Key, Inputs: p.Inputs,
			})
		}
	}
	return e
}

// free returns the release of results.
func (f assignedFree) free() dispatch.Free {
	return dispatch.Free{ID: f.ID, Endpoint: f.Endpoint, Key: f.Key, Addr: f.Addr, Handles: f.Handles}
}
