package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/wire"
)

// gatherTimeout bounds the wait for other processes' records; those that do
// not answer in time are shown as missing.
const gatherTimeout = time.Second

// gather asks every process this entry is connected to for its records of a
// request, and adds its own.
func (e *Entry) gather(ctx context.Context, id string) []ledger.Part {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	conns := append(e.members.Entries(), e.members.Agents()...)
	parts := make([]ledger.Part, len(conns)+1)
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			parts[i] = fetchRecords(ctx, conn, id)
		}()
	}
	wg.Wait()
	parts[len(conns)] = ledger.Part{Process: e.cfg.Process.Name, Records: e.cfg.Records.Get(id)}
	return append(parts, e.unreachable()...)
}

func fetchRecords(ctx context.Context, conn *peer.Conn, id string) ledger.Part {
	part := ledger.Part{Process: conn.Peer().Process.Name}
	if err := conn.Call(ctx, wire.MethodRecords, wire.RecordsQuery{Request: id}, &part.Records); err != nil {
		part.Missing = err.Error()
	}
	return part
}

// requestState is what a caller is told of one of its requests.
type requestState struct {
	RequestID string      `json:"request_id"`
	Outcome   api.Outcome `json:"outcome"`
	// Detail says what the outcome rests on.
	Detail string `json:"detail,omitempty"`
}

func (e *Entry) lookUp(w http.ResponseWriter, r *http.Request) {
	g := e.current.Load()
	if g == nil {
		e.reject(w, api.ReasonNoBundle, "")
		return
	}
	account := g.creds.account(r)
	if account == nil {
		e.reject(w, api.ReasonUnauthorized, "a client account's credential is required")
		return
	}
	id := chi.URLParam(r, paramID)
	fields, err := reqid.Parse(e.cfg.FleetKeys, id)
	// A foreign ID is answered like one that does not exist, so that nobody
	// learns of another account's requests.
	if err != nil || fields.Account != account.Name {
		e.reject(w, api.ReasonNotFound, "there is no such request of this account")
		return
	}
	state := requestState{RequestID: id, Outcome: api.OutcomePending}
	if !e.waiters.pending(id) {
		story := ledger.Merge(id, e.gather(r.Context(), id)...)
		state.Outcome = story.Outcome
		state.Detail = story.Verdict
	}
	setReplyHeaders(w.Header(), id, state.Outcome, 0)
	writeJSON(w, http.StatusOK, state)
}
