package peer

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/wire"
)

func testNode(t *testing.T, name string, mux *Mux) *Node {
	t.Helper()
	hello := wire.Hello{Process: wire.Process{Name: name, Incarnation: "i1"}}
	n := NewNode(Config{Hello: func() wire.Hello { return hello }}, mux)
	t.Cleanup(n.Close)
	return n
}

func pair(t *testing.T, mux *Mux) (*Node, *Conn, string) {
	t.Helper()
	server := testNode(t, "server", mux)
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	client := testNode(t, "client", NewMux())
	conn, err := client.Dial(context.Background(), addr.String())
	assert.NilError(t, err)
	return server, conn, addr.String()
}

func TestCallAndRemoteError(t *testing.T) {
	mux := NewMux()
	HandleCall(mux, "peek", func(_ context.Context, from *Conn, p wire.Peek) (wire.PeekResult, error) {
		assert.Equal(t, from.Peer().Process.Name, "client")
		if p.Stage == "" {
			return wire.PeekResult{}, ErrMalformed.New("no stage")
		}
		return wire.PeekResult{State: wire.PeekDone}, nil
	})
	_, conn, _ := pair(t, mux)
	var got wire.PeekResult
	assert.NilError(t, conn.Call(context.Background(), "peek", wire.Peek{Stage: "encode"}, &got))
	assert.Equal(t, got.State, wire.PeekDone)
	err := conn.Call(context.Background(), "peek", wire.Peek{}, &got)
	assert.Assert(t, errorx.IsOfType(err, ErrRemote), "%v", err)
	err = conn.Call(context.Background(), "absent", wire.Peek{}, &got)
	assert.Assert(t, errorx.IsOfType(err, ErrRemote), "%v", err)
}

// Guards against reporting a call that ran as not run, because a connection that
// broke after the write is taken for one that broke before it. The server closes
// the connection on receiving the call, which the client must report as lost. A
// second call on the closed connection must report that nothing was written.
func TestLostCallIsNotReportedAsNotWritten(t *testing.T) {
	mux := NewMux()
	HandleCall(mux, "run", func(_ context.Context, from *Conn, _ wire.Revoke) (wire.RevokeResult, error) {
		from.Close()
		return wire.RevokeResult{}, nil
	})
	_, conn, _ := pair(t, mux)
	err := conn.Call(context.Background(), "run", wire.Revoke{}, nil)
	assert.Assert(t, errorx.IsOfType(err, ErrLost), "%v", err)
	<-conn.Done()
	err = conn.Call(context.Background(), "run", wire.Revoke{}, nil)
	assert.Assert(t, errorx.IsOfType(err, ErrNotWritten), "%v", err)
}

func TestOversizedMessageIsNotWritten(t *testing.T) {
	_, conn, _ := pair(t, NewMux())
	big := wire.BundleBody{Signed: make([]byte, wire.MaxMessage)}
	err := conn.Call(context.Background(), "run", big, nil)
	assert.Assert(t, errorx.IsOfType(err, ErrNotWritten), "%v", err)
	err = conn.Call(context.Background(), "run", wire.Revoke{}, nil)
	assert.Assert(t, errorx.IsOfType(err, ErrRemote), "the connection stays usable: %v", err)
}

// Guards against a faulty or hostile peer that announces a message of a terabyte,
// which would exhaust the VM's memory. The connection must end and the message
// must be counted as rejected.
func TestOversizedFrameEndsConnection(t *testing.T) {
	server, _, addr := pair(t, NewMux())
	raw, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	_, err = raw.Write(binary.AppendUvarint(nil, 1<<40))
	assert.NilError(t, err)
	assert.NilError(t, raw.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = raw.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, server.Traffic.Rejected.Load(), int64(1))
}

func TestNoCallBeforeHello(t *testing.T) {
	mux := NewMux()
	HandleCall(mux, "run", func(context.Context, *Conn, wire.Revoke) (wire.RevokeResult, error) {
		t.Error("an unauthenticated call was served")
		return wire.RevokeResult{}, nil
	})
	server := testNode(t, "server", mux)
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	client := testNode(t, "client", NewMux())
	raw, err := client.Connect(context.Background(), addr.String())
	assert.NilError(t, err)
	err = client.newConn(raw, wire.MaxMessage, func() {}).Call(context.Background(), "run", wire.Revoke{}, nil)
	assert.Assert(t, errorx.IsOfType(err, ErrRemote), "%v", err)
}
