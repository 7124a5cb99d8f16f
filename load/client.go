package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
)

const (
	pathPipelines  = "/v1/pipelines/"
	pathRequests   = "/requests"
	typeJSON       = "application/json"
	typeStream     = "text/event-stream"
	idlePerEntry   = 4096
	idleTimeout    = 30 * time.Second
	patience       = 3 * time.Second
	headerRetry    = "Retry-After"
	errUnreadable  = "the reply is not what the API promises: "
	errNoFinal     = "the stream ended without an answer or a problem"
	errIncomplete  = "the reply was cut: "
	errNoReply     = "no reply: "
	errStatusTwice = "the status contradicts the body"
)

// target is where requests go and what their answers must be.
type target struct {
	bundle *bundle.Bundle
	// entries are the base URLs of entries, used in turn.
	entries []string
	// credentialPrefix followed by an account's name is its credential.
	credentialPrefix string
	// standIns tells that the endpoints are stand-ins, so that each answer can
	// be checked.
	standIns    bool
	promptBytes int
	client      *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerEntry,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// send sends one arrival and returns what became of it. It waits longer than
// the deadline, so as to tell a late answer from none.
func (t *target) send(ctx context.Context, a *Arrival, n int, due time.Time) Sample {
	p := t.bundle.Pipeline(a.Pipeline)
	s := Sample{Arrival: *a, Deadline: p.Deadline.D(), Lag: time.Since(due)}
	in := inputOf(a, t.promptBytes)
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.Deadline+patience))
	defer cancel()
	req, err := t.request(ctx, a, t.entries[n%len(t.entries)], in)
	if err != nil {
		s.Err = errNoReply + err.Error()
		return s
	}
	resp, err := t.client.Do(req)
	if err != nil {
		s.Err = errNoReply + err.Error()
		s.Latency = time.Since(due)
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{sample: &s, due: due}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), typeStream) {
		r.readStream(resp.Body)
	} else {
		r.readWhole(resp)
	}
	s.Latency = time.Since(due)
	if t.standIns && s.Outcome == api.OutcomeAnswered {
		s.Wrong = r.check(expected(t.bundle, p, in), resp.Header.Get(api.HeaderRequestID))
	}
	return s
}

func (t *target) request(ctx context.Context, a *Arrival, entry string, in json.RawMessage) (*http.Request, error) {
	body, err := json.Marshal(api.Request{Input: in})
	if err != nil {
		return nil, err
	}
	url := entry + pathPipelines + a.Pipeline + pathRequests
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", typeJSON)
	req.Header.Set("Authorization", "Bearer "+t.credentialPrefix+a.Account)
	if a.Stream {
		req.Header.Set("Accept", typeStream)
	}
	return req, nil
}

// reply takes a reply in.
type reply struct {
	sample *Sample
	due    time.Time
	answer *api.Answer
	tokens []token
	last   time.Time
}

func (r *reply) readWhole(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.sample.Err = errIncomplete + err.Error()
		return
	}
	if resp.StatusCode == http.StatusOK {
		r.takeAnswer(body)
		return
	}
	r.takeProblem(body)
	if resp.Header.Get(headerRetry) != "" {
		r.sample.RetryAfter = true
	}
}

func (r *reply) takeAnswer(body []byte) {
	var answer api.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return
	}
	if answer.Outcome != api.OutcomeAnswered {
		r.sample.Err = errUnreadable + errStatusTwice
		return
	}
	r.answer = &answer
	r.sample.Outcome = answer.Outcome
}

func (r *reply) takeProblem(body []byte) {
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return
	}
	if problem.Outcome == "" || problem.Outcome == api.OutcomeAnswered {
		r.sample.Err = errUnreadable + errStatusTwice
		return
	}
	r.sample.Outcome, r.sample.Reason, r.sample.Detail = problem.Outcome, problem.Reason, withoutFigures(problem.Detail)
	r.sample.RetryAfter = problem.RetryAfter > 0
}

// withoutFigures cuts a text at its first figure, so that details which differ
// only in figures are the same.
func withoutFigures(text string) string {
	if i := strings.IndexAny(text, "0123456789"); i >= 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// check compares an answer with what the stand-ins must have said. It returns
// the difference, or nothing.
func (r *reply) check(want json.RawMessage, requestID string) string {
	switch {
	case r.answer.RequestID != requestID:
		return "the answer names request " + r.answer.RequestID + ", the header " + requestID
	case !sameJSON(r.answer.Output, want):
		return "output " + string(r.answer.Output) + ", want " + string(want)
	}
	return checkTokens(r.tokens, want)
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
