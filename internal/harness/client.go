package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/examples"
)

const (
	// operatorName is the name of the operator in the example bundles.
	operatorName      = "operator"
	maxIdleConns      = 512
	requestTimeout    = 30 * time.Second
	contentTypeStream = "text/event-stream"
)

// newHTTPClient returns a client with a large pool of idle connections, so that
// concurrent callers rarely have to dial.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns},
	}
}

// Call is one submission of a request.
type Call struct {
	Pipeline string
	// Account is the client account; empty means the first one of the bundle.
	Account string
	// Credential, if set, replaces the credential of the account.
	Credential string
	Input      json.RawMessage
	// Body, if set, replaces the body that is made from Input.
	Body []byte
	// Key is an idempotency key and HeldID a request ID fetched with HoldID; empty
	// values are not sent.
	Key    string
	HeldID string
	// Timeout is sent as a header in whole milliseconds; zero sends no header.
	Timeout time.Duration
	// Stream means that the reply is requested as server-sent events.
	Stream bool
	// Header holds additional request headers.
	Header http.Header
}

// Reply is what the caller received. If Err is set, the request failed or the
// reply could not be decoded, and the other fields hold what arrived before.
type Reply struct {
	Err     error
	Status  int
	Header  http.Header
	Body    []byte
	Answer  *api.Answer
	Problem *api.Problem
	// Events holds the events of a streamed reply.
	Events []Event
	// Elapsed is the time from the start of the request to the end of the reply.
	Elapsed time.Duration
}

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// Outcome returns the outcome of the answer or problem, or "" if none arrived.
func (r *Reply) Outcome() api.Outcome {
	switch {
	case r.Answer != nil:
		return r.Answer.Outcome
	case r.Problem != nil:
		return r.Problem.Outcome
	}
	return ""
}

// Reason returns the reason of the problem, or "" if there is none.
func (r *Reply) Reason() api.Reason {
	if r.Problem == nil {
		return ""
	}
	return r.Problem.Reason
}

// RequestID returns the request ID in the reply's header.
func (r *Reply) RequestID() string { return r.Header.Get(api.HeaderRequestID) }

// oneShotBody hides the type of a request body so that net/http cannot rewind it
// and retry the request by itself, which would falsify a test's count of
// submissions.
type oneShotBody struct{ io.Reader }

// Send sends a request once through an entry; entryIndex counts from 0.
func (f *Fleet) Send(ctx context.Context, entryIndex int, call Call) *Reply {
	body := call.Body
	if body == nil {
		body, _ = json.Marshal(api.Request{Input: call.Input})
	}
	path := f.entries[entryIndex].URL + "/v1/pipelines/" + call.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return &Reply{Err: err}
	}
	req.ContentLength = int64(len(body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	f.setHeaders(req, call)
	return f.do(req)
}

func (f *Fleet) setHeaders(req *http.Request, call Call) {
	credential := call.Credential
	if credential == "" {
		credential = f.credential(call.Account)
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	setIfNotEmpty(req.Header, api.HeaderIdempotencyKey, call.Key)
	setIfNotEmpty(req.Header, api.HeaderRequestID, call.HeldID)
	if call.Timeout > 0 {
		req.Header.Set(api.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	if call.Stream {
		req.Header.Set("Accept", contentTypeStream)
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// credential returns the credential of a client account; an empty name means the
// first account of the bundle.
func (f *Fleet) credential(account string) string {
	if account == "" {
		account = f.Bundle.Accounts[0].Name
	}
	return examples.CredentialPrefix + account
}

// do sends a request and reads the whole reply.
func (f *Fleet) do(req *http.Request) *Reply {
	start := time.Now()
	reply := &Reply{Header: make(http.Header)}
	resp, err := f.http.Do(req)
	if err != nil {
		reply.Err = err
		reply.Elapsed = time.Since(start)
		return reply
	}
	defer func() { _ = resp.Body.Close() }()
	reply.Status = resp.StatusCode
	reply.Header = resp.Header
	reply.Body, reply.Err = io.ReadAll(resp.Body)
	reply.Elapsed = time.Since(start)
	if err := reply.decode(); err != nil && reply.Err == nil {
		reply.Err = err
	}
	return reply
}

// decode sets Answer, Problem and Events from the body, by its content type.
func (r *Reply) decode() error {
	contentType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	switch contentType {
	case contentTypeStream:
		return r.decodeEvents()
	case "application/problem+json":
		return json.Unmarshal(r.Body, &r.Problem)
	case "application/json":
		if r.Header.Get(api.HeaderOutcome) != "" {
			return json.Unmarshal(r.Body, &r.Answer)
		}
	}
	return nil
}

func (r *Reply) decodeEvents() error {
	r.Events = parseEvents(r.Body)
	for _, e := range r.Events {
		var err error
		switch e.Name {
		case "answer":
			err = json.Unmarshal(e.Data, &r.Answer)
		case "problem":
			err = json.Unmarshal(e.Data, &r.Problem)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// parseEvents returns the complete events of a stream of server-sent events.
func parseEvents(body []byte) []Event {
	var events []Event
	var current Event
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, len(body)+1)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			events = append(events, current)
			current = Event{}
		case strings.HasPrefix(line, "event: "):
			current.Name = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			current.Data = []byte(strings.TrimPrefix(line, "data: "))
		}
	}
	return events
}

// requestIDReply is the body of the reply from /v1/request-ids.
type requestIDReply struct {
	RequestID string `json:"request_id"`
}

// HoldID fetches a request ID for a later submission.
func (f *Fleet) HoldID(ctx context.Context, entryIndex int, account, pipeline string) (string, *Reply) {
	body, _ := json.Marshal(struct {
		Pipeline string `json:"pipeline"`
	}{pipeline})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.entries[entryIndex].URL+"/v1/request-ids", bytes.NewReader(body))
	if err != nil {
		return "", &Reply{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.credential(account))
	reply := f.do(req)
	var idReply requestIDReply
	if reply.Status == http.StatusCreated {
		reply.Err = json.Unmarshal(reply.Body, &idReply)
	}
	return idReply.RequestID, reply
}

// Get requests a path of an entry with a credential; an empty one is not sent.
func (f *Fleet) Get(ctx context.Context, entryIndex int, path, credential string) *Reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.entries[entryIndex].URL+path, nil)
	if err != nil {
		return &Reply{Err: err}
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	return f.do(req)
}

// OperatorCredential returns the credential of the bundle's operator.
func (f *Fleet) OperatorCredential() string { return examples.CredentialPrefix + operatorName }

// Explain returns the explanation of a request that an entry collects from the
// processes.
func (f *Fleet) Explain(ctx context.Context, entryIndex int, request string) (*entry.Explanation, error) {
	reply := f.Get(ctx, entryIndex, "/admin/v1/requests/"+request+"/explain", f.OperatorCredential())
	var e entry.Explanation
	return &e, reply.unmarshalOK(&e)
}

// Status returns the status of all processes as an entry collects it.
func (f *Fleet) Status(ctx context.Context, entryIndex int) ([]entry.ProcessStatus, error) {
	reply := f.Get(ctx, entryIndex, "/admin/v1/status", f.OperatorCredential())
	var list []entry.ProcessStatus
	return list, reply.unmarshalOK(&list)
}

// NewKey returns an idempotency key that contains its creation time (UUIDv7).
// Only with such a key can an owner tell that its predecessor cannot have run the
// request.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }
