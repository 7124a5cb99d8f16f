package integration

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/wire"
)

const (
	replyTimeout = 30 * time.Second

	// Pipelines and client accounts of the Brunnhofer example.
	catalogue  = "catalogue"
	orders     = "workshop-orders"
	billing    = "billing"
	assistant  = "fitting-assistant"
	chain      = "partner-chain-ostschweiz"
	otherChain = "partner-chain-bodensee"
	rheintal   = "partner-shops-rheintal"

	// entryLimit and catalogueLimit are the largest bodies in bytes: of an entry,
	// by its flag, and of a pipeline, by the bundle.
	entryLimit     = 8 << 10
	catalogueLimit = 1 << 10
	// secret is part of a request of another client account, and must appear in no
	// reply to others.
	secret = "prescription-of-somebody-else"
)

// smallFleet starts two entries and a few endpoints, with small body limits.
func smallFleet(t *testing.T) *harness.Fleet {
	return harness.Start(t, harness.Config{
		Pools:      map[string]int{catalogue: 1, orders: 2, billing: 1},
		EntryFlags: []string{"--max-body=8192"},
		Edit:       func(b *bundle.Bundle) { b.Pipeline(catalogue).MaxBody = catalogueLimit },
	})
}

// invalidCall is a call that the entry must reject with status and reason.
type invalidCall struct {
	name   string
	call   harness.Call
	status int
	reason api.Reason
}

// outcome returns "refused", or "unknown" for an expired ID: this submission does
// not run, but whether an earlier one with the same ID ran is no longer known.
func (m *invalidCall) outcome() api.Outcome {
	if m.reason == api.ReasonIDExpired {
		return api.OutcomeUnknown
	}
	return api.OutcomeRefused
}

// TestInvalidCallsAreRefusedBeforeAnyWork guards against invalid calls that run or
// reveal something. Each gets a problem document with its reason and a request ID,
// and no stage runs. Nothing of another client account shows, even to a caller that
// has one of its request IDs.
func TestInvalidCallsAreRefusedBeforeAnyWork(t *testing.T) {
	fleet := smallFleet(t)
	ctx := t.Context()
	answered := fleet.Send(ctx, 0, harness.Call{Pipeline: orders, Account: otherChain, Input: harness.Order(secret)})
	assert.Equal(t, answered.Outcome(), api.OutcomeAnswered, "%s", answered.Body)
	othersID, reply := fleet.HoldID(ctx, 0, otherChain, orders)
	assert.Assert(t, othersID != "", "%s", reply.Body)
	ordersID, _ := fleet.HoldID(ctx, 1, chain, orders)
	starts := fleet.TotalStarts()

	calls := invalidBodyCalls()
	calls = append(calls, invalidCallerCalls()...)
	calls = append(calls, invalidHeaderCalls()...)
	calls = append(calls, invalidIdentityCalls(fleet, othersID, ordersID, answered.RequestID())...)
	for i, m := range calls {
		t.Run(m.name, func(t *testing.T) {
			call := m.call
			if call.Account == "" {
				call.Account = chain
			}
			if call.Input == nil && call.Body == nil {
				call.Input = harness.Order("mistake")
			}
			checkProblem(t, fleet.Send(ctx, i%2, call), m.status, m.reason, m.outcome())
		})
	}
	assert.Equal(t, fleet.TotalStarts(), starts)
}

func invalidBodyCalls() []invalidCall {
	const bad, status = api.ReasonBadRequest, http.StatusBadRequest
	body := func(text string) harness.Call { return harness.Call{Pipeline: catalogue, Body: []byte(text)} }
	long := func(pipeline string, size int) harness.Call {
		return harness.Call{Pipeline: pipeline, Body: []byte(`{"input":"` + strings.Repeat("x", size) + `"}`)}
	}
	return []invalidCall{
		{"half a document", body(`{"input":`), status, bad},
		{"no JSON", body(`input=1`), status, bad},
		{"an empty body", body(``), status, bad},
		{"not an object", body(`[1]`), status, bad},
		{"no input", body(`{}`), status, bad},
		{"text behind the document", body(`{"input":1} {"input":2}`), status, bad},
		{"over the pipeline's limit", long(catalogue, catalogueLimit), http.StatusRequestEntityTooLarge, api.ReasonBodyTooLarge},
		{"over the entry's limit", long(orders, entryLimit), http.StatusRequestEntityTooLarge, api.ReasonBodyTooLarge},
	}
}

func invalidCallerCalls() []invalidCall {
	return []invalidCall{
		{"an unknown pipeline", harness.Call{Pipeline: "weaving"}, http.StatusNotFound, api.ReasonUnknownPipeline},
		{"a pipeline of others", harness.Call{Pipeline: billing, Account: rheintal}, http.StatusNotFound, api.ReasonUnknownPipeline},
		{"a wrong credential", harness.Call{Pipeline: catalogue, Credential: "dev-nobody"}, http.StatusUnauthorized, api.ReasonUnauthorized},
		{"an operator's credential", harness.Call{Pipeline: catalogue, Credential: "dev-operator"}, http.StatusUnauthorized, api.ReasonUnauthorized},
		{"an empty credential", harness.Call{Pipeline: catalogue, Credential: " "}, http.StatusUnauthorized, api.ReasonUnauthorized},
	}
}

