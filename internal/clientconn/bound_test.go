package clientconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/internal/testwait"
)

const (
	testHeadLimit = 1 << 10
	testBody      = 256 << 10
)

// startBounded starts a server with little room that reads bodies and refuses those without room.
func startBounded(t *testing.T, room intake.Limits) *server {
	t.Helper()
	s := &server{}
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clientconn.SetAccount(r.Context(), r.Header.Get("Account"))
		if _, err := io.Copy(io.Discard, r.Body); errors.Is(err, clientconn.ErrNoRoom) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handled.Store(r.Header.Get("Id"), true)
		if r.URL.Path == "/large" {
			_, _ = io.CopyN(w, zeros{}, 64<<20)
		}
	})}
	s.conns = clientconn.Attach(h, room, clientconn.Limits{HeadBytes: testHeadLimit, HeadTimeout: time.Second, IdleTimeout: 2 * time.Second})
	l, err := clientconn.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	go func() { _ = h.Serve(s.conns.Listener(l)) }()
	ctx, stop := context.WithCancel(context.Background())
	go s.conns.Run(ctx)
	t.Cleanup(func() { stop(); _ = h.Close() })
	return s
}

// zeros is a reader of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// status reads an answer and returns its status; 0 if there is none.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// post sends the head of a request with a body of a length.
func (c *client) post(id, account string, length int) {
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nId: %s\r\nAccount: %s\r\nContent-Length: %d\r\n\r\n", id, account, length)
}

// isHandled reports whether a request reached its handler's end.
func (s *server) isHandled(id string) bool {
	_, ok := s.handled.Load(id)
	return ok
}

// closedByServer reports whether the server closes the connection.
func (c *client) closedByServer() bool {
	_, err := io.Copy(io.Discard, c.in)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// Guards against a head over the limit whose client does not learn why its connection is closed,
// or that runs.
func TestHeadOverTheLimitGetsItsAnswer(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: 1 << 20})
	for name, lines := range map[string]string{
		"without end": "X: " + strings.Repeat("x", 64<<10),
		"whole":       "X: " + strings.Repeat("x", testHeadLimit) + "\r\n\r\n",
	} {
		c := s.dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nId: "+name+"\r\n"+lines)
		assert.NilError(t, err)
		answers, err := io.ReadAll(c.in)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(answers), "HTTP/1.1 431 "), "%s: %q", name, answers)
		assert.Equal(t, strings.Count(string(answers), "HTTP/1.1"), 1, "%s: %q", name, answers)
		assert.Assert(t, !s.isHandled(name))
	}
	assert.Equal(t, s.conns.Stats().Ended[intake.ReasonHead], int64(2))
}

// Guards against a head that does not end and is not refused in its time.
func TestSlowHeadIsRefused(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: 1 << 20})
	c := s.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	assert.Equal(t, c.status(), http.StatusRequestTimeout)
}

// Guards against limits that only hold after a restart, and against a head that is refused by a
// limit lowered after it began.
func TestLimitsHoldForHeadsThatBegin(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: 1 << 20})
	begun, next := s.dial(t), s.dial(t)
	_, err := io.WriteString(begun, "GET / HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	testwait.For(t, waitTimeout, func() bool { return s.conns.Stats().Conns["head"] == 1 })
	s.conns.SetLimits(clientconn.Limits{HeadBytes: testHeadLimit / 4, HeadTimeout: waitTimeout, IdleTimeout: waitTimeout})
	line := "X: " + strings.Repeat("x", testHeadLimit/2) + "\r\n\r\n"
	_, err = io.WriteString(begun, line)
	assert.NilError(t, err)
	assert.Equal(t, begun.status(), http.StatusOK)
	_, err = io.WriteString(next, "GET / HTTP/1.1\r\nHost: a\r\n"+line)
	assert.NilError(t, err)
	assert.Equal(t, next.status(), http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a body without room whose client gets no answer, or that is handled, and against
// a request that stops within its body and keeps its room.
func TestStoppedBodyMakesRoom(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: testBody + testBody/2})
	stopped, late := s.dial(t), s.dial(t)
	stopped.post("stopped", "a", testBody)
	_, err := io.WriteString(stopped, strings.Repeat("x", 1000))
	assert.NilError(t, err)
	testwait.For(t, waitTimeout, func() bool { return s.conns.Stats().Bytes >= testBody })
	late.post("late", "a", testBody)
	assert.Equal(t, late.status(), http.StatusServiceUnavailable)
	testwait.For(t, waitTimeout, func() bool {
		c := s.dial(t)
		c.post("next", "a", testBody)
		_, _ = io.WriteString(c, strings.Repeat("x", testBody))
		return c.status() == http.StatusOK
	})
	assert.Equal(t, stopped.status(), http.StatusServiceUnavailable)
	assert.Assert(t, !s.isHandled("stopped") && !s.isHandled("late"))
	testwait.For(t, waitTimeout, func() bool { return s.conns.Stats().Bytes == 0 })
}

