package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/httpanswer"
)

// Guards against a process that calls hundreds of endpoints in turn, as the owner of a large
// fleet's queue does, and opens a connection for each call: its processor is then busy with
// opening connections, and the calls are late.
func TestConnectionsToManyEndpointsAreKept(t *testing.T) {
	const rounds = 3
	for _, endpoints := range []int{10, 100, 300, 600} {
		opened := new(atomic.Int64)
		var urls []string
		for range endpoints {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Keep-Alive", "timeout=60")
				_, _ = io.WriteString(w, "ok")
			}))
			server.Config.ConnState = countOpened(opened)
			server.Start()
			t.Cleanup(server.Close)
			urls = append(urls, server.URL)
		}
		transport := NewTransport()
		t.Cleanup(transport.CloseIdleConnections)
		now := time.Now()
		transport.idle.now = func() time.Time { return now }
		for range rounds {
			for _, url := range urls {
				get(t, transport, url)
			}
		}
		assert.Equal(t, opened.Load(), int64(endpoints), "%d calls of %d endpoints", rounds*endpoints, endpoints)
	}
}

// Guards against idle connections without bound, and against a bound that closes those in
// use: what was used lately is kept, and of the rest what was used last.
func TestIdleConnectionsAreBounded(t *testing.T) {
	l := newIdleConns()
	conns := make([]*endpointConn, 3*maxRecentIdle)
	now := time.Unix(0, 0)
	l.now = func() time.Time { return now }
	for i := range conns {
		conns[i] = &endpointConn{}
		surplus := l.add(conns[i], &exchange{})
		assert.Equal(t, len(surplus), min(1, max(0, i+1-maxRecentIdle)), "all are used lately")
		if len(surplus) > 0 {
			assert.Equal(t, surplus[0].conn, conns[i-maxRecentIdle], "the oldest is closed")
		}
	}
	now = now.Add(recentUse + time.Millisecond)
	assert.Equal(t, len(l.add(conns[0], &exchange{})), maxRecentIdle+1-maxIdle, "nothing else was used lately")
	assert.Equal(t, l.order.Len(), maxIdle)
	l.remove(conns[0])
	l.remove(conns[0])
	assert.Equal(t, l.order.Len(), maxIdle-1)
	assert.Equal(t, len(l.elements), maxIdle-1)
}

// Guards against closed connections that take the places of open ones: the end of a
// connection may be noted before that of its last exchange.
func TestClosedConnectionsAreNotKept(t *testing.T) {
	transport := NewTransport()
	for range 2 * maxRecentIdle {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		c := &endpointConn{Conn: httpanswer.NewConn(ours), transport: transport}
		x := &exchange{}
		c.beginExchange(x)
		assert.NilError(t, c.Close())
		c.endExchange(x, time.Minute)
	}
	assert.Equal(t, transport.idle.order.Len(), 0)
}
