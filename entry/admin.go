package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/member"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/wire"
)

// Explanation holds the records of a request from an entry and all processes
// that it can reach.
type Explanation struct {
	Request string `json:"request"`
	// Issuer is the entry that minted the ID. Account and Pipeline are the ones
	// it was minted for.
	Issuer   string          `json:"issuer"`
	Account  string          `json:"account"`
	Pipeline string          `json:"pipeline"`
	Parts    []ledger.Part   `json:"parts"`
	Timeline ledger.Timeline `json:"story"`
}

func (e *Entry) explain(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, paramID)
	fields, err := reqid.Parse(e.cfg.FleetKeys, id)
	if err != nil {
		e.reject(w, api.ReasonNotFound, "this is not a request ID of this fleet")
		return
	}
	parts, story := e.mergeRecords(r.Context(), id, fields)
	writeJSON(w, http.StatusOK, Explanation{
		Request:  id,
		Issuer:   fields.Entry,
		Account:  fields.Account,
		Pipeline: fields.Pipeline,
		Parts:    parts,
		Timeline: story,
	})
}

// unreachableParts lists the members that this entry is not connected to.
func (e *Entry) unreachableParts() []ledger.Part {
	var parts []ledger.Part
	for _, m := range e.members.View().Members {
		if m.Connected || memberName(m) == e.cfg.Process.Name {
			continue
		}
		parts = append(parts, ledger.Part{Process: memberName(m), Missing: "not connected: " + string(m.State)})
	}
	return parts
}

func memberName(m member.Member) string {
	if m.Process.Name != "" {
		return m.Process.Name
	}
	return m.VM.Name
}

// ProcessStatus is the status of one process, or the reason why it is missing.
type ProcessStatus struct {
	Process string       `json:"process"`
	Status  *wire.Status `json:"status,omitempty"`
	Missing string       `json:"missing,omitempty"`
}

func (e *Entry) status(w http.ResponseWriter, r *http.Request) {
	own := e.Status()
	list := []ProcessStatus{{Process: e.cfg.Process.Name, Status: &own}}
	list = append(list, e.gatherStatus(r.Context())...)
	for _, p := range e.unreachableParts() {
		list = append(list, ProcessStatus{Process: p.Process, Missing: p.Missing})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) gatherStatus(ctx context.Context) []ProcessStatus {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	conns := append(e.members.Entries(), e.members.Agents()...)
	list := make([]ProcessStatus, len(conns))
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list[i] = fetchStatus(ctx, conn)
		}()
	}
	wg.Wait()
	return list
}

func fetchStatus(ctx context.Context, conn *peer.Conn) ProcessStatus {
	p := ProcessStatus{Process: conn.Peer().Process.Name}
	var status wire.Status
	if err := conn.Call(ctx, wire.MethodStatus, struct{}{}, &status); err != nil {
		p.Missing = err.Error()
		return p
	}
	p.Status = &status
	return p
}
