package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

// promises are the statuses which say that a request has not run and never will.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// failures are the forms in which an endpoint answers a request that it has run with an error.
var failures = map[string]func(w http.ResponseWriter, status int){
	"plain": func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "stock system")
	},
	"without a body": func(w http.ResponseWriter, status int) { w.WriteHeader(status) },
	"in chunks": func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		for range 4 {
			_, _ = io.WriteString(w, strings.Repeat("stock system", 100))
			_ = http.NewResponseController(w).Flush()
		}
	},
	"after early hints": func(w http.ResponseWriter, status int) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "stock system")
	},
	"as a stream": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		standin.WriteEvents(w, 1, 1)
	},
}

// failAs returns an endpoint's answer that fails a run with a status, in a form.
func failAs(form func(http.ResponseWriter, int), status int) func(http.ResponseWriter, standin.Run) {
	return func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		w.Header().Set("Retry-After", "0.001")
		form(w, status)
	}
}

// checkWithheld checks that the gateway answered by itself that the request may have run.
func checkWithheld(t *testing.T, got clientResult, name string) {
	t.Helper()
	assert.NilError(t, got.err, name)
	assert.Equal(t, got.status, http.StatusBadGateway, name)
	assert.Equal(t, got.header.Get("Mangostage-Server-Seal"), "", name)
	assert.Equal(t, got.header.Get("Retry-After"), "", name)
	assert.Assert(t, strings.Contains(got.body, `"ran":"unknown"`), "%s: %s", name, got.body)
	assert.Assert(t, !strings.Contains(got.body, "stock system"), name)
}

// Guards against an endpoint's status that promises "not run" to the client of a request that
// has run and must not be repeated: the client would send it again.
func TestUnstatedPromiseIsNotPassedOn(t *testing.T) {
	for form, answer := range failures {
		for _, status := range promises {
			r := newRig(t)
			plain := r.startEndpoint("plain", "i-1", failAs(answer, status))
			model := r.startEndpoint("model", "m-1", failAs(answer, status))
			for _, path := range []string{"/once/", "/events/", "/stream/"} {
				checkWithheld(t, r.do(r.request(http.MethodPost, path, "order")), fmt.Sprintf("%s: %d %s", path, status, form))
			}
			assert.Equal(t, len(plain.Runs()), 2)
			assert.Equal(t, len(model.Runs()), 1)
			r.logs.waitForLine(t, `"event":"promise_withheld"`, fmt.Sprintf(`"status":%d`, status))
		}
	}
}

// Guards against the same on a second try, after another endpoint that has truly not run the
// request.
func TestUnstatedPromiseOfASecondTry(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		r := newRig(t)
		tries := 0
		answer := failAs(failures["plain"], http.StatusServiceUnavailable)
		first := func(w http.ResponseWriter, run standin.Run) {
			if tries++; tries == 1 {
				standin.Refuse(w, http.StatusServiceUnavailable)
				return
			}
			answer(w, run)
		}
		for _, service := range []string{"plain", "model"} {
			r.startEndpoint(service, service+"-1", first)
			r.startEndpoint(service, service+"-2", first)
		}
		checkWithheld(t, r.do(r.request(http.MethodPost, path, "order")), path)
		assert.Equal(t, tries, 2)
	}
}

// Guards against a stated promise that is lost, and against answers that are changed although
// their status promises nothing or their request may be repeated.
func TestOtherFailuresArePassedOn(t *testing.T) {
	tests := []struct {
		path   string
		status int
	}{
		{"/once/", http.StatusInternalServerError}, {"/once/", http.StatusBadGateway}, {"/once/", http.StatusGatewayTimeout},
		{"/once/", http.StatusConflict}, {"/once/", http.StatusNotFound}, {"/stream/", http.StatusInternalServerError},
		{"/idem/", http.StatusServiceUnavailable}, {"/idem/", http.StatusTooManyRequests}, {"/idem/", http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		r := newRig(t)
		for _, service := range []string{"plain", "model"} {
			r.startEndpoint(service, service+"-1", failAs(failures["plain"], tt.status))
		}
		got := r.do(r.request(http.MethodPost, tt.path, "order"))
		assert.Equal(t, got.status, tt.status, tt.path)
		assert.Equal(t, got.body, "stock system", tt.path)
		assert.Equal(t, got.header.Get("Mangostage-Server-Seal"), "seal", tt.path)
	}
	for _, status := range append(promises, http.StatusMisdirectedRequest) {
		r := newRig(t)
		refuse := func(w http.ResponseWriter, _ standin.Run) { standin.Refuse(w, status) }
		refusing := r.startEndpoint("plain", "i-1", refuse)
		got := r.do(r.request(http.MethodPost, "/once/", "order"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable, "all refuse with %d", status)
		assert.Assert(t, strings.Contains(got.body, `"ran":"no"`))
		r.startEndpoint("plain", "i-2", nil)
		for range 4 {
			assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).body, "ok", "one refuses with %d", status)
		}
		assert.Assert(t, len(refusing.Runs()) > 0)
	}
}

// Guards against a success that is believed not to have run, and is run again elsewhere,
// because it bears the statement of a refusal.
func TestSuccessIsNoRefusal(t *testing.T) {
	r := newRig(t)
	answer := func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		w.Header().Set("Mangostage-Not-Executed", "1")
		_, _ = io.WriteString(w, "placed")
	}
	one, two := r.startEndpoint("plain", "i-1", answer), r.startEndpoint("plain", "i-2", answer)
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.Equal(t, got.body, "placed")
	assert.Equal(t, len(one.Runs())+len(two.Runs()), 1)
}
