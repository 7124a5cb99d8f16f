package confsvc_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

const (
	valueBody = `{"name":"bundle","revision":3,"data":"b25l"}`
	listBody  = `[{"name":"a","address":"10.0.0.1:80"}]`
)

// reply returns the whole reply to a request.
func reply(req *http.Request) rawhttp.Answer {
	if strings.HasSuffix(req.URL.Path, "/vms") {
		return rawhttp.Answer{Body: listBody}
	}
	return rawhttp.Answer{Body: valueBody}
}

// Guards against a value or a list of VMs that counts as read because of a broken reply.
func TestBrokenRepliesAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, reply)
			client := confsvc.NewClient("http://"+s.Addr, timeout)
			value, err := client.Read(t.Context(), "bundle")
			assert.Assert(t, err != nil, "%+v", value)
			assert.Assert(t, !errorx.IsOfType(err, confsvc.ErrNotFound), "%v", err)
			vms, err := client.List(t.Context())
			assert.Assert(t, err != nil, "%+v", vms)
		})
	}
}

// Guards against a refusal that is believed although it is broken: that a value is missing, or that
// there were too many calls.
func TestBrokenRefusalsAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusNotFound, http.StatusTooManyRequests} {
		for _, c := range rawhttp.Broken() {
			t.Run(fmt.Sprintf("%d %s", status, c.Name), func(t *testing.T) {
				t.Parallel()
				s := rawhttp.StartCase(t, c.WithStatus(status), reply)
				_, err := confsvc.NewClient("http://"+s.Addr, timeout).Read(t.Context(), "bundle")
				believed := errorx.IsOfType(err, confsvc.ErrNotFound) || errorx.IsOfType(err, confsvc.ErrRateLimited)
				assert.Assert(t, err != nil && !believed, "%v", err)
			})
		}
	}
}

// Guards against sound replies that are given up.
func TestSoundRepliesAreBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Sound() {
		if strings.Contains(c.Name, "203") || strings.Contains(c.Name, "299") {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, reply)
			client := confsvc.NewClient("http://"+s.Addr, timeout)
			value, err := client.Read(t.Context(), "bundle")
			assert.NilError(t, err)
			assert.Equal(t, value.Revision, uint64(3))
			vms, err := client.List(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(vms), 1)
		})
	}
}
