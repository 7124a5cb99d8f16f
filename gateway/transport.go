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

	mu    sync.Mutex
	conns map[*endpointConn]struct{}
	view  *catalog.View
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	transport *Transport
	addr      string
	opened    time.Time
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// dial opens a connection and notes when it was open.
func (t *Transport) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := endpointLimits.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &endpointConn{Conn: conn, transport: t, addr: addr, opened: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c, nil
}

// SetView ends the connections that were opened before the start of an endpoint
// that has come to be listed at their address. Requests on them end as broken:
// they may have run. Younger connections lead to the new process already; most
// ends of a process are seen by its connections at once, so the requests still
// under way at its address are mostly on those.
func (t *Transport) SetView(view *catalog.View) {
	t.mu.Lock()
	added := view.Added(t.view)
	t.view = view
	var ended []*endpointConn
	for _, e := range added {
		for c := range t.conns {
			if c.addr == e.Addr && c.opened.Before(e.Incarnation.Time()) {
				ended = append(ended, c)
			}
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
	t := &Transport{conns: make(map[*endpointConn]struct{}), view: catalog.NewView(nil, nil, 0)}
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
