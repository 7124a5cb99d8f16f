package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/origin"
)

// Guards against a stream that goes on at another version after all gateways were killed: its
// client, the first to come back, shows only what is left of its time, so that the stream
// seems to have begun since the kill.
func TestClientThatTakesUpAStreamDoesNotTellHowLongStreamsLive(t *testing.T) {
	route := &catalog.Route{Name: "r", Timeout: 10 * time.Second}
	l := newLifetimes()
	assert.Equal(t, l.observe(route, 2*time.Second, true), origin.MaxLifetime, "nothing else was seen")
	assert.Equal(t, l.observe(route, time.Minute, false), time.Minute+lifetimeSlack)
	assert.Equal(t, l.observe(route, 2*time.Second, true), time.Minute+lifetimeSlack)
	assert.Equal(t, l.observe(route, 2*time.Second, false), time.Minute+lifetimeSlack)
}
