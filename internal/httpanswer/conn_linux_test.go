package httpanswer_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/socket"
	"github.com/mangostage/mangostage/internal/testwait"
)

const (
	// waitTimeout bounds each wait of these tests.
	waitTimeout = 10 * time.Second
	byConn      = "HTTP/1.1 200 OK\r\n\r\npart"
	byLength    = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// reset resets the connection and waits until the client's socket knows it.
func reset(t *testing.T, client, server *net.TCPConn) {
	t.Helper()
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	testwait.For(t, waitTimeout, func() bool { return socket.Dead(socket.Raw(client)) })
}

// answered returns a connection over which a request has begun and text has come as its answer.
func answered(t *testing.T, text string) (c *httpanswer.Conn, client, server *net.TCPConn) {
	t.Helper()
	client, server = connect(t)
	c = httpanswer.NewConn(client)
	begin(t, c)
	answer(t, server, text)
	return c, client, server
}

// begin begins a request.
func begin(t *testing.T, c *httpanswer.Conn) {
	t.Helper()
	c.Begin(http.MethodPost)
	_, err := c.Write([]byte("request"))
	assert.NilError(t, err)
}

// answer sends text as the answer to the request that has begun.
func answer(t *testing.T, server *net.TCPConn, text string) {
	t.Helper()
	_, err := io.ReadFull(server, make([]byte, len("request")))
	assert.NilError(t, err)
	_, err = io.WriteString(server, text)
	assert.NilError(t, err)
}

// Guards against a part of an answer that looks whole: the write of the request takes the error of
// the reset, and the read after it returns the end of the connection.
func TestResetThatTheWriteTakes(t *testing.T) {
	c, client, server := answered(t, byConn)
	reset(t, client, server)
	_, err := c.Write([]byte("more"))
	assert.NilError(t, err)
	data, err := io.ReadAll(c)
	assert.Equal(t, string(data), byConn)
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrIncomplete), "%v", err)
}

// lateWriter is a connection whose failed write returns after a read has returned its end.
type lateWriter struct {
	*net.TCPConn
	failed, ended chan struct{}
}

func (w lateWriter) Read(p []byte) (int, error) {
	n, err := w.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		close(w.ended)
	}
	return n, err
}

func (w lateWriter) Write(p []byte) (int, error) {
	n, err := w.TCPConn.Write(p)
	if err != nil {
		close(w.failed)
		<-w.ended
	}
	return n, err
}

// Guards against an end that is judged before the failed write has been noted: both run at the same
// time.
func TestEndThatIsReadBeforeTheWriteReturns(t *testing.T) {
	client, server := connect(t)
	w := lateWriter{client, make(chan struct{}), make(chan struct{})}
	c := httpanswer.NewConn(w)
	begin(t, c)
	answer(t, server, byConn)
	reset(t, client, server)
	go func() { _, _ = c.Write([]byte("more")) }()
	<-w.failed
	_, err := io.ReadAll(c)
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrIncomplete), "%v", err)
}

// Guards against a log that says that a connection ended which was reset before an answer came.
func TestResetBeforeAnAnswer(t *testing.T) {
	client, server := connect(t)
	c := httpanswer.NewConn(client)
	begin(t, c)
	reset(t, client, server)
	_, err := c.Write([]byte("more"))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrIncomplete), "%v", err)
}

// Guards against a whole answer that is lost because the endpoint, which had ended its side, then
// reset the connection.
func TestEndBeforeAReset(t *testing.T) {
	c, client, server := answered(t, byConn)
	assert.NilError(t, server.CloseWrite())
	testwait.For(t, waitTimeout, func() bool { return socket.ClosedByPeer(socket.Raw(client)) })
	reset(t, client, server)
	_, err := c.Write([]byte("more"))
	assert.NilError(t, err)
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(data), byConn)
}

// Guards against an answer that is held up because the endpoint ends its side and does not read the
// rest of the request.
func TestEndWhileTheWriteLasts(t *testing.T) {
	c, _, server := answered(t, byConn)
	assert.NilError(t, server.CloseWrite())
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		_, _ = c.Write(make([]byte, 64<<20))
	}()
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(data), byConn)
	assert.NilError(t, c.Close())
	<-wrote
}

// Guards against an answer that came whole and is lost because a write of the request failed.
func TestWholeAnswerBeforeAReset(t *testing.T) {
	c, client, server := answered(t, byLength)
	reset(t, client, server)
	for range 3 {
		n, err := c.Write([]byte("more"))
		assert.NilError(t, err)
		assert.Equal(t, n, len("more"))
	}
	data := make([]byte, len(byLength))
	_, err := io.ReadFull(c, data)
	assert.NilError(t, err)
	assert.Equal(t, string(data), byLength)
	c.Begin(http.MethodPost)
	n, err := c.Write([]byte("next"))
	assert.Assert(t, n == 0 && errors.Is(err, syscall.ECONNRESET), "%d %v", n, err)
}

// Guards against a request that counts as sent although no byte of it was written.
func TestResetBeforeTheFirstByte(t *testing.T) {
	client, server := connect(t)
	reset(t, client, server)
	c := httpanswer.NewConn(client)
	c.Begin(http.MethodPost)
	n, err := c.Write([]byte("request"))
	assert.Assert(t, n == 0 && err != nil, "%d %v", n, err)
}

// Guards against a close by this process that counts as one by the endpoint.
func TestCloseByThisProcess(t *testing.T) {
	client, _ := connect(t)
	c := httpanswer.NewConn(client)
	begin(t, c)
	assert.NilError(t, c.Close())
	_, err := c.Write([]byte("more"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against an answer that lacks its end and is taken for a whole one.
func TestEndInsideAnAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX: 1\r\n", strings.TrimSuffix(byLength, "e"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"} {
		c, _, server := answered(t, text)
		assert.NilError(t, server.Close())
		_, err := io.ReadAll(c)
		assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrIncomplete), "%q: %v", text, err)
		assert.Equal(t, c.Judge(io.EOF), err)
	}
}

// Guards against a read that cannot go on after a deadline.
func TestReadAfterADeadline(t *testing.T) {
	c, _, server := answered(t, "HTTP/1.1 200 OK\r\n")
	head := make([]byte, len("HTTP/1.1 200 OK\r\n"))
	_, err := io.ReadFull(c, head)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now()))
	_, err = c.Read(head)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	_, err = io.WriteString(server, "\r\n")
	assert.NilError(t, err)
	n, err := c.Read(head)
	assert.NilError(t, err)
	assert.Equal(t, n, len("\r\n"))
}

// Guards against bytes after a broken line that are passed on.
func TestNothingPassesAfterABrokenLine(t *testing.T) {
	c, _, _ := answered(t, "HTTP/1.1 200 OK\r\nX Y: 1\r\nZ: 1\r\n\r\nbody")
	data, err := io.ReadAll(c)
	assert.Equal(t, string(data), "HTTP/1.1 200 OK\r\nX Y: 1\r")
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrMalformed), "%v", err)
	assert.Equal(t, c.Judge(io.EOF), err)
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrMalformed), "%v", err)
}
