package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

func TestAnswerIsRelayedAsItIs(t *testing.T) {
	r := newRig(t)
	e := r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		w.Header().Set("X-Own", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "made")
	})
	req := r.request(http.MethodPost, "/once/a%2Fb/?q=%20x", "body")
	req.Header.Set("Mangostage-Tenant", "forged")
	got := r.do(req)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusCreated)
	assert.Equal(t, got.body, "made")
	assert.Equal(t, got.header.Get("X-Own"), "1")
	assert.Equal(t, got.header.Get("Mangostage-Server-Seal"), "seal")
	run := e.Runs()[0]
	assert.Equal(t, run.Target, "/once/a%2Fb/?q=%20x")
	assert.Equal(t, string(run.Body), "body")
	assert.Equal(t, run.Header.Get("Mangostage-Tenant"), "acme")
	assert.Equal(t, run.Header.Get("Authorization"), "")
}

func TestAdmission(t *testing.T) {
	r := newRig(t)
	req := r.request(http.MethodGet, "/idem/", "")
	got := r.do(req)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "no configuration yet")
	assert.Assert(t, got.header.Get("Retry-After") != "")

	r.startEndpoint("plain", "i-1", nil)
	tests := []struct {
		name, path, key string
		body            int
		want            int
	}{
		{"known key", "/idem/", "Token k1", 0, http.StatusOK},
		{"unknown key", "/idem/", "Token k2", 0, http.StatusUnauthorized},
		{"no key", "/idem/", "", 0, http.StatusUnauthorized},
		{"unknown path", "/none/", "Token k1", 0, http.StatusNotFound},
		{"body over the limit", "/once/", "Token k1", 2 << 10, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := r.request(http.MethodPost, tt.path, strings.Repeat("x", tt.body))
			req.Header.Set("Authorization", tt.key)
			assert.Equal(t, r.do(req).status, tt.want)
		})
	}
}

// A request that must run at most once is sent to an endpoint, which runs it and dies
// before it answers. The request must not be sent again, and the client must not be
// told that it has not run.
func TestOnceRequestIsNotRetried(t *testing.T) {
	r := newRig(t)
	broken := func(http.ResponseWriter, standin.Run) { standin.AbortAnswer() }
	one := r.startEndpoint("plain", "i-1", broken)
	two := r.startEndpoint("plain", "i-2", broken)
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, len(one.Runs())+len(two.Runs()), 1)
}

// Guards against a GET that runs twice: net/http itself resends it when a kept
// connection turns out to be dead. The endpoint runs each request and then drops the
// connection, every second time without an answer.
func TestTransportDoesNotRetryOnceRequest(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	served, calls := make(map[string]int), 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := req.Header.Get("Mangostage-Attempt-Id")
					mu.Lock()
					served[id]++
					calls++
					drop := calls%2 == 0
					mu.Unlock()
					if drop {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMangostage-Attempt-Id: %s\r\nMangostage-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", id)
				}
			}()
		}
	}()
	r.add("plain", "i-1", listener.Addr().String())
	for range 6 {
		r.do(r.request(http.MethodGet, "/once/", ""))
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range served {
		assert.Equal(t, n, 1, "%s ran %d times", id, n)
	}
}

// An endpoint drops the connection; another one serves the idempotent request.
func TestIdempotentRequestIsRetried(t *testing.T) {
	r := newRig(t)
	var once sync.Once
	fail := func(w http.ResponseWriter, _ standin.Run) {
		failed := false
		once.Do(func() { failed = true })
		if failed {
			standin.AbortAnswer()
		}
		standin.Seal(w)
		_, _ = io.WriteString(w, "ok")
	}
	r.startEndpoint("plain", "i-1", fail)
	r.startEndpoint("plain", "i-2", fail)
	got := r.do(r.request(http.MethodGet, "/idem/", ""))
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "ok")
}

// All endpoints refuse: the request has not run, and the client is told so at once,
// with a Retry-After.
func TestAllEndpointsRefuse(t *testing.T) {
	r := newRig(t)
	for _, id := range []string{"i-1", "i-2"} {
		r.startEndpoint("plain", id, nil).Reject(true)
	}
	began := time.Now()
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(got.body, `"ran":"no"`), got.body)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// An answer must not reach the client as a success unless it is the endpoint's own
// complete and sealed answer to this request.
func TestUnusableAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, run standin.Run)
	}{
		{"another request's", func(w http.ResponseWriter, _ standin.Run) {
			w.Header().Set("Mangostage-Attempt-Id", "somebody-else")
			standin.Seal(w)
			_, _ = io.WriteString(w, "secret")
		}},
		{"no seal", func(w http.ResponseWriter, _ standin.Run) { _, _ = io.WriteString(w, "ok") }},
		{"encoded", func(w http.ResponseWriter, _ standin.Run) {
			standin.Seal(w)
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "ok")
		}},
		{"cut short", func(w http.ResponseWriter, _ standin.Run) {
			standin.Seal(w)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			standin.AbortAnswer()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t)
			r.startEndpoint("plain", "i-1", tt.answer)
			got := r.do(r.request(http.MethodPost, "/once/", "order"))
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Assert(t, !strings.Contains(got.body, "secret"))
		})
	}
}

