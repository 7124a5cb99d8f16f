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
// the endpoint is up. When this was treated as a crash, every queued call was
// refused, and during a burst of such replies only a fifth of the callers got
// an answer.
func TestMalformedReplyIsNotACrash(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause error
		down  bool
	}{
		{"foreign reply", endpoint.ErrMalformed.New("reply is for another call"), false},
		{"connection cut", errors.New("connection reset"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newCoreHarness(t, CoreConfig{})
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
