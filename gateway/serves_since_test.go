package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/testwait"
)

// Guards against a process that has ended and counts as serving, because the end of a connection
// to it has not been read yet.
func TestUnreadEndOfAConnectionIsNoService(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	e := &catalog.Endpoint{ID: "e1", Service: "s", Addr: listener.Addr().String(), Incarnation: 1}
	transport := NewTransport()
	transport.SetView(catalog.NewView(nil, []*catalog.Endpoint{e}, 1))
	conn, err := transport.dial(context.Background(), "tcp", e.Addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	assert.Assert(t, transport.ServesSince(e.Key(), time.Now()))
	assert.NilError(t, accepted.Close())
	testwait.For(t, time.Second, func() bool { return !transport.ServesSince(e.Key(), time.Now()) })
}
