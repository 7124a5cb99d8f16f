package httpanswer_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/httpanswer"
)

const (
	byLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
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

// Guards against an answer that lacks its end and is taken for a whole one.
func TestEndInsideAnAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX: 1\r\n", strings.TrimSuffix(byLength, "e"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"} {
		client, server := connect(t)
		c := httpanswer.NewConn(client)
		begin(t, c)
		answer(t, server, text)
		assert.NilError(t, server.Close())
		_, err := io.ReadAll(c)
		assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrIncomplete), "%q: %v", text, err)
		assert.Equal(t, c.Judge(io.EOF), err)
	}
}

// Guards against bytes after a broken line that are passed on.
func TestNothingPassesAfterABrokenLine(t *testing.T) {
	client, server := connect(t)
	c := httpanswer.NewConn(client)
	begin(t, c)
	answer(t, server, "HTTP/1.1 200 OK\r\nX Y: 1\r\nZ: 1\r\n\r\nbody")
	data, err := io.ReadAll(c)
	assert.Equal(t, string(data), "HTTP/1.1 200 OK\r\nX Y: 1\r")
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrMalformed), "%v", err)
	assert.Equal(t, c.Judge(io.EOF), err)
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errorx.IsOfType(err, httpanswer.ErrMalformed), "%v", err)
}
