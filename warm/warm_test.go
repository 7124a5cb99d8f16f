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
	// step is the interval at which each member has a request to send.
	step = 5 * time.Millisecond
)

func coldEndpoint() *catalog.Endpoint {
	return &catalog.Endpoint{ID: "e", ColdUntil: epoch.Add(coldFor), ColdRate: rate}
}

// maxPerSecond counts, by plain comparison, the most requests in any second.
func maxPerSecond(sent []time.Time) int {
	maxPerSecond := 0
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) <= time.Second {
				n++
			}
		}
		maxPerSecond = max(maxPerSecond, n)
	}
	return maxPerSecond
}

// member is one process: an owner of the queue, or one that picks endpoints
// itself.
type member struct {
	limiter warm.Limiter
	share   float64
	phase   float64
}

// sendAllAllowed lets all members send as much as they may and returns the
// times of the requests.
func sendAllAllowed(members []*member) []time.Time {
	e := coldEndpoint()
	var sent []time.Time
	for now := epoch; e.Cold(now); now = now.Add(step) {
		for _, m := range members {
			if m.limiter.Allow(now, e, m.share, m.phase) {
				m.limiter.Record(now, e)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// Guards against crash loops of cold endpoints: a failure domain returns cold
// and with the least load, every gateway sends its requests there, and the
// endpoints crash again and again. Endpoints tolerate about one and a half
// times the rate that their service specifies. For any number of members, and
// with two owners at once during a change of owner, the endpoints get no more
// than the sum of the shares and a small burst, and they do get some requests.
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
		sent := sendAllAllowed(members)
		// Members wait for a random time, so a few requests more than the mean,
		// which is 4.4 per second, may fall into one second.
		const burst = 9
		assert.Assert(t, maxPerSecond(sent) <= int(float64(owners)*rate*warm.OwnerShare+rate*(1-warm.OwnerShare))+burst, "%d in a second", maxPerSecond(sent))
		assert.Assert(t, len(sent) >= int(rate*warm.OwnerShare*coldFor.Seconds()*0.8), "only %d", len(sent))
	})
}

// Members that lost sight of others use larger shares, but never more than that
// of a member of a fleet of the size that they see.
func TestOneProcessKeepsToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 300).Draw(t, "members")
		m := &member{share: warm.PickerShare(size, rapid.Bool().Draw(t, "queued")), phase: rapid.Float64Range(0, 1).Draw(t, "phase")}
		sent := sendAllAllowed([]*member{m})
		assert.Assert(t, maxPerSecond(sent) <= max(1, int(rate*m.share)), "%d in a second with a share of %.3f", maxPerSecond(sent), m.share)
	})
}

// A warm endpoint gets all requests; one that becomes cold again is limited
// again.
func TestWarmEndpointIsNotPaced(t *testing.T) {
	var limiter warm.Limiter
	e := &catalog.Endpoint{ID: "e", ColdRate: rate}
	for range 1000 {
		assert.Assert(t, limiter.Allow(epoch, e, 0.01, 1))
		limiter.Record(epoch, e)
	}
	e.ColdUntil = epoch.Add(coldFor)
	for range 2 {
		limiter.Record(epoch, e)
		limiter.Record(epoch, e)
		assert.Assert(t, !limiter.Allow(epoch.Add(time.Millisecond), e, 0.2, 0))
	}
}

// Guards against a member that takes itself for the whole fleet: its link fails
// while a failure domain returns cold, and it sees no other member for seconds.
// It must keep its share, and forget the size of a fleet that has shrunk.
func TestLostMembersAreRemembered(t *testing.T) {
	var fleet warm.FleetSize
	assert.Equal(t, fleet.Update(epoch, 26), 26)
	for after := time.Second; after < 30*time.Second; after += time.Second {
		assert.Equal(t, fleet.Update(epoch.Add(after), 1), 26)
	}
	later := epoch
	for range 70 {
		later = later.Add(time.Second)
		fleet.Update(later, 2)
	}
	assert.Equal(t, fleet.Update(later, 2), 2)
}
