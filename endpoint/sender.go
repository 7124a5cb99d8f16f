package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"
)

// cancelTimeout bounds the background request that cancels a call.
const cancelTimeout = 2 * time.Second

// sender sends HTTP requests to one endpoint. It follows no redirects and uses no
// proxy from the environment, since both would disclose calls to other hosts.
type sender struct {
	base *url.URL
	// calls is the client, with kept connections, for repeatable calls.
	calls *http.Client
	// control is the client, with kept connections, for requests that run no call.
	control *http.Client
}

func newSender(baseURL string) (*sender, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "endpoint address")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, ErrUnavailable.New("endpoint address %q is not of the form http://host:port", baseURL)
	}
	if base.Port() == "" {
		base.Host = net.JoinHostPort(base.Hostname(), "80")
	}
	s := &sender{base: base}
	s.calls = client(transport(dialGated))
	s.control = client(transport(dial))
	return s, nil
}

func (s *sender) url(path string) string { return s.base.JoinPath(path).String() }

// call posts one call. If once is true, it is sent at most once, on its own
// connection. The error is an *Error that says whether any byte of the call may
// have been written. The caller closes the response body.
func (s *sender) call(ctx context.Context, path, id string, once bool, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &Error{Err: ErrMalformed.Wrap(err, "encode call")}
	}
	gate := newWriteGate(ctx)
	var resp *http.Response
	if once {
		resp, err = s.sendOnce(ctx, gate, path, id, body)
	} else {
		resp, err = s.sendPooled(ctx, gate, path, id, body)
	}
	if err != nil {
		written := gate.seal()
		return nil, &Error{Written: written, Lost: bool(written), Err: gate.causeOr(err)}
	}
	return resp, nil
}

// sendPooled sends a call and may reuse a kept connection. Since the request is a
// POST without an idempotency header, the transport retries it by itself only if
// nothing was written to a reused connection.
func (s *sender) sendPooled(ctx context.Context, gate *writeGate, path, id string, body []byte) (*http.Response, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.assign(gate)
			}
		},
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, s.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	setHeaders(req, id)
	return s.calls.Do(req)
}

// sendOnce sends a call on its own connection.
//
// net/http retries a request by itself if a kept connection turns out to be dead
// and the request has an idempotency header or a body that can be rewound. An
// unrepeatable call could then run twice at the endpoint. To prevent this, the
// connection is dialed beforehand, the transport can get no other one and keeps
// none, and the body cannot be rewound: a retry has neither connection nor body.
func (s *sender) sendOnce(ctx context.Context, gate *writeGate, path, id string, body []byte) (*http.Response, error) {
	raw, err := dial(ctx, "tcp", s.base.Host)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "dial endpoint")
	}
	conn := newGatedConn(raw, gate)
	t := transport(dialedOnce(conn))
	t.DisableKeepAlives = true
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	req.ContentLength = int64(len(body))
	setHeaders(req, id)
	resp, err := client(t).Do(req)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return resp, nil
}

func setHeaders(req *http.Request, id string) {
	req.Header.Set("Content-Type", "application/json")
	if id != "" {
		req.Header.Set(HeaderCall, id)
	}
}

// cancel asks the endpoint in the background to cancel a call. It does not wait,
// because the call's context has usually ended and the endpoint may hang.
func (s *sender) cancel(ctx context.Context, id string) {
	detached, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer stop()
		_ = s.notify(detached, PathCancel, CancelRequest{Call: id})
	}()
}

// notify posts a message and ignores the content of the reply.
func (s *sender) notify(ctx context.Context, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.control.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// get fetches one JSON document of at most MaxReply bytes.
func (s *sender) get(ctx context.Context, path, query string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(path)+query, nil)
	if err != nil {
		return err
	}
	resp, err := s.control.Do(req)
	if err != nil {
		return ErrUnavailable.Wrap(err, "get %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ErrUnavailable.New("get %s: status %d", path, resp.StatusCode)
	}
	return decode(resp.Body, MaxReply, into)
}

// health queries the endpoint's state, in the same way for all HTTP protocols.
func (s *sender) health(ctx context.Context) (Health, error) {
	var reply HealthReply
	if err := s.get(ctx, PathHealth, "", &reply); err != nil {
		return Health{}, err
	}
	return Health(reply), nil
}
