package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// Guards against a refused request of which nobody can say over which connection it was sent
// and what proved that it had not run.
func TestSendLineProvesNotRun(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := startRaw(t, func(w rawWriter, id string) {
		w.send(rawHead(http.StatusServiceUnavailable, id, "Mangostage-Not-Executed: 1", "Content-Length: 0"))
	})
	r.add("plain", "i-1", e.addr)
	for range 2 {
		got := r.do(r.request(http.MethodPost, "/once/", "order"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	r.logs.waitForLine(t, `"event":"sent"`, `"conn":1`, `"conn_carried":0`, `"not_run":"stated"`)
	r.logs.waitForLine(t, `"event":"sent"`, `"conn":1`, `"conn_carried":1`, `"not_run":"stated"`)
}

// Guards against an answer that belongs to no send and that nobody counts: the first sign of an
// endpoint that answers twice.
func TestStrayAnswerIsCounted(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := startRaw(t, func(w rawWriter, _ string) { whole(w, "another") })
	r.add("plain", "i-1", e.addr)
	id := "stray-1"
	req := r.request(http.MethodPost, "/once/", "order")
	req.Header.Set("Mangostage-Attempt-Id", id)
	assert.Equal(t, r.do(req).status, http.StatusBadGateway)
	testwait.For(t, time.Second, func() bool { return r.metrics.Strays.Get("plain") != nil })
	assert.Equal(t, r.metrics.Strays.Get("plain").String(), "1")
	r.logs.waitForLine(t, `"event":"stray_answer"`, `"answer_to":"another"`, `"request":"`+id+`"`)
	r.logs.waitForLine(t, `"event":"sent"`, `"request":"`+id+`"`, `"not_run":""`)
}
