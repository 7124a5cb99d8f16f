package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/bounded"
	"github.com/mangostage/mangostage/internal/dialer"
	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/socket"
)

const (
	// idleTimeout is how long an unused connection to an endpoint is kept that does not
	// name a time, maxIdleTimeout how long at most.
	idleTimeout    = 4 * time.Second
	maxIdleTimeout = 30 * time.Second
	// idleMargin is how long before the time that the endpoint names it is closed: it is
	// named in whole seconds, and a request may be on its way.
	idleMargin = time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// endpointLimits limits connections to endpoints. An endpoint that is partitioned
// does not answer a new connection at all, the others do so in milliseconds. Two
// seconds without an acknowledgement are many times what a lossy link needs.
var endpointLimits = dialer.Limits{
	Dial:           600 * time.Millisecond,
	Unacknowledged: 2 * time.Second,
	Probe:          2 * time.Second,
	// An answer that its client does not take stays here.
	ReceiveBuffer: 32 << 10,
}

// Transport carries requests to endpoints. It tracks when its connections were
// opened and closes those to processes that have ended.
//
// The failure that it guards against: an endpoint crashes behind a partition and
// restarts under its ID and address. The end of the old connections is not seen, so
// requests in flight wait until their deadline, and new ones are sent over kept
// connections to the process that has ended.
type Transport struct {
	*http.Transport
	// BeforeRequest, if set, is called before each request. It returns once a pause of this
	// process, if there was one, has been handled, which closes the idle connections.
	//
	// It guards against kept connections that died while the process was paused: a
	// request that must not be retried and is sent over such a connection may or may
	// not have run, and its client waits without an answer until its deadline.
	BeforeRequest func()

	// MaxConns is the number of open connections from which on a new one closes the one that
	// is idle for longest; 0 means that there is none. It is set before the first request.
	//
	// It guards against idle connections that leave no descriptors for clients and peers.
	MaxConns int

	// OnStray, if set, is called with the service of the endpoint, if that was listed, whose
	// answer to a call belongs to another one.
	OnStray func(service string)

	// idle holds the connections that no request uses.
	idle *idleConns

	mu    sync.Mutex
	conns map[*endpointConn]struct{}
	// opened counts the connections.
	opened uint64
	// endpointsByAddr holds the endpoint listed at each address in the latest view.
	endpointsByAddr map[string]*catalog.Endpoint
}

// NewTransport returns the transport to endpoints. It ignores the proxy settings of
// the environment and requests no content encoding, since answers are relayed
// unchanged.
func NewTransport() *Transport {
	t := &Transport{idle: newIdleConns(), conns: make(map[*endpointConn]struct{})}
	t.Transport = &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        maxIdleTimeout,
		MaxResponseHeaderBytes: bounded.MaxHead,
		ForceAttemptHTTP2:      false,
	}
	return t
}

// dial opens a connection and registers it with the endpoint listed at its address.
func (t *Transport) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := endpointLimits.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c, surplus := t.register(conn, addr)
	if surplus > 0 {
		for _, s := range t.idle.oldest(surplus) {
			s.conn.closeIdle(s.exchange)
		}
	}
	return c, nil
}

// register tracks a new connection. surplus is how many connections are open beyond MaxConns.
func (t *Transport) register(conn net.Conn, addr string) (c *endpointConn, surplus int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened++
	c = &endpointConn{
		Conn: httpanswer.NewConn(conn), raw: socket.Raw(conn), transport: t, number: t.opened, endpoint: t.endpointsByAddr[addr], opened: time.Now(),
	}
	t.conns[c] = struct{}{}
	if t.MaxConns > 0 {
		surplus = len(t.conns) - t.MaxConns
	}
	return c, surplus
}

// countStray counts an answer of the endpoint, which may be nil, that belongs to no call.
func (t *Transport) countStray(e *catalog.Endpoint) {
	switch {
	case t.OnStray == nil:
	case e == nil:
		t.OnStray("")
	default:
		t.OnStray(e.Service)
	}
}

// SetView sets the listed endpoints and closes the connections to processes that
// have ended. Requests on them fail as broken, since they may have run.
func (t *Transport) SetView(view *catalog.View) {
	listed := make(map[string]*catalog.Endpoint, view.Len())
	for e := range view.All() {
		listed[e.Addr] = e
	}
	var ended []*endpointConn
	t.mu.Lock()
	t.endpointsByAddr = listed
	for c := range t.conns {
		if c.isStale(view) {
			ended = append(ended, c)
		}
	}
	t.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// ServesSince reports whether a connection to the endpoint process with the Key that was
// opened before the time is still open: the process has not ended since.
func (t *Transport) ServesSince(key string, before time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.opened.Before(before) && c.endpoint != nil && c.endpoint.Key() == key && !c.endedByPeer() {
			return true
		}
	}
	return false
}
