package gateway

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/httpanswer"
)

// Guards against an answer that came before a byte of its call was written and that counts for it:
// the call's own answer would then be taken for that to the next one.
func TestAnswerBeforeACallIsNotItsAnswer(t *testing.T) {
	judge := map[string]func(x callExchange) bool{
		"with results":    func(x callExchange) bool { return x.Match("h") },
		"without results": func(x callExchange) bool { return x.Match("") },
		"of a release":    callExchange.Keep,
	}
	for name, believes := range judge {
		near, far := net.Pipe()
		strays := 0
		transport := NewTransport()
		transport.OnStray = func(string) { strays++ }
		x := &exchange{conn: &endpointConn{Conn: httpanswer.NewConn(near), transport: transport}, settled: make(chan struct{})}
		assert.Assert(t, !believes(callExchange{x}), name)
		assert.Equal(t, strays, 1, name)
		assert.ErrorIs(t, x.beginWrite(x.conn), net.ErrClosed, name)
		_, err := near.Write([]byte("x"))
		assert.Assert(t, err != nil, "%s: the connection is closed", name)
		_ = far.Close()
	}
}