func invalidHeaderCalls() []invalidCall {
	const bad, status = api.ReasonBadRequest, http.StatusBadRequest
	timeout := func(text string) harness.Call {
		return harness.Call{Pipeline: catalogue, Header: http.Header{api.HeaderTimeout: {text}}}
	}
	return []invalidCall{
		{"a timeout in words", timeout("soon"), status, bad},
		{"a timeout of nothing", timeout("0"), status, bad},
		{"a negative timeout", timeout("-5"), status, bad},
		{"a fractional timeout", timeout("1.5"), status, bad},
		{"an endless timeout", timeout("99999999999999999999"), status, bad},
		{"a key with a control character", harness.Call{Pipeline: orders, Key: "a\tb"}, status, bad},
		{"an endless key", harness.Call{Pipeline: orders, Key: strings.Repeat("k", 256)}, status, bad},
	}
}

func invalidIdentityCalls(fleet *harness.Fleet, othersID, ordersID, othersAnswered string) []invalidCall {
	const bad, status = api.ReasonBadRequest, http.StatusBadRequest
	held := func(id string) harness.Call { return harness.Call{Pipeline: orders, HeldID: id} }
	issued := time.Now().Add(-time.Hour)
	expired := fleet.MintID(reqid.Fields{
		Entry: "entry-1", Issued: issued, Random: reqid.NewRandom(), Account: chain, Pipeline: orders,
		Bindings: map[string]wire.Binding{"workshop-order": {Agent: "workshop-orders-1", Incarnation: "long gone"}},
		Expiry:   issued.Add(time.Minute), Kind: wire.IdentityHeld,
	})
	forged := ordersID[:len(ordersID)-1] + "A"
	if forged == ordersID {
		forged = ordersID[:len(ordersID)-1] + "Q"
	}
	otherPipeline := harness.Call{Pipeline: catalogue, HeldID: ordersID}
	twoNames := harness.Call{Pipeline: orders, HeldID: ordersID, Key: harness.NewKey()}
	return []invalidCall{
		{"another account's held ID", held(othersID), http.StatusForbidden, api.ReasonForeignRequestID},
		{"another account's request ID", held(othersAnswered), http.StatusForbidden, api.ReasonForeignRequestID},
		{"a held ID for another pipeline", otherPipeline, http.StatusForbidden, api.ReasonForeignRequestID},
		{"an expired ID", held(expired), http.StatusGone, api.ReasonIDExpired},
		{"an invented ID", held("mr1.AAAA.BBBB"), status, bad},
		{"a forged ID", held(forged), status, bad},
		{"an ID and a key", twoNames, status, bad},
	}
}

// checkRefusal checks for a complete problem document with the outcome "refused".
func checkRefusal(t *testing.T, reply *harness.Reply, status int, reason api.Reason) {
	t.Helper()
	checkProblem(t, reply, status, reason, api.OutcomeRefused)
}

// checkProblem checks for a complete problem document that names no stage and
// reveals nothing of another client account.
func checkProblem(t *testing.T, reply *harness.Reply, status int, reason api.Reason, outcome api.Outcome) {
	t.Helper()
	assert.NilError(t, reply.Err)
	assert.Equal(t, reply.Status, status, "%s", reply.Body)
	assert.Equal(t, reply.Header.Get("Content-Type"), "application/problem+json")
	p := reply.Problem
	assert.Equal(t, p.Reason, reason, "%s", reply.Body)
	assert.Equal(t, p.Outcome, outcome)
	assert.Equal(t, p.Status, status)
	assert.Equal(t, p.Type, api.ProblemTypePrefix+string(reason))
	assert.Assert(t, p.Title != "")
	assert.Assert(t, p.RequestID != "")
	assert.Equal(t, p.RequestID, reply.RequestID())
	assert.Equal(t, reply.Header.Get(api.HeaderOutcome), string(p.Outcome))
	assert.Assert(t, len(p.Stages) == 0, "%s", reply.Body)
	checkNoLeak(t, reply)
}

// checkNoLeak checks that a reply reveals nothing of another client account.
func checkNoLeak(t *testing.T, reply *harness.Reply) {
	t.Helper()
	for _, text := range []string{secret, otherChain} {
		assert.Assert(t, !strings.Contains(string(reply.Body), text), "%s", reply.Body)
	}
}

