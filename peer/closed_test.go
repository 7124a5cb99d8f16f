package peer

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/socket"
	"github.com/mangostage/mangostage/wire"
)

// socketPair returns the two ends of a TCP connection.
func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// Guards against writing a call to a connection that the peer has closed, before
// the close has been read: the caller would be told that the call may have run.
func TestNothingIsWrittenAfterThePeerClosed(t *testing.T) {
	near, far := socketPair(t)
	plain := newStream(near, new(Traffic))
	assert.NilError(t, plain.WriteObject(wire.Revoke{}))
	assert.NilError(t, far.Close())
	err := plain.WriteObject(wire.Revoke{})
	assert.Assert(t, errorx.IsOfType(err, ErrNotWritten), "%v", err)

	near, far = socketPair(t)
	secure := newStream(tls.Client(near, &tls.Config{ServerName: "peer"}), new(Traffic))
	assert.NilError(t, far.Close())
	err = secure.WriteObject(wire.Revoke{})
	assert.Assert(t, errorx.IsOfType(err, ErrNotWritten), "%v", err)
}

// Guards against missing the close of a connection because unread replies precede
// it in the receive buffer.
func TestCloseIsSeenBehindUnreadAnswers(t *testing.T) {
	near, far := socketPair(t)
	s := newStream(near, new(Traffic))
	_, err := far.Write([]byte("unread"))
	assert.NilError(t, err)
	assert.NilError(t, s.WriteObject(wire.Revoke{}))
	buffer := make([]byte, 1<<10)
	assert.NilError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = far.Read(buffer)
	assert.NilError(t, err)
	assert.NilError(t, far.Close())
	err = s.WriteObject(wire.Revoke{})
	assert.Assert(t, errorx.IsOfType(err, ErrNotWritten), "%v", err)
}

func BenchmarkClosedByPeer(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(b, err)
	defer func() { _ = conn.Close() }()
	raw := socket.Raw(conn)
	for b.Loop() {
		if socket.ClosedByPeer(raw) {
			b.Fatal("closed")
		}
	}
}
