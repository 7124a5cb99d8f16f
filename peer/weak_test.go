package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/wire"
)

// weakLinkBytes is what the link of the weakest VMs, 10 Mbit/s, carries in a second.
const weakLinkBytes = 10e6 / 8

// dialWeak connects over a link that carries weakLinkBytes and holds none.
func dialWeak(_ context.Context, network, addr string) (net.Conn, error) {
	far, err := net.Dial(network, addr)
	if err != nil {
		return nil, err
	}
	near, inner := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		chunk := make([]byte, 32<<10)
		for {
			n, err := inner.Read(chunk)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(float64(n) / weakLinkBytes * float64(time.Second)))
			if _, err := far.Write(chunk[:n]); err != nil {
				return
			}
		}
	}()
	go func() {
		// Ends with either connection.
		_, _ = io.Copy(inner, far)
		_ = inner.Close()
	}()
	return near, nil
}

// A configuration of the size that is allowed never reaches a VM behind a weak
// link: it takes three seconds, and the connection is ended after two as if the
// peer had stopped to read. All calls on it are lost, and the next one begins anew.
func TestLongMessageOverWeakLink(t *testing.T) {
	mux := NewMux()
	HandleCall(mux, "take", func(_ context.Context, _ *Conn, p wire.BundleBody) (int, error) {
		return len(p.Signed), nil
	})
	server := testNode(t, "server", mux)
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	hello := wire.Hello{Process: wire.Process{Name: "weak", Incarnation: "i1"}}
	client := NewNode(Config{Hello: func() wire.Hello { return hello }, Dial: dialWeak}, NewMux())
	t.Cleanup(client.Close)
	conn, err := client.Dial(context.Background(), addr.String())
	assert.NilError(t, err)
	body := wire.BundleBody{Signed: make([]byte, wire.MaxMessage*2/3)}
	var got int
	assert.NilError(t, conn.Call(context.Background(), "take", body, &got))
	assert.Equal(t, got, len(body.Signed))
}
