package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/socket"
	"github.com/mangostage/mangostage/internal/testwait"
)

// Guards against a call that is reported as never written and written a moment
// later, because the caller gives up while the transport's goroutine is about to
// write. In every interleaving, either the write fails or seal reports it.
func TestSealExcludesALaterWrite(t *testing.T) {
	for range 2000 {
		gate := newWriteGate(context.Background())
		var wg sync.WaitGroup
		var firstErr error
		var written Written
		wg.Go(func() { _, firstErr = gate.beginWrite() })
		wg.Go(func() { written = gate.seal() })
		wg.Wait()
		assert.Equal(t, bool(written), firstErr == nil)
		_, secondErr := gate.beginWrite()
		assert.Equal(t, secondErr == nil, firstErr == nil)
	}
}

// Guards against a process that is paused until after the deadline and writes
// the call when it resumes, because its timers have not fired yet. The gate must
// check the clock itself.
func TestPassedDeadlineForbidsTheFirstWriteOnly(t *testing.T) {
	expired := &writeGate{deadline: time.Now()}
	_, err := expired.beginWrite()
	assert.Assert(t, errorx.IsOfType(err, ErrTooLate))
	assert.Assert(t, !bool(expired.seal()))
	started := &writeGate{wrote: true, deadline: time.Now()}
	_, err = started.beginWrite()
	assert.NilError(t, err)
	assert.Assert(t, bool(started.seal()))
}

// brokenConn accepts the given number of bytes of a write and then fails.
type brokenConn struct {
	net.Conn
	accepts int
}

func (c brokenConn) Write([]byte) (int, error) { return c.accepts, syscall.EPIPE }

// TestFirstWriteOfNothingIsNone guards against a call that counts as written
// because its first write failed: its caller would be told that it may have run.
func TestFirstWriteOfNothingIsNone(t *testing.T) {
	for accepted, written := range map[int]bool{0: false, 1: true} {
		gate := newWriteGate(context.Background())
		n, err := newGatedConn(brokenConn{accepts: accepted}, gate).Write([]byte("call"))
		if written {
			// The rest is discarded, and reading tells what became of the call.
			assert.NilError(t, err)
			assert.Equal(t, n, len("call"))
		} else {
			assert.ErrorIs(t, err, syscall.EPIPE)
			assert.Equal(t, n, 0)
		}
		assert.Equal(t, bool(gate.seal()), written)
	}
}

// TestFailedLaterWriteDoesNotUndoTheFirst guards against a call that is reported
// as not run although an earlier write sent bytes of it.
func TestFailedLaterWriteDoesNotUndoTheFirst(t *testing.T) {
	gate := newWriteGate(context.Background())
	_, err := gate.beginWrite()
	assert.NilError(t, err)
	_, err = newGatedConn(brokenConn{}, gate).Write([]byte("rest"))
	assert.ErrorIs(t, err, syscall.EPIPE)
	assert.Assert(t, bool(gate.seal()))
}

// TestNothingIsWrittenToAnEndedConnection guards against a call that is written
// to a kept connection whose close has arrived but has not been read yet.
func TestNothingIsWrittenToAnEndedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := dialGated(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	remote, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, remote.Close())
	gate := newWriteGate(context.Background())
	conn.(*gatedConn).assign(gate)
	testwait.For(t, time.Second, func() bool { return socket.ClosedByPeer(conn.(*gatedConn).raw) })
	_, err = conn.Write([]byte("call"))
	assert.Assert(t, errorx.IsOfType(err, errEnded), "%v", err)
	assert.Assert(t, !bool(gate.seal()))
}

func TestUnassignedConnectionRejectsWrites(t *testing.T) {
	_, err := (&gatedConn{}).Write([]byte("x"))
	assert.Assert(t, err != nil)
}

func TestEventReader(t *testing.T) {
	cases := map[string]struct {
		stream string
		want   event
		fails  bool
	}{
		"one":       {"event: a\ndata: b\n\n", event{"a", []byte("b")}, false},
		"crlf":      {"\r\nevent:a\r\ndata:b\r\n\r\n", event{"a", []byte("b")}, false},
		"two lines": {": comment\ndata: b\ndata: c\n\n", event{"", []byte("b\nc")}, false},
		"cut":       {"event: a\ndata: b\n", event{}, true},
		"long line": {"data: " + strings.Repeat("x", MaxReply) + "\n\n", event{}, true},
		"long data": {strings.Repeat("data: "+strings.Repeat("x", 1<<10)+"\n", MaxReply>>10) + "\n", event{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ev, err := newEventReader(strings.NewReader(c.stream)).next()
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, ev.name, c.want.name)
			assert.Assert(t, bytes.Equal(ev.data, c.want.data))
		})
	}
	endless := io.MultiReader(strings.NewReader("data: a\n\n"), &repeat{text: "data: " + strings.Repeat("x", 1<<11) + "\n\n"})
	r := newEventReader(endless)
	var err error
	for err == nil {
		_, err = r.next()
	}
	assert.Assert(t, !errors.Is(err, io.EOF))
}

// repeat is a reader that returns its text in every read, without end.
type repeat struct{ text string }

func (r *repeat) Read(p []byte) (int, error) { return copy(p, r.text), nil }
