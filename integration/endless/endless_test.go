// Package endless tests gateway processes before endpoints that send bytes without end.
package endless

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// endlessConfig has a plain service and stages whose endpoints send bytes without end, and a plain
// service whose endpoints do not.
const endlessConfig = `{"version":1,"routes":[
{"name":"sound","host":"shop.example","prefix":"/sound/","route_kind":"idempotent","timeout_ms":4000,"slo_ms":300,"service":"sound","max_attempts":2},
{"name":"plain","host":"shop.example","prefix":"/plain/","route_kind":"idempotent","timeout_ms":4000,"slo_ms":300,"service":"plain","max_attempts":2},
{"name":"once","host":"shop.example","prefix":"/once/","route_kind":"non_idempotent","timeout_ms":4000,"slo_ms":300,"service":"plain","max_attempts":1},
{"name":"stream","host":"shop.example","prefix":"/stream/","route_kind":"streaming","timeout_ms":4000,"slo_ms":300,"service":"plain","max_attempts":1},
{"name":"staged","host":"shop.example","prefix":"/staged/","route_kind":"streaming","timeout_ms":4000,"slo_ms":2000,"service":"llm","max_attempts":2,"stages":[{"service":"stage","byte_count":100}]}],
"services":[{"name":"llm","engine":{"slots":64,"kv_capacity":1000000}},{"name":"sound"},{"name":"plain"},
{"name":"stage","segments":{"slots":1,"queue":2,"batch":8,"call_ms":10,"item_ms":1,"headroom_mb":1,"handle_ttl_s":30}}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

const (
	// faultyEndpoints is the number of endpoints of a service that send bytes without end.
	faultyEndpoints = 20
	// memoryLimit is the memory of a gateway's process, in bytes.
	memoryLimit = 184 << 20
	// offeredFor is the time for which clients send requests, each of clientsPerRoute in turn.
	offeredFor      = 6 * time.Second
	clientsPerRoute = 8
	clientDeadline  = 2 * time.Second
	// answerMargin is how long after a request's deadline its answer may come.
	answerMargin = time.Second
	startTimeout = 30 * time.Second
	grace        = 8 * time.Second
	// fillerBytes is the size of the bytes that are sent again and again, sendInterval the pause
	// between them: 13 MB/s over each connection, so that the machine has time for the clients.
	fillerBytes  = 64 << 10
	sendInterval = 5 * time.Millisecond
)

// filler is what endpoints send.
var filler = strings.Repeat("x", fillerBytes)

// bytesWithoutEnd are the beginnings of answers that do not end, and what follows again and again;
// %s is the request's ID.
var bytesWithoutEnd = []struct{ name, head, then string }{
	{"no head", "", filler},
	{"one header line", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nX: ", filler},
	{"header lines", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\n", "X: y\r\n"},
	{"early hints", "", "HTTP/1.1 103 X\r\nLink: y\r\n\r\n"},
	{"body without length", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\n\r\n", filler},
	{"sealed body without length", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\n\r\n", filler},
	{"error body", "HTTP/1.1 500 X\r\nMangostage-Attempt-Id: %s\r\n\r\n", filler},
	{"body of a refusal", "HTTP/1.1 503 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Not-Executed: 1\r\n\r\n", filler},
	{"chunks", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
	{"chunk size", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	{"chunk extension", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler},
	{"trailers", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"one event", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", filler},
	{"entries of pieces", "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n{\"entries\":[", `{"handle":"x"},`},
	{"bytes after an answer", "HTTP/1.1 200 X\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", filler},
}

// serveWithoutEnd answers each request on a loopback address with bytes without end.
func serveWithoutEnd(t *testing.T, head, then string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerWithoutEnd(conn, head, then)
		}
	}()
	return listener.Addr().String()
}

// answerWithoutEnd answers the first request over a connection until that is closed.
func answerWithoutEnd(conn net.Conn, head, then string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if _, err := io.WriteString(conn, strings.Replace(head, "%s", req.Header.Get("Mangostage-Attempt-Id"), 1)); err != nil {
		return
	}
	then = strings.Repeat(then, max(1, fillerBytes/len(then)))
	for ; err == nil; <-time.After(sendInterval) {
		_, err = io.WriteString(conn, then)
	}
}

// rig is one gateway process before faulty endpoints.
type rig struct {
	frontend string
	process  *harness.Process
}

func newRig(t *testing.T) *rig {
	store := standin.NewStore()
	store.Put(platform.KeyConfig, []byte(endlessConfig))
	put := func(service, id, addr string) {
		store.PutEndpoint(id, standin.Entry{Service: service, Addr: addr, Domain: "z0", Slots: 64, State: "ready"})
	}
	for _, service := range []string{"plain", "stage"} {
		for i := range faultyEndpoints {
			b := bytesWithoutEnd[i%len(bytesWithoutEnd)]
			put(service, fmt.Sprintf("%s-%d", service, i), serveWithoutEnd(t, b.head, b.then))
		}
	}
	put("sound", "sound-0", harness.ServeHTTP(t, &standin.Endpoint{ID: "sound-0"}))
	put("llm", "llm-0", harness.ServeHTTP(t, &standin.Endpoint{ID: "llm-0"}))
	r := &rig{frontend: harness.FreePort(t)}
	ready := harness.FreePort(t)
	r.process = harness.StartGateway(t, platform.Settings{
		Name: "g1", Frontend: r.frontend, Ready: ready, Peer: harness.FreePort(t),
		Store: harness.ServeHTTP(t, store), Bounds: harness.GatewayBounds(grace),
	})
	testwait.For(t, startTimeout, func() bool { return harness.IsReady(ready) })
	return r
}

// ask sends a request of a route and returns its status; 0 if the answer is not whole.
func (r *rig) ask(client *http.Client, route string, number int64) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.frontend+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("Mangostage-Attempt-Id", fmt.Sprintf("%016x", number))
	req.Header.Set("Mangostage-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	if route == "staged" {
		req.Header.Set("Mangostage-Segments", "1")
		req.Header.Set("Mangostage-Segment-Key", "key")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a gateway that keeps what endpoints of plain services and of stages send without
// end: it runs out of memory, and the requests of its other clients end with it.
func TestManyEndpointsWithoutEndAtOneProcess(t *testing.T) {
	r := newRig(t)
	var number, sound, unsound, slow atomic.Int64
	end := time.Now().Add(offeredFor)
	var clients sync.WaitGroup
	for _, route := range []string{"sound", "plain", "once", "stream", "staged"} {
		for range clientsPerRoute {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for time.Now().Before(end) {
					began := time.Now()
					status := r.ask(client, route, number.Add(1))
					if time.Since(began) > clientDeadline+answerMargin {
						slow.Add(1)
					}
					if route != "sound" {
						continue
					}
					if status == http.StatusOK {
						sound.Add(1)
					} else {
						unsound.Add(1)
					}
				}
			})
		}
	}
	clients.Wait()
	peak := r.process.PeakMemory()
	t.Logf("%d requests, %d sound ones served, peak of the memory %d MB", number.Load(), sound.Load(), peak>>20)
	assert.Check(t, peak > 0 && peak < memoryLimit, "%d MB", peak>>20)
	assert.Check(t, sound.Load() > 0 && unsound.Load() == 0, "%d of the others' requests served, %d not", sound.Load(), unsound.Load())
	assert.Check(t, slow.Load() == 0, "%d answers came over %s after the deadline", slow.Load(), answerMargin)
	assert.Check(t, r.process.Running())
}
