package discovery

import (
	"flag"
	"fmt"
	"testing"
)

// The flags choose the fleets of TestFleetsBySeed.
var (
	modelMembers    = flag.Int("model.members", 3, "members of each fleet of TestFleetsBySeed")
	modelFrom       = flag.Uint64("model.from", 0, "first seed of TestFleetsBySeed")
	modelUntil      = flag.Uint64("model.until", 20, "seed before which TestFleetsBySeed ends")
	modelOlder      = flag.Bool("model.older", true, "faults of TestFleetsBySeed: a copy may be from before the previous return")
	modelStoreFault = flag.Bool("model.storeonly", false, "faults of TestFleetsBySeed: members are never cut off, paused or restarted")
)

// Guards against the failures of the tests above in any range of seeds, by hand:
// go test ./discovery -run FleetsBySeed -args -model.members 5 -model.from 0 -model.until 2000.
func TestFleetsBySeed(t *testing.T) {
	faults := modelFaults{olderCopies: *modelOlder, storeOnly: *modelStoreFault}
	for seed := *modelFrom; seed < *modelUntil; seed++ {
		t.Run(fmt.Sprintf("%d members, seed %d", *modelMembers, seed), func(t *testing.T) {
			t.Parallel()
			newModel(t, seed, *modelMembers, faults).run()
		})
	}
}
