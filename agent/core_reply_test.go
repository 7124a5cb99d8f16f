package agent

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/wire"
)

// An endpoint answers one call with another call's reply. The call is lost, but
// the endpoint lives: when this was taken for a crash, every call in its queue
// was refused, and a burst of such replies left a fifth of the callers answered.
func TestMalformedReplyIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		down  bool
	}{
		{"foreign reply", endpoint.ErrMalformed.New("reply is for another call"), false},
		{"connection cut", errors.New("connection reset"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, CoreConfig{})
			token := b.send(b.order("k", 1))
			b.finish(b.commit(), &endpoint.Error{Written: true, Lost: true, Err: c.cause})
			got, ok := b.replies[token]
			assert.Assert(t, ok)
			assert.Equal(t, got.Status, wire.StatusLost)
			assert.Equal(t, got.Crashed, c.down)
			assert.Equal(t, b.core.Report().Down, c.down)
			assert.Equal(t, got.Reason == api.ReasonEndpointLost, c.down)
		})
	}
}
