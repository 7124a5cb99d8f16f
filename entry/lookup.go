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

// gatherTimeout bounds the wait for the replies of other processes. Those that
// do not answer in time are shown as missing.
const gatherTimeout = time.Second

// gatherRecords collects the records of a request from this entry and from every
// process that it is connected to. Processes that cannot be asked are listed as missing.
func (e *Entry) gatherRecords(ctx context.Context, id string) []ledger.Part {
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
	return append(parts, e.unreachableParts()...)
}

func fetchRecords(ctx context.Context, conn *peer.Conn, id string) ledger.Part {
	part := ledger.Part{Process: conn.Peer().Process.Name}
	if err := conn.Call(ctx, wire.MethodRecords, wire.RecordsQuery{Request: id}, &part.Records); err != nil {
		part.Missing = err.Error()
	}
	return part
}

// mergeRecords gathers the records of a request and merges them into a timeline.
//
// A request with a held ID can be submitted through several entries, and a
// refusal applies to one submission only. If one submission is refused, the next
// one runs and then its entry and agent die, only the refusal is left. Only the
// agent runs that the ID is bound to could have executed the request, so unless
// each of them answers, a refusal is reported as unknown.
func (e *Entry) mergeRecords(ctx context.Context, id string, fields reqid.Fields) ([]ledger.Part, ledger.Timeline) {
	parts := e.gatherRecords(ctx, id)
	missing := e.missingExecutors(fields, parts)
	parts = append(parts, missing...)
	story := ledger.Merge(id, parts...)
	if story.Outcome == api.OutcomeRefused && len(missing) > 0 {
		story.Outcome = api.OutcomeUnknown
		story.Verdict = "unknown: a sending was refused, but another may have run on " + missing[0].Process + ", which cannot be asked"
	}
	return parts, story
}

// missingExecutors lists the agent runs that a held ID is bound to and that did
// not return their records.
func (e *Entry) missingExecutors(fields reqid.Fields, parts []ledger.Part) []ledger.Part {
	if fields.Kind != wire.IdentityHeld {
		return nil
	}
	answeredProcesses := make(map[string]bool)
	for _, part := range parts {
		answeredProcesses[part.Process] = part.Missing == ""
	}
	answeredRuns := make(map[string]bool)
	for _, conn := range e.members.Agents() {
		p := conn.Peer().Process
		answeredRuns[p.Incarnation] = answeredProcesses[p.Name]
	}
	var missing []ledger.Part
	for _, b := range fields.Bindings {
		if !answeredRuns[b.Incarnation] {
			missing = append(missing, ledger.Part{Process: b.Agent, Missing: "its run " + b.Incarnation + ", the only one that could execute the request, is gone"})
		}
	}
	return missing
}

// requestState is the reply to a caller's look-up of one of its requests.
type requestState struct {
	RequestID string      `json:"request_id"`
	Outcome   api.Outcome `json:"outcome"`
	// Detail says what the outcome is based on.
	Detail string `json:"detail,omitempty"`
}

// lookUp serves the outcome of a request to the account that sent it.
func (e *Entry) lookUp(w http.ResponseWriter, r *http.Request) {
	_, account := e.authenticate(w, r)
	if account == nil {
		return
	}
	id := chi.URLParam(r, paramID)
	fields, err := reqid.Parse(e.cfg.FleetKeys, id)
	// The ID of another account's request gets the same answer as one that does
	// not exist, so that callers cannot probe for other accounts' requests.
	if err != nil || fields.Account != account.Name {
		e.reject(w, api.ReasonNotFound, "there is no such request of this account")
		return
	}
	state := requestState{RequestID: id, Outcome: api.OutcomePending}
	if !e.waiters.inFlight(id) {
		_, story := e.mergeRecords(r.Context(), id, fields)
		state.Outcome = story.Outcome
		state.Detail = story.Verdict
	}
	setReplyHeaders(w.Header(), id, state.Outcome, 0)
	writeJSON(w, http.StatusOK, state)
}
