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
	replyWait = 30 * time.Second

	// Pipelines and accounts of the Brunnhofer example.
	catalogue  = "catalogue"
	orders     = "workshop-orders"
	billing    = "billing"
	assistant  = "fitting-assistant"
	chain      = "partner-chain-ostschweiz"
	otherChain = "partner-chain-bodensee"
	rheintal   = "partner-shops-rheintal"

	// entryLimit and catalogueLimit bound bodies, by flag and by bundle.
	entryLimit     = 8 << 10
	catalogueLimit = 1 << 10
	// secret stands in another account's request and must never show.
	secret = "prescription-of-somebody-else"
)

func smallFleet(t *testing.T) *harness.Fleet {
	return harness.Start(t, harness.Config{
		Pools:      map[string]int{catalogue: 1, orders: 2, billing: 1},
		EntryFlags: []string{"--max-body=8192"},
		Edit:       func(b *bundle.Bundle) { b.Pipeline(catalogue).MaxBody = catalogueLimit },
	})
}

// mistake is a call that the entry must turn away.
type mistake struct {
	name   string
	call   harness.Call
	status int
	reason api.Reason
}

// outcome is "refused" but for an expired ID: this sending is not run, and of
// an earlier one with the same ID nobody remembers whether it was.
func (m *mistake) outcome() api.Outcome {
	if m.reason == api.ReasonIDExpired {
		return api.OutcomeUnknown
	}
	return api.OutcomeRefused
}

