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

// gathered is one process's part of an account.
type gathered struct {
	process string
	records []ledger.Record
	err     error
}

// gather asks every process this entry is connected to for its records of a
// request, and adds its own.
func (e *Entry) gather(ctx context.Context, id string) []gathered {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	conns := append(e.members.Entries(), e.members.Agents()...)
	parts := make([]gathered, len(conns)+1)
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			parts[i] = fetchRecords(ctx, conn, id)
		}()
	}
	wg.Wait()
	parts[len(conns)] = gathered{process: e.cfg.Process.Name, records: e.cfg.Records.Get(id)}
	return parts
}

func fetchRecords(ctx context.Context, conn *peer.Conn, id string) gathered {
	part := gathered{process: conn.Peer().Process.Name}
	part.err = conn.Call(ctx, wire.MethodRecords, wire.RecordsQuery{Request: id}, &part.records)
	return part
}

// requestState is what a caller is told of one of its requests.
type requestState struct {
	RequestID string      `json:"request_id"`
	Outcome   api.Outcome `json:"outcome"`
	Reason    api.Reason  `json:"reason,omitempty"`
	// Detail says what is missing when the outcome is not known.
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
		state = finalState(id, e.gather(r.Context(), id))
	}
	setReplyHeaders(w.Header(), id, state.Outcome, 0)
	writeJSON(w, http.StatusOK, state)
}

// finalState reads the outcome off the records. Where no process holds the
// final one, the outcome is unknown: an absent record proves nothing.
func finalState(id string, parts []gathered) requestState {
	state := requestState{RequestID: id, Outcome: api.OutcomeUnknown, Detail: "no process that answered holds the final record"}
	var latest time.Time
	for _, part := range parts {
		for _, r := range part.records {
			if r.Kind != ledger.KindFinal || r.At.Before(latest) {
				continue
			}
			latest = r.At
			state = requestState{RequestID: id, Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail}
		}
	}
	return state
}