// An answer without a length ends early after its headers were relayed: the client
// must see that it is incomplete.
func TestTruncatedAnswerWithoutLength(t *testing.T) {
	r := newRig(t)
	r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		standin.AbortAnswer()
	})
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.Assert(t, got.err != nil, "status %d, body %q looks complete", got.status, got.body)
}

// An endpoint's own error is relayed with its status if no other endpoint is left.
func TestEndpointErrorIsRelayed(t *testing.T) {
	r := newRig(t)
	e := r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	})
	got := r.do(r.request(http.MethodGet, "/idem/", ""))
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.body, "broken")
	assert.Equal(t, len(e.Runs()), 1, "no other endpoint is left")
}

// The client leaves: the endpoint's request must be cancelled.
func TestClientLeaves(t *testing.T) {
	r := newRig(t)
	started, stopped := make(chan struct{}), make(chan struct{})
	r.add("plain", "i-1", serve(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
		close(stopped)
	})))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	r.do(r.request(http.MethodGet, "/once/", "").WithContext(ctx))
	select {
	case <-stopped:
	case <-time.After(waitTimeout):
		t.Fatal("the endpoint's request was not cancelled")
	}
}

// An endpoint hangs until the request's deadline: the client then gets a final answer
// that does not say that the request has not run.
func TestDeadline(t *testing.T) {
	r := newRig(t)
	r.add("plain", "i-1", serve(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		<-req.Context().Done()
	})))
	req := r.request(http.MethodGet, "/once/", "")
	req.Header.Set("Mangostage-Deadline-Ms", "300")
	got := r.do(req)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// All endpoints fail and each request is retried: the load on them must not double.
// Retries are limited to a ratio of the first sends and a fixed slack.
func TestRetriesAreBounded(t *testing.T) {
	r := newRig(t)
	var endpoints []*standin.Endpoint
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		endpoints = append(endpoints, r.startEndpoint("plain", id, func(http.ResponseWriter, standin.Run) { standin.AbortAnswer() }))
	}
	const sent = 100
	for range sent {
		r.do(r.request(http.MethodGet, "/idem/", ""))
	}
	runs := 0
	for _, e := range endpoints {
		runs += len(e.Runs())
	}
	assert.Assert(t, runs > sent && runs <= sent+sent*20/100+20, "%d runs of %d requests", runs, sent)
}

func TestGatewayDuringShutdown(t *testing.T) {
	r := newRig(t)
	r.startEndpoint("plain", "i-1", nil)
	ready := func() int {
		w := httptest.NewRecorder()
		r.gateway.Ready(w, nil)
		return w.Code
	}
	assert.Equal(t, ready(), http.StatusOK)
	r.gateway.BeginShutdown(time.Now().Add(waitTimeout))
	assert.Equal(t, ready(), http.StatusServiceUnavailable)
	resp, err := http.DefaultClient.Do(r.request(http.MethodGet, "/idem/", ""))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK, "it serves until the load balancer sends clients elsewhere")
	assert.Assert(t, resp.Close, "the client must open its next connection elsewhere")
}

// Guards against an endpoint's own error without a length that its caller does not get: the
// end of the connection ends it, as long as there was no reset.
func TestErrorWithoutLengthIsRelayed(t *testing.T) {
	for _, path := range []string{"/stream/", "/once/"} {
		for _, framed := range []bool{false, true} {
			r := newRig(t)
			answer := func(w http.ResponseWriter, _ standin.Run) {
				if framed {
					w.WriteHeader(http.StatusInternalServerError)
					_, _ = io.WriteString(w, "no ")
					_ = http.NewResponseController(w).Flush()
					_, _ = io.WriteString(w, "memory")
					return
				}
				u, err := standin.BeginUnframed(w, "HTTP/1.1", http.StatusInternalServerError)
				assert.Check(t, err == nil)
				_, _ = io.WriteString(u, "no memory")
				u.End()
			}
			r.startEndpoint("plain", "p-1", answer)
			r.startEndpoint("model", "m-1", answer)
			got := r.do(r.request(http.MethodPost, path, "body"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusInternalServerError, "%s framed %v", path, framed)
			assert.Equal(t, got.body, "no memory")
		}
	}
}