// A caller that makes a mistake learns which, by a problem document with an
// ID that it can quote, and can rely on nothing having been run. Nothing of
// another account shows, also to a caller that has got hold of its request ID.
func TestMistakesAreRefusedBeforeAnyWork(t *testing.T) {
	fleet := smallFleet(t)
	ctx := t.Context()
	answered := fleet.Send(ctx, 0, harness.Call{Pipeline: orders, Account: otherChain, Input: harness.Order(secret)})
	assert.Equal(t, answered.Outcome(), api.OutcomeAnswered, "%s", answered.Body)
	othersID, reply := fleet.HoldID(ctx, 0, otherChain, orders)
	assert.Assert(t, othersID != "", "%s", reply.Body)
	ordersID, _ := fleet.HoldID(ctx, 1, chain, orders)
	starts := fleet.TotalStarts()

	mistakes := bodyMistakes()
	mistakes = append(mistakes, callerMistakes()...)
	mistakes = append(mistakes, headerMistakes()...)
	mistakes = append(mistakes, identityMistakes(fleet, othersID, ordersID, answered.RequestID())...)
	for i, m := range mistakes {
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

func bodyMistakes() []mistake {
	const bad, status = api.ReasonBadRequest, http.StatusBadRequest
	body := func(text string) harness.Call { return harness.Call{Pipeline: catalogue, Body: []byte(text)} }
	long := func(pipeline string, size int) harness.Call {
		return harness.Call{Pipeline: pipeline, Body: []byte(`{"input":"` + strings.Repeat("x", size) + `"}`)}
	}
	return []mistake{
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

func callerMistakes() []mistake {
	return []mistake{
		{"an unknown pipeline", harness.Call{Pipeline: "weaving"}, http.StatusNotFound, api.ReasonUnknownPipeline},
		{"a pipeline of others", harness.Call{Pipeline: billing, Account: rheintal}, http.StatusNotFound, api.ReasonUnknownPipeline},
		{"a wrong credential", harness.Call{Pipeline: catalogue, Credential: "dev-nobody"}, http.StatusUnauthorized, api.ReasonUnauthorized},
		{"an operator's credential", harness.Call{Pipeline: catalogue, Credential: "dev-operator"}, http.StatusUnauthorized, api.ReasonUnauthorized},
		{"an empty credential", harness.Call{Pipeline: catalogue, Credential: " "}, http.StatusUnauthorized, api.ReasonUnauthorized},
	}
}

func headerMistakes() []mistake {
	const bad, status = api.ReasonBadRequest, http.StatusBadRequest
	timeout := func(text string) harness.Call {
		return harness.Call{Pipeline: catalogue, Header: http.Header{api.HeaderTimeout: {text}}}
	}
	return []mistake{
		{"a timeout in words", timeout("soon"), status, bad},
		{"a timeout of nothing", timeout("0"), status, bad},
		{"a negative timeout", timeout("-5"), status, bad},
		{"a fractional timeout", timeout("1.5"), status, bad},
		{"an endless timeout", timeout("99999999999999999999"), status, bad},
		{"a key with a control character", harness.Call{Pipeline: orders, Key: "a\tb"}, status, bad},
		{"an endless key", harness.Call{Pipeline: orders, Key: strings.Repeat("k", 256)}, status, bad},
	}
}

func identityMistakes(fleet *harness.Fleet, othersID, ordersID, othersAnswered string) []mistake {
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
	return []mistake{
		{"another account's held ID", held(othersID), http.StatusForbidden, api.ReasonForeignRequestID},
		{"another account's request ID", held(othersAnswered), http.StatusForbidden, api.ReasonForeignRequestID},
		{"a held ID for another pipeline", otherPipeline, http.StatusForbidden, api.ReasonForeignRequestID},
		{"an expired ID", held(expired), http.StatusGone, api.ReasonIDExpired},
		{"an invented ID", held("mr1.AAAA.BBBB"), status, bad},
		{"a forged ID", held(forged), status, bad},
		{"an ID and a key", twoNames, status, bad},
	}
}

// checkRefusal finds a complete problem document that says "not run".
func checkRefusal(t *testing.T, reply *harness.Reply, status int, reason api.Reason) {
	t.Helper()
	checkProblem(t, reply, status, reason, api.OutcomeRefused)
}

// checkProblem finds a complete problem document that tells of no stage and of
// no other account.
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
	checkDiscreet(t, reply)
}

// checkDiscreet finds nothing of another account.
func checkDiscreet(t *testing.T, reply *harness.Reply) {
	t.Helper()
	for _, text := range []string{secret, otherChain} {
		assert.Assert(t, !strings.Contains(string(reply.Body), text), "%s", reply.Body)
	}
}

// Whoever asks for a request of another account, or for an operator's view
// without being one, learns as much as if there were none.
func TestLookUpsShowNothingOfOthers(t *testing.T) {
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

// A caller's document may repeat a key or order its keys as a program reads
// them. What a stage gets is what the caller sent, byte for byte.
func TestInputReachesStagesUnchanged(t *testing.T) {
	fleet := smallFleet(t)
	input := json.RawMessage(`{"z":1.50,"marker":"exact","a":{"y":"<é>","b":[]},"a":2}`)
	reply := fleet.Send(t.Context(), 0, harness.Call{Pipeline: catalogue, Input: input, Body: []byte(`{"input":` + string(input) + `}`)})
	assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
	assert.Equal(t, string(reply.Answer.Output), string(harness.Expect(fleet.Bundle, catalogue, input)))
}

// variables are those of /debug/vars that a caller's request moves.
type variables struct {
	Entry entryVariables `json:"entry"`
}

type entryVariables struct {
	Answered int `json:"requests_answered"`
	Rejected int `json:"requests_rejected"`
	InFlight int `json:"requests_in_flight"`
}

// The balancer and the operator's metrics read an entry that has no bundle yet
// as well as one that serves.
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
	harness.Wait(t, replyWait, func() error { return fleet.Get(ctx, 0, "/healthz", "").Err })
	assert.Equal(t, fleet.Get(ctx, 0, "/healthz", "").Status, http.StatusOK)
	assert.Equal(t, fleet.Get(ctx, 0, "/readyz", "").Status, http.StatusServiceUnavailable)
	reply := fleet.Send(ctx, 0, harness.Call{Pipeline: catalogue, Input: harness.Marker("early")})
	checkRefusal(t, reply, http.StatusServiceUnavailable, api.ReasonNoBundle)

	fleet.Platform.Config.Apply(fake.ConfigControl{Down: &up})
	fleet.WaitReady(replyWait)
	assert.Equal(t, fleet.Get(ctx, 0, "/readyz", "").Status, http.StatusOK)
	reply = fleet.Send(ctx, 0, harness.Call{Pipeline: catalogue, Input: harness.Marker("served")})
	assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
	var vars variables
	assert.NilError(t, json.Unmarshal(fleet.Get(ctx, 0, "/debug/vars", "").Body, &vars))
	assert.DeepEqual(t, vars, variables{Entry: entryVariables{Answered: 1, Rejected: 1}})
	assert.Equal(t, fleet.Runs("early"), 0)
}
