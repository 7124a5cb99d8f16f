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

// ErrListen is returned when an address cannot be listened on.
var ErrListen = errs.NewType("listen")

const (
	reopenEvery       = 20 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

type lifeKey struct{}

// host serves HTTP on one address and can vanish from it for a while.
type host struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	server *http.Server
	closed bool
	// end ends the present life, which lasts until the next crash or Close.
	end context.CancelFunc
	// held keeps the port while nothing listens on it.
	held func()
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
	life, end := context.WithCancel(context.Background())
	h.end = end
	h.server = &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(life, lifeKey{}, life)
		},
	}
	go func(s *http.Server) { _ = s.Serve(ln) }(h.server)
	return nil
}

// URL returns the base URL, which a crash does not change.
func (h *host) URL() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return "http://" + h.addr
}

// lifeOf returns the context that ends when the server of r crashes or closes
// and, unlike the request's own, outlives the caller's connection.
func lifeOf(r *http.Request) context.Context {
	life, ok := r.Context().Value(lifeKey{}).(context.Context)
	if !ok {
		return r.Context()
	}
	return life
}

// crash cuts every connection, stops listening and comes back on the same
// address after downFor. It calls lose before anybody can see the crash.
func (h *host) crash(downFor time.Duration, lose func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.server == nil {
		return
	}
	h.end()
	lose()
	_ = h.server.Close()
	h.server = nil
	h.held = reserve(h.addr)
	time.AfterFunc(downFor, h.reopen)
}

func (h *host) reopen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.held()
	if err := h.open(h.addr); err != nil {
		h.held = reserve(h.addr)
		time.AfterFunc(reopenEvery, h.reopen)
	}
}

// Close cuts every connection and stops for good.
func (h *host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.server != nil {
		h.end()
		_ = h.server.Close()
		return
	}
	if h.held != nil {
		h.held()
	}
}
