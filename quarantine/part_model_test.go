package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/quarantine/part"
)

// partTroubles are what else happens beside a deadly part, each with how many endpoints more
// than crashLimit of parts and one in flight it may cost each side of the fleet.
var partTroubles = map[string]struct {
	more  int
	begin func(*partFleet)
}{
	"none": {begin: func(*partFleet) {}},
	"cut": {begin: func(s *partFleet) {
		s.after(1500*time.Millisecond, func() {
			for i := range s.side {
				s.side[i] = i % 2
			}
		})
		s.after(5*time.Second, func() { clear(s.side); s.greetAll() })
	}},
	"owners change": {more: 1, begin: func(s *partFleet) {
		s.every(250*time.Millisecond, callTime, func() { s.owner = s.rng.IntN(len(s.members)) })
	}},
	"members restart": {more: 1, begin: func(s *partFleet) {
		s.every(300*time.Millisecond, callTime, func() {
			i := s.rng.IntN(len(s.members))
			if i == s.owner {
				return
			}
			s.members[i] = newJudgedParts(i)
			for _, c := range partTableOf(s, s.owner).Evidence(nil, 256) {
				partTableOf(s, i).RecordCrash(s.now, c)
			}
		})
	}},
	"endpoints lose power": {more: 1, begin: func(s *partFleet) {
		s.every(3*time.Second, callTime, func() {
			for e := range modelEndpoints / 3 {
				if !s.down[e] {
					s.crash(e)
				}
			}
		})
	}},
}

// greetAll makes all members tell each other what they blame, as new connections do.
func (s *partFleet) greetAll() {
	for i := range s.members {
		for _, c := range partTableOf(s, i).Evidence(nil, 256) {
			for j := range s.members {
				partTableOf(s, j).RecordCrash(s.now, c)
			}
		}
	}
}

// Guards against a part that crashes more endpoints than the bound in fleets of any size, on
// each side of a cut one, and against sound requests that are refused for it.
func TestModelOfDeadlyPart(t *testing.T) {
	for members, divisor := range modelSizes {
		for name, trouble := range partTroubles {
			t.Run(fmt.Sprintf("%d members, %s", members, name), func(t *testing.T) {
				t.Parallel()
				most, refused, messages := 0, 0, 0
				seeds := max(1, *fleetSeeds/divisor)
				for seed := range seeds {
					day := partDay{members: members, interval: 200 * time.Millisecond, runTime: 500 * time.Millisecond, trouble: trouble.begin}
					s := playPart(seed, day, newJudgedParts)
					for side, lost := range s.lost {
						most = max(most, lost)
						assert.Check(t, lost <= 6+trouble.more, "seed %d: %d endpoints lost on side %d", seed, lost, side)
					}
					refused += s.sound["refused"]
					messages += s.messages
					assert.Check(t, s.members[0].refuses(s.now, []part.ID{firstPart, deadlyPart}), "seed %d", seed)
					for i := range commonPartCount {
						assert.Check(t, !s.members[i%members].refuses(s.now, []part.ID{firstPart, commonPart + part.ID(i)}), "seed %d", seed)
					}
				}
				assert.Check(t, refused == 0, "%d sound requests refused", refused)
				t.Logf("at most %d endpoints lost, %d messages a fleet", most, messages/int(seeds))
			})
		}
	}
}

// TestModelOfTwoWaysToFindAPart logs how two ways to find a part compare on the same seeds:
// crashes since the last answer alone, and package part. With more seeds than in CI there are
// larger fleets.
func TestModelOfTwoWaysToFindAPart(t *testing.T) {
	ways := map[string]func(int) partJudge{"counted": newCountedParts, "judged": newJudgedParts}
	days := map[string]partDay{
		"5 a second":          {interval: 200 * time.Millisecond, runTime: 500 * time.Millisecond},
		"30 a second":         {interval: time.Second / 30, runTime: 500 * time.Millisecond},
		"5 a second, long":    {interval: 200 * time.Millisecond, runTime: 4 * time.Second},
		"power loss":          {runTime: 500 * time.Millisecond, trouble: losePower},
		"power loss, long":    {runTime: 4 * time.Second, trouble: losePower},
		"endpoint each 0.7 s": {runTime: 4 * time.Second, trouble: loseInTurn},
		"calm":                {runTime: 500 * time.Millisecond},
	}
	sizes := map[int]uint64{3: *fleetSeeds / 4, 30: 1}
	if *fleetSeeds > defaultFleetSeeds {
		sizes = map[int]uint64{3: *fleetSeeds, 30: *fleetSeeds / 4, 300: 1}
	}
	for members, seeds := range sizes {
		for name, day := range days {
			for way, newJudge := range ways {
				lost, messages := 0, 0
				sound := make(map[string]int)
				day.members = members
				for seed := range seeds {
					s := playPart(seed, day, newJudge)
					lost = max(lost, s.lost[0])
					messages += s.messages
					for outcome, n := range s.sound {
						sound[outcome] += n
					}
				}
				t.Logf("%d members, %s, %s: %d endpoints lost, %d of %d sound requests refused, %d messages a fleet",
					members, name, way, lost, sound["refused"], sound["refused"]+sound["served"], messages/int(seeds))
			}
		}
	}
}

// losePower ends a third of the endpoints, twice, and then all.
func losePower(s *partFleet) {
	for i, n := range []int{modelEndpoints / 3, modelEndpoints / 3, modelEndpoints} {
		s.after(time.Duration(2+4*i)*time.Second, func() {
			for e := range n {
				s.crash(e)
			}
		})
	}
}

// loseInTurn ends one endpoint after the other.
func loseInTurn(s *partFleet) {
	e := 0
	s.every(700*time.Millisecond, callTime, func() {
		s.crash(e % modelEndpoints)
		e++
	})
}
