package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/wire"
)

// Guards against a dial that finishes after Close has begun: it must not be added
// to the wait group on which Close waits, and must not leave a connection open.
func TestDialThatEndsAfterClose(t *testing.T) {
	const slowDial = 50 * time.Millisecond
	server := testNode(t, "server", NewMux())
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var dials atomic.Int64
	hello := wire.Hello{Process: wire.Process{Name: "client", Incarnation: "1"}}
	client := NewNode(Config{
		Hello: func() wire.Hello { return hello },
		Dial: func(_ context.Context, network, addr string) (net.Conn, error) {
			conn, err := net.Dial(network, addr)
			if dials.Add(1) > 1 {
				<-time.After(slowDial)
			}
			return conn, err
		},
	}, NewMux())
	_, err = client.Dial(t.Context(), addr.String())
	assert.NilError(t, err)
	var dialing sync.WaitGroup
	dialing.Go(func() {
		_, err := client.Dial(t.Context(), addr.String())
		assert.Check(t, err != nil)
	})
	client.Close()
	dialing.Wait()
	assert.Equal(t, len(client.Conns()), 0)
}
