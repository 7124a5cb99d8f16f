package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// answer is an endpoint's response.
type answer struct {
	*http.Response
	platform.Answer
	// endpoint is the endpoint that sent the answer.
	endpoint *catalog.Endpoint
	// opened is when the connection was opened.
	opened time.Time
	// headBytes is about the length of the head in bytes.
	headBytes int
	// observe passes on what the endpoint says about itself; nil once it has.
	observe func(platform.Signals)
	// giveUp ends the answer and closes its connection, for the cause given.
	giveUp context.CancelCauseFunc
	// begun is true once the first event of a stream has come.
	begun bool
	// pauses measures the pauses between events.
	pauses pauses
}

// believe passes on what the endpoint says about itself in the answer, which is whole, or in the
// head of a stream whose first event has come.
func (a *answer) believe() {
	if a.observe != nil {
		a.observe(a.Signals)
		a.observe = nil
	}
}

// disbelieve drops what the endpoint says about itself in the answer, which is broken.
func (a *answer) disbelieve() {
	a.observe, a.Load = nil, nil
}

// loadReport returns the load that the endpoint reported with the answer; nil without
// one.
func (a *answer) loadReport() *balance.Report {
	if a == nil || a.Load == nil {
		return nil
	}
	return &balance.Report{Load: a.Load.Running + a.Load.Waiting, Pace: a.Load.Pace}
}

// send sends the request to one endpoint and returns its response. An error is of
// type errNotSent or errUnknown. A response may still say that the endpoint has not
// run the request: then its body has been read, as that of each error.
func (g *Gateway) send(ctx context.Context, req *request, e *catalog.Endpoint, s platform.ForwardOptions) (*answer, error) {
	ctx, giveUp := context.WithCancelCause(ctx)
	sent := time.Now()
	a, err := g.sendOnKept(ctx, req, e, s)
	if err != nil {
		if errorx.IsOfType(err, errNotSent) {
			req.lastSend.notRun = notRunUnwritten
		}
		giveUp(err)
		return nil, err
	}
	a.giveUp = giveUp
	if a.Body != http.NoBody {
		a.Body = exchangeBody{a.Body, giveUp}
	}
	a.observe = func(s platform.Signals) { g.cfg.Signals.Observe(e.Key(), req.ID, sent, s) }
	if a.StatusCode < http.StatusMultipleChoices {
		return a, nil
	}
	if err := a.readWholeError(); err != nil {
		giveUp(err)
		return nil, err
	}
	if a.NotRun {
		req.lastSend.notRun = notRunStated
	}
	return a, nil
}

// sendOnKept sends the request on a kept connection, or on the next one if the endpoint has
// closed that before a byte of the request was written.
func (g *Gateway) sendOnKept(ctx context.Context, req *request, e *catalog.Endpoint, s platform.ForwardOptions) (*answer, error) {
	for kept := 0; ; kept++ {
		out, err := newSend(ctx, req, e, s)
		if err != nil {
			return nil, errNotSent.Wrap(err, "request")
		}
		a, reused, err := g.roundTrip(out, req, e)
		if err == nil || !reused || kept == maxIdlePerEndpoint || ctx.Err() != nil || !errorx.IsOfType(err, errNotSent) {
			return a, err
		}
	}
}

// newSend returns the request to an endpoint.
func newSend(ctx context.Context, req *request, e *catalog.Endpoint, s platform.ForwardOptions) (*http.Request, error) {
	s.Endpoint = e.ID
	s.Remaining = req.remaining()
	s.Account = req.accountName()
	out, err := http.NewRequestWithContext(ctx, req.http.Method, "http://"+e.Addr, nil)
	if err != nil {
		return nil, err
	}
	out.URL = targetURL(e.Addr, req.http)
	out.Host = req.http.Host
	out.Header = platform.ForwardHeader(req.http.Header, s)
	out.Header.Del("Expect")
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		out.Header.Set("User-Agent", "")
	}
	setBody(out, req.body)
	return out, nil
}

// targetURL returns the URL by which the request target is forwarded as the client wrote it.
func targetURL(addr string, r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "//") {
		// net/url takes an opaque target that begins so for a host and a path.
		return &url.URL{Scheme: "http", Host: addr, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	}
	return &url.URL{Scheme: "http", Host: addr, Opaque: r.RequestURI}
}

