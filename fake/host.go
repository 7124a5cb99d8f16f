package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("fake")

// ErrListen is returned when listening on an address fails.
var ErrListen = errs.NewType("listen")

const (
	reopenInterval    = 20 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

type serverContextKey struct{}

// host is an HTTP server on a fixed address that can simulate a crash: it goes
// down for a while and then returns.
type host struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	closed bool
	// cancel ends the server's context, which lasts until the next crash or
	// Close.
	cancel context.CancelFunc
	// releasePort frees the port reserved while the server is down.
	releasePort func()
}

func (h *host) start(addr string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open(addr)
}

func (h *host) open(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return ErrListen.Wrap(err, "listen on %s", addr)
	}
	h.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.server = &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(ctx, serverContextKey{}, ctx)
		},
	}
	go func(s *http.Server) { _ = s.Serve(ln) }(h.server)
	return nil
}

// URL returns the base URL, which stays the same across crashes.
func (h *host) URL() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return "http://" + h.addr
}

// serverContext returns the context that ends when the server of r crashes or
// closes. Unlike the request's own context, it outlives the caller's connection.
func serverContext(r *http.Request) context.Context {
	ctx, ok := r.Context().Value(serverContextKey{}).(context.Context)
	if !ok {
		return r.Context()
	}
	return ctx
}

// crash closes every connection, stops listening and listens on the same
// address again after downFor. It calls reset before any client can notice the
// crash.
func (h *host) crash(downFor time.Duration, reset func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.server == nil {
		return
	}
	h.cancel()
	reset()
	_ = h.server.Close()
	h.server = nil
	h.releasePort = reservePort(h.addr)
	time.AfterFunc(downFor, h.reopen)
}

// reopen listens again after a crash and retries while the address is taken.
func (h *host) reopen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.releasePort()
	if err := h.open(h.addr); err != nil {
		h.releasePort = reservePort(h.addr)
		time.AfterFunc(reopenInterval, h.reopen)
	}
}

// Close closes every connection and stops the server for good.
func (h *host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.server != nil {
		h.cancel()
		_ = h.server.Close()
		return
	}
	if h.releasePort != nil {
		h.releasePort()
	}
}
