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
	// operatorName is the operator of the example bundles.
	operatorName = "operator"
	idleConns    = 512
	callTimeout  = 30 * time.Second
	typeStream   = "text/event-stream"
)

// newHTTPClient returns a client without redirects and with connections to
// spare, so that callers do not wait for each other's.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns},
	}
}

// Call is one sending of a request.
type Call struct {
	Pipeline string
	// Account is the client account; empty means the bundle's first.
	Account string
	// Credential, if set, is sent in place of the account's.
	Credential string
	Input      json.RawMessage
	// Body, if set, is sent in place of Input's.
	Body []byte
	// Key is an idempotency key, HeldID an ID fetched with HoldID.
	Key    string
	HeldID string
	// Timeout is sent as a header, in whole milliseconds; zero sends none.
	Timeout time.Duration
	// Stream asks for server-sent events.
	Stream bool
	// Header is added to the request's.
	Header http.Header
}

// Reply is what the caller got. If Err is set the connection failed, and the
// rest is what came before.
type Reply struct {
	Err     error
	Status  int
	Header  http.Header
	Body    []byte
	Answer  *api.Answer
	Problem *api.Problem
	// Events are those of a stream.
	Events []Event
	Took   time.Duration
}

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// Outcome returns the typed outcome, or nothing if none arrived.
func (r *Reply) Outcome() api.Outcome {
	switch {
	case r.Answer != nil:
		return r.Answer.Outcome
	case r.Problem != nil:
		return r.Problem.Outcome
	}
	return ""
}

// Reason returns a problem's reason.
func (r *Reply) Reason() api.Reason {
	if r.Problem == nil {
		return ""
	}
	return r.Problem.Reason
}

// RequestID returns the ID that the reply carries.
func (r *Reply) RequestID() string { return r.Header.Get(api.HeaderRequestID) }

// oneShot hides the type of a body, so that net/http cannot rewind it: a
// caller's client that sends by itself a second time would spoil the count of
// sendings.
type oneShot struct{ io.Reader }

// Send sends a request once, through the entry counted from 0.
func (f *Fleet) Send(ctx context.Context, entryIndex int, call Call) *Reply {
	body := call.Body
	if body == nil {
		body, _ = json.Marshal(api.Request{Input: call.Input})
	}
	path := f.entries[entryIndex].URL + "/v1/pipelines/" + call.Pipeline + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, oneShot{bytes.NewReader(body)})
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
	setIf(req.Header, api.HeaderIdempotencyKey, call.Key)
	setIf(req.Header, api.HeaderRequestID, call.HeldID)
	if call.Timeout > 0 {
		req.Header.Set(api.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	if call.Stream {
		req.Header.Set("Accept", typeStream)
	}
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (f *Fleet) credential(account string) string {
	if account == "" {
		account = f.Bundle.Accounts[0].Name
	}
	return examples.CredentialPrefix + account
}

// do sends a request and reads the whole reply.
func (f *Fleet) do(req *http.Request) *Reply {
	began := time.Now()
	reply := &Reply{Header: make(http.Header)}
	resp, err := f.http.Do(req)
	if err != nil {
		reply.Err = err
		reply.Took = time.Since(began)
		return reply
	}
	defer func() { _ = resp.Body.Close() }()
	reply.Status = resp.StatusCode
	reply.Header = resp.Header
	reply.Body, reply.Err = io.ReadAll(resp.Body)
	reply.Took = time.Since(began)
	if err := reply.decode(); err != nil && reply.Err == nil {
		reply.Err = err
	}
	return reply
}

func (r *Reply) decode() error {
	kind, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	switch kind {
	case typeStream:
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

// parseEvents reads the complete events of a stream.
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

// heldID is the body of the reply to a call that fetches an ID.
type heldID struct {
	RequestID string `json:"request_id"`
}

// HoldID fetches a request ID to send with later.
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
	var held heldID
	if reply.Status == http.StatusCreated {
		reply.Err = json.Unmarshal(reply.Body, &held)
	}
	return held.RequestID, reply
}

// Get reads a path of an entry with a credential; empty sends none.
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

// OperatorCredential is that of the bundle's operator.
func (f *Fleet) OperatorCredential() string { return examples.CredentialPrefix + operatorName }

// Explain returns the parts of a request's account as an entry gathers them.
func (f *Fleet) Explain(ctx context.Context, entryIndex int, request string) (*entry.Explanation, error) {
	reply := f.Get(ctx, entryIndex, "/admin/v1/requests/"+request+"/explain", f.OperatorCredential())
	var e entry.Explanation
	return &e, reply.into(&e)
}

// Status returns the status of all processes as an entry gathers it.
func (f *Fleet) Status(ctx context.Context, entryIndex int) ([]entry.ProcessStatus, error) {
	reply := f.Get(ctx, entryIndex, "/admin/v1/status", f.OperatorCredential())
	var list []entry.ProcessStatus
	return list, reply.into(&list)
}

// NewKey returns an idempotency key that carries its time. Only such a key can
// be told from one that the owner's predecessor ran.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }
