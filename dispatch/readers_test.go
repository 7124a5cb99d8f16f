package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// TestGoneEngineIsNoReader guards against prompts that are sent, for the sake of
// their shared parts, to an engine that has left, and against a view that makes
// an owner forget where the others were read.
func TestGoneEngineIsNoReader(t *testing.T) {
	c := New("test")
	c.SetView(epoch, testView([]string{"north", "south"}, compareAll))
	es := c.engines[serviceModel]
	north, south := es.all[0], es.all[len(es.all)-1]
	assert.Assert(t, north.endpoint.Domain != south.endpoint.Domain)
	prefix := []catalog.PrefixPart{{ID: "shared", Tokens: 900}, {ID: "own", Tokens: 100}}
	es.keep(north, prefix)
	es.keep(south, prefix)

	c.SetView(epoch, testView([]string{south.endpoint.Domain}, compareAll))
	readers := c.engines[serviceModel].readers
	assert.DeepEqual(t, keysOf(readers["shared"]), []string{south.key})
	assert.Equal(t, len(readers["own"]), 0)

	c.SetView(epoch, testView([]string{north.endpoint.Domain}, compareAll))
	assert.Equal(t, len(c.engines[serviceModel].readers), 0)
}

func keysOf(engines []*engine) []string {
	var keys []string
	for _, e := range engines {
		keys = append(keys, e.key)
	}
	return keys
}
