package integration

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// stopConfig has one route of streams that cannot be resumed.
const stopConfig = `{"version":1,"routes":[
{"name":"chat","host":"shop.example","prefix":"/chat/","route_kind":"streaming","timeout_ms":15000,"slo_ms":1400,"service":"llm","max_attempts":2}],
"services":[{"name":"llm","engine":{"slots":16,"kv_capacity":100000}}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

// stopGrace is the time between SIGTERM and SIGKILL, as users have set it.
const stopGrace = 8 * time.Second

// stopRig is a gateway process with one fake engine.
type stopRig struct {
	gateway  *harness.Process
	engine   *standin.Endpoint
	frontend string
	ready    string
}

// startStopRig starts a gateway with an engine whose streams last for streamFor.
func startStopRig(t *testing.T, streamFor time.Duration) *stopRig {
	t.Helper()
	engine := &standin.Endpoint{ID: "m-1", Answer: func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		slowEvents(w, streamFor)
	}}
	store := standin.NewStore()
	store.Put(platform.KeyConfig, []byte(stopConfig))
	store.Put(platform.PrefixEndpoints+"m-1", fmt.Appendf(nil,
		`{"service":"llm","address":%q,"zone":"z0","slots":16,"state":"ready"}`, harness.ServeHTTP(t, engine)))
	r := &stopRig{engine: engine, frontend: harness.FreePort(t), ready: harness.FreePort(t)}
	r.gateway = startGateway(t, platform.Settings{
		Name: "g1", Frontend: r.frontend, Ready: r.ready, Peer: harness.FreePort(t), Store: harness.ServeHTTP(t, store),
	})
	testwait.For(t, recoveryTimeout, r.isReady)
	return r
}

// startGateway starts a gateway process with the addresses of s.
func startGateway(t *testing.T, s platform.Settings) *harness.Process {
	t.Helper()
	s.Bounds = harness.GatewayBounds(stopGrace)
	return harness.StartGateway(t, s)
}

// slowEvents writes a stream of ten events over d.
func slowEvents(w http.ResponseWriter, d time.Duration) {
	const events = 10
	ticker := time.NewTicker(d / events)
	defer ticker.Stop()
	for i := 1; i <= events; i++ {
		standin.WriteEvents(w, i, i)
		<-ticker.C
	}
}

// isReady probes readiness as the platform's load balancer does.
func (r *stopRig) isReady() bool { return harness.IsReady(r.ready) }

// ran reports whether the engine started to run the request.
func (r *stopRig) ran(id string) bool {
	return slices.ContainsFunc(r.engine.Runs(), func(run standin.Run) bool { return run.ID == id })
}

// client is a client with one connection, which stays open between requests.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	// id is the ID of the latest request, n the number of requests so far.
	id string
	n  int
}

func (r *stopRig) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", r.frontend)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn: conn, in: bufio.NewReader(conn)}
}

// send sends one request and reads its answer. It returns an error if the answer is
// not complete, with status 0 if there was no response.
func (c *client) send(t *testing.T) (status int, body string, err error) {
	t.Helper()
	c.n++
	c.id = fmt.Sprintf("%s-%d", c.conn.LocalAddr(), c.n)
	assert.NilError(t, c.conn.SetDeadline(time.Now().Add(2*stopGrace)))
	_, err = fmt.Fprintf(c.conn, "POST /chat/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k1\r\n"+
		"Mangostage-Attempt-Id: %s\r\nMangostage-Deadline-Ms: 15000\r\nMangostage-Token-Usage: 700,280\r\nContent-Length: 1\r\n\r\nx", c.id)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestStopTakesNoStreamThatItCannotFinish guards against streams that break off in a
// planned stop of the gateway and cannot be sent again. A client uses a connection
// from before SIGTERM for a request 3.1 s after it. The gateway accepted the request
// without checking that the stream can end within the grace period, waited for its
// stages, and exited before its end. Users recorded SIGTERM, the request 3.1 s later,
// and the cut at the end of the grace period.
func TestStopTakesNoStreamThatItCannotFinish(t *testing.T) {
	const streamFor = 4800 * time.Millisecond
	r := startStopRig(t, streamFor)
	// From this first stream the gateway learns how long streams last.
	before := r.dial(t)
	status, body, err := before.send(t)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 10)
	// A second client has a connection without any request yet, as after a
	// reconnect. It stays open until the gateway closes it.
	fresh := r.dial(t)

	began := time.Now()
	r.gateway.Term()
	testwait.For(t, recoveryTimeout, func() bool { return !r.isReady() })
	<-time.After(time.Until(began.Add(3100 * time.Millisecond)))
	var asking sync.WaitGroup
	for _, c := range []*client{before, fresh} {
		asking.Go(func() {
			status, _, err := c.send(t)
			at := time.Since(began).Round(time.Millisecond)
			switch {
			case r.ran(c.id):
				assert.Check(t, err == nil, "a request that ran has no complete answer (status %d), %v after SIGTERM", status, at)
			case status == 0:
				// The connection was closed before the request was read; the client
				// can send it elsewhere.
			default:
				assert.Check(t, status == http.StatusServiceUnavailable && err == nil, "status %d, %v", status, err)
			}
		})
	}
	asking.Wait()
	assert.Equal(t, r.gateway.WaitExit(recoveryTimeout), 0)
	assert.Assert(t, time.Since(began) < stopGrace, "the process must exit within the grace period")
}

// Guards against a client that is not told of a stop: its stream began before SIGTERM, so the
// head says nothing, and it would send its next request to the stopping gateway.
func TestStopClosesConnectionsAfterTheirStreams(t *testing.T) {
	const streamFor = 3 * time.Second
	r := startStopRig(t, streamFor)
	early, late := r.dial(t), r.dial(t)
	finish := func(c *client) {
		status, body, err := c.send(t)
		assert.Check(t, err == nil && status == http.StatusOK && strings.Count(body, "data:") == 10, "%d %v", status, err)
	}
	var earlyEnds, lateEnds sync.WaitGroup
	earlyEnds.Go(func() { finish(early) })
	<-time.After(streamFor / 2)
	lateEnds.Go(func() { finish(late) })
	testwait.For(t, recoveryTimeout, func() bool { return len(r.engine.Runs()) == 2 })
	r.gateway.Term()
	testwait.For(t, recoveryTimeout, func() bool { return !r.isReady() })
	assert.Assert(t, !r.isReady())
	earlyEnds.Wait()
	assert.NilError(t, early.conn.SetReadDeadline(time.Now().Add(streamFor/6)))
	_, err := early.in.Peek(1)
	assert.Check(t, errors.Is(err, io.EOF), "the connection is kept: %v", err)
	lateEnds.Wait()
	assert.Equal(t, r.gateway.WaitExit(recoveryTimeout), 0)
}
