package httpanswer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/bounded"
	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

// Guards against a TLS handshake without end with a server that accepts connections and is silent.
func TestHandshakeEndsInTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	base := &http.Transport{TLSHandshakeTimeout: 50 * time.Millisecond}
	client := &http.Client{Transport: httpanswer.NewTransport(base)}
	ended := make(chan error, 1)
	go func() {
		resp, err := client.Get("https://" + listener.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(waitTimeout):
		t.Fatal("the handshake has no end")
	}
}

// Guards against a broken answer over TLS that passes, and a sound one that doesn't.
func TestTransportOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer func() { _ = conn.Close() }()
		line := "X-Y: 1"
		if r.URL.Path == "/broken" {
			line = "X Y: 1"
		}
		_, _ = io.WriteString(conn, rawhttp.Answer{Body: "ok"}.Length("HTTP/1.1 200 OK", line))
	}))
	defer server.Close()
	base, ok := server.Client().Transport.(*http.Transport)
	assert.Assert(t, ok)
	client := &http.Client{Transport: httpanswer.NewTransport(base.Clone())}
	defer client.CloseIdleConnections()
	resp, err := client.Get(server.URL + "/sound")
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(data), "ok")
	resp, err = client.Get(server.URL + "/broken")
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, bounded.GivenUp(err), "%v", err)
}
