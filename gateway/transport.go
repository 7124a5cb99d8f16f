package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/dialer"
)

const (
	// idleTimeout is how long a connection to an endpoint is kept unused.
	idleTimeout = 4 * time.Second
	// maxIdlePerHost bounds the kept connections to one endpoint.
	maxIdlePerHost = 16
	// maxAnswerHeader bounds the header of an endpoint's answer in bytes.
	maxAnswerHeader = 64 << 10
)

// endpointLimits: an endpoint that is cut off does not answer a new connection
// at all, the others do in milliseconds. Two seconds without an
// acknowledgement are many times what a lossy link needs.
var endpointLimits = dialer.Limits{
	Dial:           600 * time.Millisecond,
	Unacknowledged: 2 * time.Second,
	Probe:          2 * time.Second,
}

// Transport carries requests to endpoints. It knows when its connections were
// opened, and ends those to processes that are no more.
//
// The failure that it guards against: an endpoint crashes behind a partition and
// starts again under its ID and address. No end of the old connections is seen,
// so requests under way wait until their deadline, and the next ones are sent
// over kept connections to the process that has ended.
type Transport struct {
	*http.Transport
	// Check, if it is set, is called before each request and returns when a
	// pause of this process, if there was one, has been dealt with.
	//
	// It guards against kept connections that died while the process stood
	// still: a request that may run once only and goes out on one has an unknown
	// fate, and its client waits for nothing until its deadline. Dealing with the
	// pause closes the connections that are idle.
	Check func()

	mu    sync.Mutex
	conns map[*endpointConn]struct{}
	// listed is the endpoint at each address, as of the last view.
	listed map[string]*catalog.Endpoint
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	transport *Transport
	// endpoint was listed at the address when the connection was opened; nil if
	// none was.
	endpoint *catalog.Endpoint
	opened   time.Time
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// outlived tells whether the process at the other end has ended: another one
// serves under its ID and started after the connection was opened. A younger
// connection leads to the new process already, although the old one was listed
// when it was opened: most ends of a process are seen by its connections at
// once, so the requests still under way are mostly on such. Another ID at the
// same address says nothing: an endpoint that has left may finish what it has.
func (c *endpointConn) outlived(view *catalog.View) bool {
	if c.endpoint == nil || !view.Replaced(c.endpoint.ID, c.endpoint.Incarnation) {
		return false
	}
	return c.opened.Before(view.Present(c.endpoint.ID).Incarnation.Time())
}

// dial opens a connection and notes when, and to whom.
func (t *Transport) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := endpointLimits.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &endpointConn{Conn: conn, transport: t, endpoint: t.listed[addr], opened: time.Now()}
	t.conns[c] = struct{}{}
	return c, nil
}

// SetView takes the endpoints that are listed now and ends the connections to
// processes that have ended. Requests on them end as broken: they may have run.
func (t *Transport) SetView(view *catalog.View) {
	listed := make(map[string]*catalog.Endpoint, view.Len())
	for e := range view.All() {
		listed[e.Addr] = e
	}
	var ended []*endpointConn
	t.mu.Lock()
	t.listed = listed
	for c := range t.conns {
		if c.outlived(view) {
			ended = append(ended, c)
		}
	}
	t.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// NewTransport returns the transport to endpoints. It follows no proxy of the
// environment and asks for no encoding, since answers are relayed as they are.
func NewTransport() *Transport {
	t := &Transport{conns: make(map[*endpointConn]struct{})}
	t.Transport = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ForceAttemptHTTP2:      false,
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Check != nil {
		t.Check()
	}
	return t.Transport.RoundTrip(r)
}
