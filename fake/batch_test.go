package fake

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/endpoint"
)

func TestAdmissionByPriorityThenArrival(t *testing.T) {
	b := NewEngine(EngineSettings{Batch: 2}).batcher
	for _, r := range []endpoint.GenerateRequest{
		{Call: "household", Priority: 1},
		{Call: "desk", Priority: 9},
		{Call: "second desk", Priority: 9},
	} {
		assert.Assert(t, b.add(r) != nil)
	}
	var calls []string
	for _, n := range b.admit() {
		calls = append(calls, n.sequence.request.Call)
	}
	assert.DeepEqual(t, calls, []string{"desk", "second desk"})
	assert.Equal(t, len(b.admit()), 0)
}
