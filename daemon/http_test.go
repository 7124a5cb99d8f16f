package daemon

import (
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a process that panics as it stops since one of its addresses is taken, in place of
// saying so.
func TestNoServerOnAnAddressThatIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	var b base
	b.log = zerolog.Nop()
	b.debug, err = serveHTTP(taken.Addr().String(), http.NotFoundHandler(), checksRoom, b.log)
	assert.ErrorContains(t, err, "listen for HTTP")
	assert.Assert(t, b.DebugAddr() == nil)
	b.stopDebug(t.Context())
}
