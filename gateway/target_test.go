package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// sendTarget sends a request with a raw target and returns the status of its answer.
func (r *rig) sendTarget(target, id string) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(r.t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"+
		"Mangostage-Attempt-Id: %s\r\nMangostage-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", target, id)
	assert.NilError(r.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(r.t, err)
	assert.NilError(r.t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a request target that is forwarded as another one: a path that begins with two
// slashes was taken for a host and a path.
func TestTargetIsForwardedAsItIs(t *testing.T) {
	r := newRig(t)
	r.config.Routes = append(r.config.Routes, route("root", catalog.RouteOnce, "plain"))
	r.config.Routes[len(r.config.Routes)-1].Prefix = "/"
	for _, service := range []string{"plain", "model"} {
		e := r.startEndpoint(service, service+"-1", nil)
		prefix := map[string]string{"plain": "//order", "model": "/stream"}[service]
		for i, rest := range []string{"/cancel", "//cancel", "/a%2Fb/c?d=/e&f", "/a?", "/%7Ea;b=c", "/.."} {
			target := prefix + rest
			assert.Equal(t, r.sendTarget(target, fmt.Sprint(service, i)), http.StatusOK, target)
			assert.Equal(t, e.Runs()[i].Target, target)
		}
	}
	assert.Equal(t, r.sendTarget("//order/a|b", "raw"), http.StatusBadRequest, "it could only be forwarded changed")
}
