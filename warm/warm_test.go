package warm_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/warm"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	rate    = 11.0
	coldFor = 3 * time.Second
	// step is how often each member has a request to send.
	step = 5 * time.Millisecond
)

func coldEndpoint() *catalog.Endpoint {
	return &catalog.Endpoint{ID: "e", ColdUntil: epoch.Add(coldFor), ColdRate: rate}
}

// most is the naive count: the most requests in any second.
func most(sent []time.Time) int {
	most := 0
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// member is one process: an owner of the queue, or one that picks endpoints.
type member struct {
	pace  warm.Pace
	share float64
	phase float64
}

// flood lets all members send as much as they may, and returns when.
func flood(members []*member) []time.Time {
	e := coldEndpoint()
	var sent []time.Time
	for now := epoch; e.Cold(now); now = now.Add(step) {
		for _, m := range members {
			if m.pace.Allows(now, e, m.share, m.phase) {
				m.pace.Sent(now, e)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// A failure domain comes back cold and is the emptiest of all: every gateway
// sends what it has there, the endpoints crash, and crash again. However many
// members there are, and while an owner takes over from another, they get no more
// than half as much again of the rate that they bear, and they do get some.
func TestFleetKeepsToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "members")
		owners := rapid.IntRange(1, 2).Draw(t, "owners")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var members []*member
		for range owners {
			members = append(members, &member{share: warm.OwnerShare})
		}
		for range size {
			members = append(members, &member{share: warm.PickerShare(size, true), phase: random.Float64()})
		}
		sent := flood(members)
		// Members that wait for a random time come in clusters now and then: a
		// few requests beside the mean, which is 4.4 a second.
		const clusters = 9
		assert.Assert(t, most(sent) <= int(float64(owners)*rate*warm.OwnerShare+rate*(1-warm.OwnerShare))+clusters, "%d in a second", most(sent))
		assert.Assert(t, len(sent) >= int(rate*warm.OwnerShare*coldFor.Seconds()*0.8), "only %d", len(sent))
	})
}

// Members that lost sight of others take larger shares: never more than what they
// would have in a fleet of those that they see.
func TestOneProcessKeepsToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "members")
		m := &member{share: warm.PickerShare(size, rapid.Bool().Draw(t, "queued")), phase: rapid.Float64Range(0, 1).Draw(t, "phase")}
		sent := flood([]*member{m})
		assert.Assert(t, most(sent) <= max(1, int(rate*m.share)), "%d in a second with a share of %.3f", most(sent), m.share)
	})
}

// An endpoint that is warm gets all; one that is cold again is paced again.
func TestWarmEndpointIsNotPaced(t *testing.T) {
	var pace warm.Pace
	e := &catalog.Endpoint{ID: "e", ColdRate: rate}
	for range 1000 {
		assert.Assert(t, pace.Allows(epoch, e, 0.01, 1))
		pace.Sent(epoch, e)
	}
	e.ColdUntil = epoch.Add(coldFor)
	for range 2 {
		pace.Sent(epoch, e)
		pace.Sent(epoch, e)
		assert.Assert(t, !pace.Allows(epoch.Add(time.Millisecond), e, 0.2, 0))
	}
}

// A member whose link fails while a domain returns cold sees nobody else for
// seconds. It keeps to the part that it had, and forgets a fleet that has shrunk.
func TestLostMembersAreRemembered(t *testing.T) {
	var fleet warm.Fleet
	assert.Equal(t, fleet.Size(epoch, 26), 26)
	for after := time.Second; after < 30*time.Second; after += time.Second {
		assert.Equal(t, fleet.Size(epoch.Add(after), 1), 26)
	}
	later := epoch
	for range 70 {
		later = later.Add(time.Second)
		fleet.Size(later, 2)
	}
	assert.Equal(t, fleet.Size(later, 2), 2)
}
