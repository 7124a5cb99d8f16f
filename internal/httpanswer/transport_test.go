package httpanswer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/bounded"
	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

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
