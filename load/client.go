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
	"github.com/mangostage/mangostage/internal/httpanswer"
)

const (
	pathPipelines        = "/v1/pipelines/"
	pathRequests         = "/requests"
	contentTypeJSON      = "application/json"
	contentTypeStream    = "text/event-stream"
	maxIdleConnsPerEntry = 4096
	idleConnTimeout      = 30 * time.Second
	// lateReplyWait is how long the client waits for a reply after the deadline,
	// to tell a late answer from a missing one.
	lateReplyWait     = 3 * time.Second
	headerRetryAfter  = "Retry-After"
	errUnreadable     = "the reply is not what the API promises: "
	errNoFinalEvent   = "the stream ended without an answer or a problem"
	errIncomplete     = "the reply was cut: "
	errNoReply        = "no reply: "
	errStatusMismatch = "the status contradicts the body"
)

// target sends requests to entries and checks their answers.
type target struct {
	bundle *bundle.Bundle
	// entries are the base URLs of the entries, used round-robin.
	entries []string
	// credentialPrefix followed by an account's name is the account's credential.
	credentialPrefix string
	// standIns is true if the endpoints are stand-ins, whose answers are known in
	// advance and can be checked.
	standIns    bool
	promptBytes int
	client      *http.Client
}

// newClient returns a client with enough idle connections per host for the
// requests in flight, and without compression.
func newClient() *http.Client {
	return &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})}
}

// send implements sender. It waits for lateReplyWait beyond the deadline, to tell
// a late answer from a missing one.
func (t *target) send(ctx context.Context, a *Arrival, n int, due time.Time) Sample {
	p := t.bundle.Pipeline(a.Pipeline)
	s := Sample{Arrival: *a, Deadline: p.Deadline.D(), Lag: time.Since(due)}
	in := inputOf(a, t.promptBytes)
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.Deadline+lateReplyWait))
	defer cancel()
	req, err := t.newRequest(ctx, a, t.entries[n%len(t.entries)], in)
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
	r := replyReader{sample: &s, due: due}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), contentTypeStream) {
		r.readStream(resp.Body)
	} else {
		r.readWhole(resp)
	}
	s.Latency = time.Since(due)
	if t.standIns && s.Outcome == api.OutcomeAnswered {
		s.Wrong = r.checkAnswer(expected(t.bundle, p, in), resp.Header.Get(api.HeaderRequestID))
	}
	return s
}

func (t *target) newRequest(ctx context.Context, a *Arrival, entry string, in json.RawMessage) (*http.Request, error) {
	body, err := json.Marshal(api.Request{Input: in})
	if err != nil {
		return nil, err
	}
	url := entry + pathPipelines + a.Pipeline + pathRequests
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set("Authorization", "Bearer "+t.credentialPrefix+a.Account)
	if a.Stream {
		req.Header.Set("Accept", contentTypeStream)
	}
	return req, nil
}

// replyReader reads one reply into a sample. It keeps the answer and the tokens
// for checkAnswer.
type replyReader struct {
	sample      *Sample
	due         time.Time
	answer      *api.Answer
	tokens      []token
	lastTokenAt time.Time
}

// readWhole reads a reply that is not streamed.
func (r *replyReader) readWhole(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.sample.Err = errIncomplete + err.Error()
		return
	}
	if resp.StatusCode == http.StatusOK {
		r.parseAnswer(body)
		return
	}
	r.parseProblem(body)
	if resp.Header.Get(headerRetryAfter) != "" {
		r.sample.RetryAfter = true
	}
}

func (r *replyReader) parseAnswer(body []byte) {
	var answer api.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return
	}
	if answer.Outcome != api.OutcomeAnswered {
		r.sample.Err = errUnreadable + errStatusMismatch
		return
	}
	r.answer = &answer
	r.sample.Outcome = answer.Outcome
}

func (r *replyReader) parseProblem(body []byte) {
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return
	}
	if problem.Outcome == "" || problem.Outcome == api.OutcomeAnswered {
		r.sample.Err = errUnreadable + errStatusMismatch
		return
	}
	r.sample.Outcome, r.sample.Reason, r.sample.Detail = problem.Outcome, problem.Reason, trimAtDigit(problem.Detail)
	r.sample.RetryAfter = problem.RetryAfter > 0
}

// trimAtDigit cuts a text before its first digit, so that details that differ
// only in their numbers are counted together.
func trimAtDigit(text string) string {
	if i := strings.IndexAny(text, "0123456789"); i >= 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// checkAnswer compares the answer with the output that the stand-ins must give.
// It describes the first difference; "" means none.
func (r *replyReader) checkAnswer(want json.RawMessage, requestID string) string {
	switch {
	case r.answer.RequestID != requestID:
		return "the answer names request " + r.answer.RequestID + ", the header " + requestID
	case !equalJSON(r.answer.Output, want):
		return "output " + string(r.answer.Output) + ", want " + string(want)
	}
	return checkTokens(r.tokens, want)
}

// equalJSON reports whether both values are valid JSON and equal except for white
// space.
func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
