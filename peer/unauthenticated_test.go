package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/wire"
)

const unauthenticatedWait = 5 * time.Second

// ends reports whether the other end closes a connection.
func ends(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(unauthenticatedWait))
	_, err := io.Copy(io.Discard, conn)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// Guards against messages from anyone that take the memory of a long one before its sender has
// said who it is.
func TestLongMessageBeforeTheHelloEndsItsConnection(t *testing.T) {
	server, conn, addr := pair(t, NewMux())
	for _, prefix := range [][]byte{nil, append(binary.AppendUvarint(binary.AppendUvarint(nil, compactMark), 1), 'n')} {
		stranger, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = stranger.Write(binary.AppendUvarint(prefix, maxHello+1))
		assert.NilError(t, err)
		assert.Assert(t, ends(stranger))
		_ = stranger.Close()
	}
	assert.Equal(t, server.Traffic.Rejected.Load(), int64(2))
	assert.Equal(t, len(server.Conns()), 1)
	assert.NilError(t, conn.Call(t.Context(), helloMethod, wire.Hello{Process: wire.Process{Name: "client", Incarnation: "i"}}, nil))
}

// Guards against calls from anyone that are answered one by one without end.
func TestCallBeforeTheHelloEndsItsConnection(t *testing.T) {
	_, _, addr := pair(t, NewMux())
	stranger, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = stranger.Close() }()
	call := []byte(`{"jsonrpc":"2.0","id":1,"method":"run","params":{}}`)
	_, err = stranger.Write(bytes.Repeat(append(binary.AppendUvarint(nil, uint64(len(call))), call...), 10))
	assert.NilError(t, err)
	assert.Assert(t, ends(stranger))
}

// Guards against connections that say nothing and keep members out.
func TestOldestConnectionWithoutHelloMakesRoom(t *testing.T) {
	server := testNode(t, "server", NewMux())
	server.unauthenticated.max = 2
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var silent []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", addr.String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	assert.Assert(t, ends(silent[0]))
	client := testNode(t, "client", NewMux())
	for range 4 {
		_, err = client.Dial(t.Context(), addr.String())
		assert.NilError(t, err)
	}
	testwait.For(t, unauthenticatedWait, func() bool { return len(server.Conns()) == 4 })
}

// Guards against a long message that is lost, or cut, where it comes in parts.
func TestMessageIsReadInParts(t *testing.T) {
	for _, size := range []int{0, 1, maxHello, maxHello + 1, 5*maxHello + 7} {
		sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		got, err := readMessage(io.MultiReader(bytes.NewReader(sent), bytes.NewReader([]byte("more"))), size)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, sent), "%d", size)
	}
	_, err := readMessage(bytes.NewReader(make([]byte, maxHello)), maxHello+1)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}
