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

// weakLinkBytes is the throughput of the slowest VMs' link, 10 Mbit/s, in bytes
// per second.
const weakLinkBytes = 10e6 / 8

// dialWeak connects over a link that sends weakLinkBytes per second and has no buffer.
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
		// The copy ends when either connection is closed.
		_, _ = io.Copy(inner, far)
		_ = inner.Close()
	}()
	return near, nil
}

// Guards against a write timeout that covers a whole message: the largest allowed
// configuration takes three seconds on a slow link and would never arrive,
// because the connection would end after two seconds as if the peer had stopped
// reading, with all calls on it lost.
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
