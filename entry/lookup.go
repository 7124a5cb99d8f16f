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

// tell merges what is known of a request into its story.
//
// A held ID can be sent through several entries, and "refused" is true of one
// sending at its time. It guards against saying so of the request: one sending
// is refused, the next runs, then its entry and its agent die, and all that is
// left is the refusal. Only the agent runs that the ID is bound to could have
// executed it, so without the word of each of them the outcome is unknown.
func (e *Entry) tell(ctx context.Context, id string, fields reqid.Fields) ([]ledger.Part, ledger.Story) {
	parts := e.gather(ctx, id)
	gone := e.goneExecutors(fields, parts)
	parts = append(parts, gone...)
	story := ledger.Merge(id, parts...)
	if story.Outcome == api.OutcomeRefused && len(gone) > 0 {
		story.Outcome = api.OutcomeUnknown
		story.Verdict = "unknown: a sending was refused, but another may have run on " + gone[0].Process + ", which cannot be asked"
	}
	return parts, story
}

// goneExecutors lists the agent runs that a held ID is bound to and that did
// not give their part.
func (e *Entry) goneExecutors(fields reqid.Fields, parts []ledger.Part) []ledger.Part {
	if fields.Kind != wire.IdentityHeld {
		return nil
	}
	asked := make(map[string]bool)
	for _, part := range parts {
		asked[part.Process] = part.Missing == ""
	}
	there := make(map[string]bool)
	for _, conn := range e.members.Agents() {
		p := conn.Peer().Process
		there[p.Incarnation] = asked[p.Name]
	}
	var gone []ledger.Part
	for _, b := range fields.Bindings {
		if !there[b.Incarnation] {
			gone = append(gone, ledger.Part{Process: b.Agent, Missing: "its run " + b.Incarnation + ", the only one that could execute the request, is gone"})
		}
	}
	return gone
}

// requestState is what a caller is told of one of its requests.
type requestState struct {
	RequestID string      `json:"request_id"`
	Outcome   api.Outcome `json:"outcome"`
	// Detail says what the outcome rests on.
	Detail string `json:"detail,omitempty"`
}

func (e *Entry) lookUp(w http.ResponseWriter, r *http.Request) {
	_, account := e.authenticate(w, r)
	if account == nil {
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
		_, story := e.tell(r.Context(), id, fields)
		state.Outcome = story.Outcome
		state.Detail = story.Verdict
	}
	setReplyHeaders(w.Header(), id, state.Outcome, 0)
	writeJSON(w, http.StatusOK, state)
}