// forwardable reports whether the request target can be forwarded as the client wrote it.
func forwardable(r *http.Request) bool {
	return targetURL("", r).RequestURI() == r.RequestURI
}

// roundTrip makes one exchange with an endpoint up to the head of its answer to the request
// as it is sent in out. reused says that it went over a kept connection.
func (g *Gateway) roundTrip(out *http.Request, req *request, e *catalog.Endpoint) (a *answer, reused bool, err error) {
	resp, x, err := g.cfg.Transport.exchange(out, exchangeRules{used: req.usedConns, once: true})
	defer x.keep()
	req.lastSend = sendRecord{conn: x.use()}
	switch {
	case err == nil && x.abandon():
		return nil, x.reused, g.dropEarlyAnswer(req, e, resp, x)
	case err == nil:
	case x.conn == nil:
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.cfg.OnRefused(e.Key())
		}
		return nil, false, errNotSent.Wrap(err, "endpoint %s", e.ID)
	case x.abandon():
		return nil, x.reused, errNotSent.Wrap(err, "endpoint %s", e.ID)
	case x.reused && x.headBytes == 0 && out.Context().Err() == nil && !isNoAnswer(err):
		return nil, true, errConnEnded.Wrap(err, "endpoint %s", e.ID)
	default:
		return nil, x.reused, asUnknown(err, "endpoint %s", e.ID)
	}
	req.usedConns = append(req.usedConns, x.conn)
	a = &answer{
		Response: resp, Answer: platform.DecodeAnswer(resp.StatusCode, resp.Header), endpoint: e,
		opened: x.conn.opened, headBytes: x.headBytes,
	}
	if a.ID != req.ID {
		// This is a late answer to an earlier request on the connection, or not an answer
		// to this request at all. Its recipient is unknown, so nobody gets it.
		x.retire()
		_ = resp.Body.Close()
		g.recordStray(req, a)
		return nil, x.reused, errUnknown.New("endpoint %s sent the answer to request %q", e.ID, a.ID)
	}
	return a, x.reused, nil
}

// dropEarlyAnswer closes the connection of an answer that came before a byte of the request was
// written, and so belongs to no send of it.
func (g *Gateway) dropEarlyAnswer(req *request, e *catalog.Endpoint, resp *http.Response, x *exchange) error {
	x.retire()
	_ = resp.Body.Close()
	g.recordStray(req, &answer{Response: resp, Answer: platform.DecodeAnswer(resp.StatusCode, resp.Header), endpoint: e})
	return errNotSent.New("endpoint %s sent an answer before the request", e.ID)
}

// recordEnded records a send on a kept connection that its endpoint ended.
func (t *attempts) recordEnded(e *catalog.Endpoint, err error) {
	if t.connEnded == "" && errorx.IsOfType(err, errConnEnded) {
		t.connEnded = e.Key()
	}
}

// allowConnEnded lets a request that may be repeated go once more to the endpoint that ended
// a kept connection under it, if there is no other: it may only have been idle for too long.
func (g *Gateway) allowConnEnded(req *request, tries *attempts) {
	if !tries.avoid[tries.connEnded] || tries.runs != 1 {
		return
	}
	for _, e := range g.endpointsFor(req) {
		if e.TakesWork() && !tries.avoid[e.Key()] {
			return
		}
	}
	delete(tries.avoid, tries.connEnded)
}

// setBody sets the body of a request so that it cannot be rewound: net/http itself sends a
// request again whose kept connection turns out to be dead, and which may have run, if its
// body can be rewound or is absent.
func setBody(out *http.Request, body payload) {
	out.ContentLength = body.length
	out.Body = io.NopCloser(body.reader())
	if body.length > 0 || probesEmptyBody(out.Method) {
		return
	}
	// An empty body of unknown length would be sent in chunks. Without a body, net/http sends
	// a request with this method again only if it has a header for that, under its usual name.
	out.Body = http.NoBody
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
}

// probesEmptyBody reports whether net/http looks whether a body of a request with the method
// is empty, and then sends it as if it had none.
func probesEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, "PROPFIND", "SEARCH":
		return true
	}
	return false
}
