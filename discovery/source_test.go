package discovery

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// Guards against an evacuation or an endpoint in the log of which nobody can tell by whose
// word it is there: the store's own, or a peer's.
func TestChangesNameTheirSource(t *testing.T) {
	reader, follower := NewState(), NewState()
	evacuation := platform.Item{Key: platform.PrefixEvacuations + "z1", Era: 1, Revision: 4}
	endpoint := platform.Item{Key: platform.PrefixEndpoints + "e1", Era: 1, Revision: 3, Value: (&modelEndpoint{domain: "z0", state: "ready"}).value()}
	config := platform.Item{Key: platform.KeyConfig, Era: 1, Revision: 2, Value: []byte(`{"version":1,"routes":[],"services":[{"name":"s"}]}`)}
	reader.ApplyList(epoch, []platform.Item{config, endpoint, evacuation}, position.Position{Era: 1, Revision: 4})
	batch := reader.Changes(epoch, position.Position{})
	batch.Peer = "m1"
	follower.ApplyBatch(epoch, batch)
	for state, source := range map[*State]Source{reader: {Way: WayList}, follower: {Peer: "m1", Way: WayChanges}} {
		evacuations, endpoints := state.TakeEvacuationChanges(), state.TakeEndpointChanges()
		assert.Equal(t, len(evacuations), 1)
		assert.Equal(t, evacuations[0].Source, source)
		assert.Equal(t, evacuations[0].At, evacuation.Position())
		assert.Equal(t, len(endpoints), 1)
		assert.Equal(t, endpoints[0].Source, source)
		assert.Assert(t, endpoints[0].Listed)
	}
}