// Guards against ordinary requests that are refused while large ones hold all the room.
func TestOrdinaryBodyNeedsNoRoom(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: testBody / 2})
	large := s.dial(t)
	large.post("large", "a", testBody)
	assert.Equal(t, large.status(), http.StatusServiceUnavailable)
	c := s.dial(t)
	for _, id := range []string{"1", "2"} {
		c.post(id, "a", 8<<10)
		_, err := io.WriteString(c, strings.Repeat("x", 8<<10))
		assert.NilError(t, err)
		assert.Equal(t, c.status(), http.StatusOK)
	}
}

// Guards against silent connections that keep new ones out, and against one that waits for the
// answer to its request and is closed for them.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const conns = 4
	s := startBounded(t, intake.Limits{Conns: conns, Bytes: 1 << 20})
	body := s.dial(t)
	body.post("body", "a", 8<<10)
	testwait.For(t, waitTimeout, func() bool { return s.conns.Stats().Conns["body"] == 1 })
	first := s.dial(t)
	for range 2 * conns {
		s.dial(t)
	}
	assert.Assert(t, first.closedByServer())
	assert.Assert(t, s.dial(t).ask("new"))
	_, err := io.WriteString(body, strings.Repeat("x", 8<<10))
	assert.NilError(t, err)
	assert.Equal(t, body.status(), http.StatusOK)
	assert.Assert(t, s.conns.Stats().MostConns <= conns+1)
}

// Guards against connections that stay open without a request, or take nothing of an answer.
func TestQuietConnectionsEnd(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: 1 << 20})
	silent, kept, blocked := s.dial(t), s.dial(t), s.dial(t)
	assert.Assert(t, kept.ask("kept"))
	_, err := io.WriteString(blocked, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	testwait.For(t, waitTimeout, func() bool { return len(s.conns.Stats().Conns) == 0 })
	assert.Assert(t, silent.closedByServer() && kept.closedByServer())
	resp, err := http.ReadResponse(bufio.NewReader(blocked), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Assert(t, err != nil, "an answer that was cut looks whole")
	assert.Equal(t, s.conns.Stats().Ended[intake.ReasonWriteTimeout], int64(1))
}

// Guards against heads that do not end, or were refused, and whose connections keep new ones out
// while they are being closed.
func TestConnectionsThatCloseDoNotKeepNewOnesOut(t *testing.T) {
	const conns = 4
	for name, text := range map[string]string{
		"head without end":    "GET / HTTP/1.1\r\nHost: a\r\n",
		"head over the limit": "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4*testHeadLimit),
	} {
		s := startBounded(t, intake.Limits{Conns: conns, Bytes: 1 << 20})
		for i := range 5 * conns {
			c := s.dial(t)
			_, err := io.WriteString(c, text)
			assert.NilError(t, err)
			assert.Assert(t, s.dial(t).ask(fmt.Sprint(i)), "%s, request %d", name, i)
		}
	}
}

// Guards against a refusal that is lost, since its client still sends the body.
func TestRefusalReachesAClientThatStillSends(t *testing.T) {
	s := startBounded(t, intake.Limits{Conns: 10, Bytes: testBody / 2})
	for range 10 {
		c := s.dial(t)
		c.post("refused", "a", 64*testBody)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.WriteString(c, strings.Repeat("x", 64*testBody))
		}()
		assert.Equal(t, c.status(), http.StatusServiceUnavailable)
		_ = c.Close()
		<-sent
	}
}