// TestLookupsRevealNothingOfOtherAccounts guards against lookups that reveal whether
// a request of another client account exists, and against access to operators' pages
// without an operator's credential.
func TestLookupsRevealNothingOfOtherAccounts(t *testing.T) {
	fleet := smallFleet(t)
	ctx := t.Context()
	answered := fleet.Send(ctx, 0, harness.Call{Pipeline: orders, Account: otherChain, Input: harness.Order(secret)})
	assert.Equal(t, answered.Outcome(), api.OutcomeAnswered, "%s", answered.Body)
	id := answered.RequestID()
	const own, operator = examples.CredentialPrefix + otherChain, examples.CredentialPrefix + "operator"
	const stranger = examples.CredentialPrefix + chain
	request, explain := "/v1/requests/"+id, "/admin/v1/requests/"+id+"/explain"

	for _, m := range []struct {
		path, credential string
		status           int
		reason           api.Reason
	}{
		{request, stranger, http.StatusNotFound, api.ReasonNotFound},
		{request, operator, http.StatusUnauthorized, api.ReasonUnauthorized},
		{request, "", http.StatusUnauthorized, api.ReasonUnauthorized},
		{request + "x", own, http.StatusNotFound, api.ReasonNotFound},
		{explain, own, http.StatusUnauthorized, api.ReasonUnauthorized},
		{explain, "", http.StatusUnauthorized, api.ReasonUnauthorized},
		{"/admin/v1/requests/nonsense/explain", operator, http.StatusNotFound, api.ReasonNotFound},
		{"/admin/v1/status", own, http.StatusUnauthorized, api.ReasonUnauthorized},
		{"/no/such/path", own, http.StatusNotFound, api.ReasonNotFound},
		{"/v1/request-ids", own, http.StatusMethodNotAllowed, api.ReasonBadRequest},
	} {
		for entry := range fleet.Entries() {
			checkRefusal(t, fleet.Get(ctx, entry, m.path, m.credential), m.status, m.reason)
		}
	}
	for entry := range fleet.Entries() {
		reply := fleet.Get(ctx, entry, request, own)
		assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
		explanation, err := fleet.Explain(ctx, entry, id)
		assert.NilError(t, err)
		assert.Equal(t, explanation.Account, otherChain)
	}
	starts := fleet.TotalStarts()
	_, reply := fleet.HoldID(ctx, 0, rheintal, billing)
	checkRefusal(t, reply, http.StatusNotFound, api.ReasonUnknownPipeline)
	assert.Equal(t, fleet.TotalStarts(), starts)
}

// TestInputReachesStagesUnchanged guards against inputs that are decoded and encoded
// again on their way: a JSON document may repeat a key, and its order of keys may
// matter to its reader. Stages must get the caller's input byte for byte.
func TestInputReachesStagesUnchanged(t *testing.T) {
	fleet := smallFleet(t)
	input := json.RawMessage(`{"z":1.50,"marker":"exact","a":{"y":"<é>","b":[]},"a":2}`)
	reply := fleet.Send(t.Context(), 0, harness.Call{Pipeline: catalogue, Input: input, Body: []byte(`{"input":` + string(input) + `}`)})
	assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
	assert.Equal(t, string(reply.Answer.Output), string(harness.Expect(fleet.Bundle, catalogue, input)))
}

// variables are those values of /debug/vars that requests change.
type variables struct {
	Entry entryVariables `json:"entry"`
}

type entryVariables struct {
	Answered int `json:"requests_answered"`
	Rejected int `json:"requests_rejected"`
	InFlight int `json:"requests_in_flight"`
}

// TestHealthReadinessAndMetrics checks health, readiness and metrics of an entry
// that has no bundle yet, and of one that serves.
func TestHealthReadinessAndMetrics(t *testing.T) {
	down, up := true, false
	fleet := harness.Start(t, harness.Config{
		Pools:  map[string]int{catalogue: 1},
		NoWait: true,
		Prepare: func(f *harness.Fleet) {
			f.Platform.Config.Apply(fake.ConfigControl{Down: &down})
		},
	})
	ctx := t.Context()
	harness.Wait(t, replyTimeout, func() error { return fleet.Get(ctx, 0, "/healthz", "").Err })
	assert.Equal(t, fleet.Get(ctx, 0, "/healthz", "").Status, http.StatusOK)
	assert.Equal(t, fleet.Get(ctx, 0, "/readyz", "").Status, http.StatusServiceUnavailable)
	reply := fleet.Send(ctx, 0, harness.Call{Pipeline: catalogue, Input: harness.Marker("early")})
	checkRefusal(t, reply, http.StatusServiceUnavailable, api.ReasonNoBundle)

	fleet.Platform.Config.Apply(fake.ConfigControl{Down: &up})
	fleet.WaitReady(replyTimeout)
	assert.Equal(t, fleet.Get(ctx, 0, "/readyz", "").Status, http.StatusOK)
	reply = fleet.Send(ctx, 0, harness.Call{Pipeline: catalogue, Input: harness.Marker("served")})
	assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
	var vars variables
	assert.NilError(t, json.Unmarshal(fleet.Get(ctx, 0, "/debug/vars", "").Body, &vars))
	assert.DeepEqual(t, vars, variables{Entry: entryVariables{Answered: 1, Rejected: 1}})
	assert.Equal(t, fleet.Runs("early"), 0)
}
