package gateway

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"

	"github.com/mangostage/mangostage/internal/bounded"
	"github.com/mangostage/mangostage/internal/resultlog"
	"github.com/mangostage/mangostage/platform"
)

// exchangeRules say over which connections a request may be sent.
type exchangeRules struct {
	// used are the connections that have carried the request before.
	used []*endpointConn
	// work is what a call to an endpoint of a stage asks for; zero for others.
	work resultlog.Call
	// once is true if the HTTP client must not send the request again by itself.
	once bool
}

// exchange is one request to an endpoint up to the head of its answer.
type exchange struct {
	method string
	head   *bounded.Head
	rules  exchangeRules
	// done is closed once the exchange is given up.
	done <-chan struct{}
	// settled is closed once it is decided whether the connection may carry another request.
	settled chan struct{}
	settle  sync.Once
	// headBytes is about the length of the head in bytes, once it has come.
	headBytes int

	mu sync.Mutex
	// conn is the connection; nil until there is one. reused says that it was kept.
	conn   *endpointConn
	reused bool
	// carried is how many requests the connection had carried before, previous is settled of
	// the last one; nil if there was none.
	carried  int
	previous <-chan struct{}
	// begunOn is the connection to which a byte of the request may have been written; nil before
	// that. abandoned is true if none was and none will be.
	begunOn   *endpointConn
	abandoned bool
}

// trace returns the hooks that bind the exchange to its connection.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*endpointConn); ok {
				x.mu.Lock()
				x.conn, x.reused = c, info.Reused
				x.carried, x.previous = c.beginExchange(x)
				x.mu.Unlock()
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return x.head.EndInterim() },
	}
}

// beginWrite is called before each write. A request is not written to a connection that the
// endpoint has closed: it would be unknown whether the request has run. Nor is it written to one
// that has carried it before: the endpoint may send its answer to the send before once more, and
// nothing would tell that from the answer to this one. The same goes for a call to which the answer
// to an earlier one may come. A request that is sent once is written to no second connection:
// net/http repeats some by itself, whether or not they may have run.
func (x *exchange) beginWrite(c *endpointConn) error {
	if !x.awaitPrevious() {
		return net.ErrClosed
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.abandoned:
		return net.ErrClosed
	case x.begunOn == c:
		return nil
	case x.begunOn != nil && x.rules.once:
		return errSentBefore
	case c.retired.Load() || c.endedByPeer():
		return net.ErrClosed
	case slices.Contains(x.rules.used, c) || !c.results.Allows(x.rules.work.Pieces):
		return errConnUsed
	}
	x.begunOn = c
	return nil
}

// awaitPrevious waits until the exchange before on the connection is settled, and reports whether
// it is: false if this one is given up first. An answer without a body frees its connection before
// it has been looked at.
func (x *exchange) awaitPrevious() bool {
	x.mu.Lock()
	previous := x.previous
	x.mu.Unlock()
	if previous == nil {
		return true
	}
	select {
	case <-previous:
		return true
	case <-x.done:
	}
	select {
	case <-previous:
		return true
	default:
		return false
	}
}

// keep settles the exchange: its connection may carry another request. Only the first call of
// keep or retire has an effect.
func (x *exchange) keep() { x.settle.Do(func() { close(x.settled) }) }

// retire settles the exchange by closing its connection, before another request is written to it:
// an answer may still come over it that could be taken for the one to that.
func (x *exchange) retire() {
	x.settle.Do(func() {
		if x.conn != nil {
			x.conn.retired.Store(true)
			_ = x.conn.Close()
		}
		close(x.settled)
	})
}

// abandon reports whether no byte of a request that has failed was written, and keeps any
// from being written.
func (x *exchange) abandon() (unsent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = x.begunOn == nil
	return x.abandoned
}

// exchange sends a request by the rules and bounds the head of its answer. The caller settles the
// exchange: by keep or retire.
func (t *Transport) exchange(r *http.Request, rules exchangeRules) (*http.Response, *exchange, error) {
	if t.BeforeRequest != nil {
		t.BeforeRequest()
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	x := &exchange{method: r.Method, head: bounded.NewHead(cancel), rules: rules, done: ctx.Done(), settled: make(chan struct{})}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, x.trace())))
	x.headBytes = x.head.End()
	if err != nil {
		err = x.cause(ctx, err)
		cancel(err)
		return nil, x, err
	}
	ended := func() {
		if x.conn != nil {
			x.conn.endExchange(x, keepTime(platform.KeepAlive(resp.Header)))
		}
	}
	if resp.Body == http.NoBody {
		ended()
		return resp, x, nil
	}
	resp.Body = exchangeBody{resp.Body, func(cause error) {
		cancel(cause)
		ended()
	}}
	return resp, x, nil
}

// cause returns why an exchange failed with err, whose context is ctx: it was given up, what came is
// no answer, or else err.
func (x *exchange) cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); bounded.GivenUp(cause) {
		return cause
	}
	x.mu.Lock()
	conn := cmp.Or(x.begunOn, x.conn)
	x.mu.Unlock()
	if conn != nil {
		return conn.Judge(err)
	}
	return err
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	call := platform.CallOf(r.Context())
	if call == nil {
		resp, x, err := t.exchange(r, exchangeRules{})
		x.keep()
		return resp, err
	}
	// A call that is redirected is sent a second time.
	call.Exchange.Discard()
	resp, x, err := t.exchange(r, exchangeRules{work: call.Work})
	call.Exchange = callExchange{x}
	return resp, err
}

// exchangeBody is the body of an answer. Closing it ends the context of its exchange.
type exchangeBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b exchangeBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(context.Canceled)
	return err
}
