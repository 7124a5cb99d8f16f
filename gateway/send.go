package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// answer is what came back from an endpoint.
type answer struct {
	*http.Response
	platform.Answer
}

// send sends the request to one endpoint. Its error is errNotSent or
// errUnknown; an answer may still say that the request has not run.
func (g *Gateway) send(ctx context.Context, req *request, e *catalog.Endpoint, s platform.Send) (*answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	s.Endpoint = e.ID
	s.Remaining = req.left()
	s.Account = req.accountName()
	out, err := http.NewRequestWithContext(ctx, req.http.Method, "http://"+e.Addr, nil)
	if err != nil {
		return nil, errNotSent.Wrap(err, "request")
	}
	// The request's target goes on as the client wrote it.
	out.URL = &url.URL{Scheme: "http", Host: e.Addr, Opaque: req.http.RequestURI}
	out.Host = req.http.Host
	out.Header = platform.ForwardHeader(req.http.Header, s)
	out.Header.Del("Expect")
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		out.Header.Set("User-Agent", "")
	}
	setBody(out, req)
	resp, err := g.cfg.Transport.RoundTrip(out)
	if err != nil {
		if !connected.Load() {
			return nil, errNotSent.Wrap(err, "endpoint %s", e.ID)
		}
		return nil, errUnknown.Wrap(err, "endpoint %s", e.ID)
	}
	a := &answer{Response: resp, Answer: platform.DecodeAnswer(resp.StatusCode, resp.Header)}
	if a.ID != req.ID {
		// A late answer to an earlier request on this connection, or bytes that
		// are no answer to ours: whose it is cannot be told, so nobody gets it.
		_ = resp.Body.Close()
		return nil, errUnknown.New("endpoint %s answered request %q", e.ID, a.ID)
	}
	return a, nil
}

// setBody gives the request its body. Only a repeatable one can be rewound:
// net/http sends a request again by itself when a kept connection proves dead
// and the body can be rewound or is absent, which would run it twice.
func setBody(out *http.Request, req *request) {
	out.ContentLength = int64(len(req.body))
	if !req.route.Repeatable() {
		out.Body = io.NopCloser(onceReader{bytes.NewReader(req.body)})
		return
	}
	if len(req.body) == 0 {
		out.Body = http.NoBody
		return
	}
	out.Body = io.NopCloser(bytes.NewReader(req.body))
	out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(req.body)), nil }
}

// onceReader hides that its reader can be rewound.
type onceReader struct{ io.Reader }
