package clients

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// oneRequest sends a request over a new connection in calm and returns the status of its answer.
func (r *rig) oneRequest(parts ...string) int {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.frontend)
	assert.NilError(r.t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(settleTimeout))
	c := &client{Conn: conn}
	for _, part := range parts {
		if !c.send(part) {
			break
		}
	}
	return c.status()
}

// Guards against bounds that refuse a single request inside the limits: a head of the whole limit
// in one line and in short ones, a body of the whole limit at once and in chunks of one byte.
func TestOneRequestOfTheWholeLimitIsServed(t *testing.T) {
	r := newRig(t)
	head := r.head("/plain/x", "k1") + "Content-Length: 0\r\n"
	room := headLimit - len(head) - len("\r\n")
	line := "X-A: " + strings.Repeat("x", room-len("X-A: \r\n")) + "\r\n"
	assert.Check(t, r.oneRequest(head, line, "\r\n") == http.StatusOK, "a head in one line")
	short := strings.Repeat("a:b\r\n", room/5)
	assert.Check(t, r.oneRequest(head, short, "\r\n") == http.StatusOK, "a head in short lines")
	body := strings.Repeat("x", bodyLimit)
	assert.Check(t, r.oneRequest(r.lengthHead("/plain/x", "k1", bodyLimit), body) == http.StatusOK, "a body")
	// maxSent bounds a client's bytes; six bytes a chunk make 2.4 MB of body at most.
	ones := strings.Repeat("1\r\nx\r\n", 1<<20)
	assert.Check(t, r.oneRequest(r.chunkedHead("/plain/x", "k1"), ones, "0\r\n\r\n") == http.StatusOK, "a body in chunks of one byte")
	r.mustServeOrdinary()
	r.check()
}

// Guards against limits of a new configuration that are obeyed only after a restart.
func TestLimitsChangeWhileTheProcessRuns(t *testing.T) {
	r := newRig(t)
	const head, body = 4 << 10, 64 << 10
	long := "X-A: " + strings.Repeat("x", 2*head) + "\r\nContent-Length: 0\r\n\r\n"
	large := strings.Repeat("x", 2*body)
	assert.Equal(t, r.oneRequest(r.head("/plain/x", "k1")+long), http.StatusOK)
	assert.Equal(t, r.oneRequest(r.lengthHead("/plain/x", "k1", len(large)), large), http.StatusOK)
	r.configure(2, head, body)
	testwait.For(t, startTimeout, func() bool {
		return r.oneRequest(r.lengthHead("/plain/x", "k1", len(large)), large) == http.StatusRequestEntityTooLarge
	})
	status := r.oneRequest(r.head("/plain/x", "k1") + long)
	assert.Check(t, status == http.StatusRequestHeaderFieldsTooLarge, "status %d", status)
	r.configure(3, headLimit, bodyLimit)
	testwait.For(t, startTimeout, func() bool {
		return r.oneRequest(r.lengthHead("/plain/x", "k1", len(large)), large) == http.StatusOK
	})
	assert.Equal(t, r.oneRequest(r.head("/plain/x", "k1")+long), http.StatusOK)
	r.check()
}

// Guards against a planned stop that clients hold up beyond the grace.
func TestStopUnderACrowdEndsInItsGrace(t *testing.T) {
	r := newRig(t)
	startCrowd(t, &crowd{addr: r.frontend, size: crowdSize(), play: func(c *client, i int) {
		switch i % 6 {
		case 0:
		case 1:
			c.send(r.head("/plain/x", "k1") + "X-A: ")
		case 2:
			c.stopShort(r.chunkedHead("/plain/x", "k1"), chunkOf(filler))
		case 3:
			c.send(r.lengthHead("/large/x", "k1", 0))
		case 4:
			c.send(r.lengthHead("/plain/x", "k1", 2) + "ok")
			c.status()
		case 5:
			c.send(r.lengthHead("/plain/x", "k1", bodyLimit))
		}
	}})
	r.mustServeOrdinary()
	r.process.Term()
	assert.Equal(t, r.process.WaitExit(grace), 0)
	for id, run := range r.endpoint.allRuns() {
		assert.Check(t, run.whole, "request %q ran with a body that is not whole", id)
	}
}
