package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mangostage/mangostage/api"
)

const (
	typeJSON    = "application/json"
	typeProblem = "application/problem+json"
	typeStream  = "text/event-stream"
)

// statuses maps each reason to the HTTP status of its problem document.
var statuses = map[api.Reason]int{
	api.ReasonBadRequest:       http.StatusBadRequest,
	api.ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	api.ReasonUnknownPipeline:  http.StatusNotFound,
	api.ReasonUnauthorized:     http.StatusUnauthorized,
	api.ReasonNotFound:         http.StatusNotFound,
	api.ReasonForeignRequestID: http.StatusForbidden,
	api.ReasonKeyConflict:      http.StatusUnprocessableEntity,
	api.ReasonIDExpired:        http.StatusGone,
	api.ReasonRateLimited:      http.StatusTooManyRequests,
	api.ReasonDeadlineTooShort: http.StatusBadRequest,
	api.ReasonDeadline:         http.StatusGatewayTimeout,
	api.ReasonEndpointFailed:   http.StatusBadGateway,
	api.ReasonEndpointLost:     http.StatusBadGateway,
	api.ReasonConnectionLost:   http.StatusBadGateway,
	api.ReasonOwnerRestarted:   http.StatusConflict,
	api.ReasonEarlierAttempt:   http.StatusConflict,
	api.ReasonInternal:         http.StatusInternalServerError,
}

// titles maps each reason to the title of its problem document.
var titles = map[api.Reason]string{
	api.ReasonBadRequest:       "The request is malformed",
	api.ReasonBodyTooLarge:     "The request body is too large",
	api.ReasonUnknownPipeline:  "There is no such pipeline",
	api.ReasonUnauthorized:     "The credential is missing or wrong",
	api.ReasonNotFound:         "Not found",
	api.ReasonForeignRequestID: "The request ID belongs to another account or pipeline",
	api.ReasonKeyConflict:      "The idempotency key was used with another body",
	api.ReasonIDExpired:        "The request ID has expired",
	api.ReasonRateLimited:      "The account's limit is reached",
	api.ReasonOverloaded:       "There is more load than capacity",
	api.ReasonDeadline:         "The deadline has passed or cannot be met",
	api.ReasonDeadlineTooShort: "The timeout is too short for this pipeline",
	api.ReasonNoEndpoint:       "No endpoint can take the request",
	api.ReasonDraining:         "This process is being stopped",
	api.ReasonNoBundle:         "No bundle is in force yet",
	api.ReasonOwnerRestarted:   "The executor of this request has restarted; it will not be run again",
	api.ReasonOwnerUnreachable: "The executor of this request cannot be reached",
	api.ReasonEarlierAttempt:   "An earlier sending may have run; it will not be run again",
	api.ReasonSuspectRequest:   "Requests with this content crashed endpoints",
}

func statusOf(reason api.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// fillProblem sets the fields that are derived from the reason: the type and, if
// they are empty, the status and the title.
func fillProblem(p *api.Problem) {
	p.Type = api.ProblemTypePrefix + string(p.Reason)
	if p.Status == 0 {
		p.Status = statusOf(p.Reason)
	}
	if p.Title == "" {
		p.Title = titles[p.Reason]
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
}

// refusal returns the problem of a request that was refused before any stage ran.
func refusal(requestID string, reason api.Reason, detail string) *api.Problem {
	return &api.Problem{RequestID: requestID, Outcome: api.OutcomeRefused, Reason: reason, Detail: detail}
}

// retryAfterSeconds formats d in whole seconds for the Retry-After header, at
// least 1. It rounds up, because a caller that retries too early is refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Max(1, math.Ceil(d.Seconds()))))
}

func setReplyHeaders(h http.Header, requestID string, outcome api.Outcome, retryAfter time.Duration) {
	h.Set(api.HeaderRequestID, requestID)
	h.Set(api.HeaderOutcome, string(outcome))
	if retryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(retryAfter))
	}
}

func writeProblem(w http.ResponseWriter, p *api.Problem) {
	fillProblem(p)
	setReplyHeaders(w.Header(), p.RequestID, p.Outcome, p.RetryAfter)
	w.Header().Set("Content-Type", typeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeFinal(w http.ResponseWriter, final api.Final) {
	if final.Problem != nil {
		writeProblem(w, final.Problem)
		return
	}
	setReplyHeaders(w.Header(), final.Answer.RequestID, final.Answer.Outcome, 0)
	writeJSON(w, http.StatusOK, final.Answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
