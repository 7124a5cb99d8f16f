package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/internal/clientconn"
)

// Paths and path parameters of the HTTP API, and the largest body in bytes of a
// call that submits no request.
const (
	pathSubmit    = "/v1/pipelines/{pipeline}/requests"
	pathIDs       = "/v1/request-ids"
	pathRequest   = "/v1/requests/{id}"
	pathHealth    = "/healthz"
	pathReady     = "/readyz"
	pathVars      = "/debug/vars"
	pathExplain   = "/admin/v1/requests/{id}/explain"
	pathStatus    = "/admin/v1/status"
	paramID       = "id"
	paramPipeline = "pipeline"
	maxSmallBody  = 4 << 10
)

// Handler returns the HTTP handler for callers, operators and the load balancer.
// vars serves the process's metrics.
func (e *Entry) Handler(vars http.HandlerFunc) http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer)
	r.Post(pathSubmit, e.submit)
	r.Post(pathIDs, e.mintID)
	r.Get(pathRequest, e.lookUp)
	r.Get(pathExplain, e.operatorOnly(e.explain))
	r.Get(pathStatus, e.operatorOnly(e.status))
	r.Get(pathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get(pathReady, e.ready)
	r.Get(pathVars, vars)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		e.reject(w, api.ReasonNotFound, "there is no such path")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		p := refusal(e.newRequestID("", ""), api.ReasonBadRequest, "the path does not take this method")
		p.Status = http.StatusMethodNotAllowed
		writeProblem(w, p)
	})
	return r
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reject answers an invalid request with a problem. It records nothing about the
// request, since any client can send any number of them.
func (e *Entry) reject(w http.ResponseWriter, reason api.Reason, detail string) {
	e.stats.rejected.Add(1)
	p := refusal(e.newRequestID("", ""), reason, detail)
	if reason == api.ReasonOverloaded {
		p = withRetry(p, clientconn.RetryAfter)
	}
	writeProblem(w, p)
}

// authenticate returns the current generation and the caller's account. If there
// is no bundle or no matching account, it writes the problem itself and returns
// a nil account.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (*generation, *bundle.Account) {
	g := e.current.Load()
	if g == nil {
		e.reject(w, api.ReasonNoBundle, "")
		return nil, nil
	}
	account := g.creds.account(r)
	if account == nil {
		e.reject(w, api.ReasonUnauthorized, "a client account's credential is required")
	}
	return g, account
}

// operatorOnly wraps next so that only operators of the current bundle can call it.
func (e *Entry) operatorOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g := e.current.Load()
		if g == nil {
			e.reject(w, api.ReasonNoBundle, "")
			return
		}
		if g.creds.operator(r) == nil {
			e.reject(w, api.ReasonUnauthorized, "an operator's credential is required")
			return
		}
		next(w, r)
	}
}
