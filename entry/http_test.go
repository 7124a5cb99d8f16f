package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/wire"
)

func testEntry(t *testing.T) *Entry {
	t.Helper()
	return New(Config{
		Process:   wire.Process{Name: "entry-1", Incarnation: "i1"},
		FleetKeys: []reqid.Key{make(reqid.Key, 32)},
		Log:       zerolog.Nop(),
		Records:   ledger.NewStore(ledger.DefaultStoreConfig),
		MaxBody:   1 << 20,
	})
}

func noVars(http.ResponseWriter, *http.Request) {}

func TestOpenAPIDescribesTheRoutes(t *testing.T) {
	text, err := os.ReadFile("../docs/openapi.yaml")
	assert.NilError(t, err)
	var doc struct {
		Paths map[string]map[string]any `yaml:"paths"`
	}
	assert.NilError(t, yaml.Unmarshal(text, &doc))
	var described []string
	for path, methods := range doc.Paths {
		for method := range methods {
			described = append(described, strings.ToUpper(method)+" "+path)
		}
	}
	var served []string
	routes, ok := testEntry(t).Handler(noVars).(chi.Routes)
	assert.Assert(t, ok)
	err = chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		served = append(served, method+" "+route)
		return nil
	})
	assert.NilError(t, err)
	slices.Sort(described)
	slices.Sort(served)
	assert.DeepEqual(t, described, served)
}

func TestAPIPageListsEveryReason(t *testing.T) {
	text, err := os.ReadFile("../docs/API.md")
	assert.NilError(t, err)
	for reason := range titles {
		assert.Assert(t, strings.Contains(string(text), "`"+string(reason)+"`"), "docs/API.md lacks %s", reason)
	}
}

func TestEveryReplyCarriesIDAndOutcome(t *testing.T) {
	handler := testEntry(t).Handler(noVars)
	cases := []struct {
		method, path string
		status       int
		reason       api.Reason
	}{
		{http.MethodPost, "/v1/pipelines/x/requests", http.StatusServiceUnavailable, api.ReasonNoBundle},
		{http.MethodPost, "/v1/request-ids", http.StatusServiceUnavailable, api.ReasonNoBundle},
		{http.MethodGet, "/v1/requests/x", http.StatusServiceUnavailable, api.ReasonNoBundle},
		{http.MethodGet, "/admin/v1/status", http.StatusServiceUnavailable, api.ReasonNoBundle},
		{http.MethodGet, "/nowhere", http.StatusNotFound, api.ReasonNotFound},
		{http.MethodDelete, "/v1/request-ids", http.StatusMethodNotAllowed, api.ReasonBadRequest},
	}
	for _, c := range cases {
		t.Run(c.method+c.path, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, http.NoBody))
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get(api.HeaderOutcome), string(api.OutcomeRefused))
			var p api.Problem
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Equal(t, p.Reason, c.reason)
			assert.Equal(t, p.RequestID, w.Header().Get(api.HeaderRequestID))
			assert.Assert(t, p.RequestID != "")
		})
	}
}

func TestRetryAfterRoundsUp(t *testing.T) {
	assert.Equal(t, retryAfterSeconds(time.Millisecond), "1")
	assert.Equal(t, retryAfterSeconds(1001*time.Millisecond), "2")
}

// TestResubmissionToAnEntryWithoutBundle guards against a duplicate order. The order ran
// through one entry, its caller got no reply and resubmits it to an entry that
// has no bundle yet. The outcome "refused" would make the caller place a new order.
func TestResubmissionToAnEntryWithoutBundle(t *testing.T) {
	tests := map[string]struct {
		header string
		want   api.Outcome
	}{
		"held ID":           {api.HeaderRequestID, api.OutcomeUnknown},
		"key":               {api.HeaderIdempotencyKey, api.OutcomeUnknown},
		"not recognisable":  {"", api.OutcomeRefused},
		"some other header": {"X-Trace", api.OutcomeRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/v1/pipelines/orders/requests", strings.NewReader(`{"input":1}`))
			if test.header != "" {
				req.Header.Set(test.header, "some value")
			}
			w := httptest.NewRecorder()
			testEntry(t).Handler(noVars).ServeHTTP(w, req)
			assert.Equal(t, w.Header().Get(api.HeaderOutcome), string(test.want))
		})
	}
}
