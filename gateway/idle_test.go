package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// Guards against connections that are kept until their endpoint closes them under a request,
// or closed long before.
func TestKeepTime(t *testing.T) {
	for named, want := range map[time.Duration]time.Duration{
		0:                  idleTimeout,
		time.Second:        500 * time.Millisecond,
		2 * time.Second:    time.Second,
		5 * time.Second:    4 * time.Second,
		15 * time.Second:   14 * time.Second,
		1000 * time.Second: maxIdleTimeout,
	} {
		assert.Equal(t, keepTime(named), want)
	}
}

// keepAliveServer returns a server that names the time, and counts its connections.
func keepAliveServer(t *testing.T, value string, answer http.HandlerFunc) (url string, opened *atomic.Int64) {
	t.Helper()
	opened = new(atomic.Int64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", value)
		answer(w, r)
	}))
	server.Config.ConnState = countOpened(opened)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, opened
}

// Guards against a connection that is used on although its endpoint is about to close it, or
// closed although the endpoint keeps it.
func TestConnectionIsKeptAsItsEndpointSays(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		value  string
		opened int64
	}{{"timeout=1", 2}, {"timeout=60, max=100", 1}} {
		url, opened := keepAliveServer(t, test.value, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		transport := NewTransport()
		t.Cleanup(transport.CloseIdleConnections)
		for range 2 {
			get(t, transport, url)
			time.Sleep(700 * time.Millisecond)
		}
		assert.Equal(t, opened.Load(), test.opened, test.value)
	}
}

// Guards against an exchange under which its connection is closed as idle.
func TestBusyConnectionIsNotClosedAsIdle(t *testing.T) {
	t.Parallel()
	url, _ := keepAliveServer(t, "timeout=1", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(480 * time.Millisecond)
		_, _ = io.WriteString(w, "b")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(480 * time.Millisecond)
	})
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for range 3 {
				get(t, transport, url)
				time.Sleep(time.Duration(480+2*i) * time.Millisecond)
			}
		})
	}
	clients.Wait()
}

// get reads a whole answer.
func get(t *testing.T, transport *Transport, url string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, nil)
	assert.Check(t, err == nil)
	resp, err := transport.RoundTrip(req)
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err == nil, "%v", err)
	_ = resp.Body.Close()
}

// countOpened returns a hook of a server that counts new connections.
func countOpened(opened *atomic.Int64) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
}

// Guards against idle connections that leave no descriptors for others.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	transport := NewTransport()
	transport.MaxConns = 4
	t.Cleanup(transport.CloseIdleConnections)
	for range 10 {
		url, _ := keepAliveServer(t, "timeout=60", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		get(t, transport, url)
		testwait.For(t, time.Second, func() bool { return len(transport.idle.oldest(1)) == 1 })
		transport.mu.Lock()
		open := len(transport.conns)
		transport.mu.Unlock()
		assert.Assert(t, open <= transport.MaxConns, "%d connections", open)
	}
}
