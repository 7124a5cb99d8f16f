package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/mangostage/mangostage/suspect"
)

// counted is the other way to judge, that of package suspect: members exchange what they
// have counted, and each judges by itself.
type counted struct {
	table  *suspect.Table
	member int
}

func newCounted(_ *modelFleet, member int) judge {
	return &counted{table: suspect.New(string(rune('a'+member)), crashLimit), member: member}
}

func (c *counted) begin(s *modelFleet, content Content, _ string, decided func(Permission)) {
	if c.table.Begin(content.String(), s.now).Refuse {
		decided(Permission{Outcome: Refused})
		return
	}
	decided(Permission{})
}

func (c *counted) broke(s *modelFleet, content Content, _, endpoint string, beside int, _ bool) {
	s.after(verdictTime, func() {
		c.table.Crashed(content.String(), suspect.Crash{Endpoint: endpoint, Companions: beside}, s.now)
		c.tellAll(s)
	})
}

func (c *counted) answered(s *modelFleet, content Content, _ string, _ bool) {
	before := len(c.table.Counts(s.now))
	c.table.Succeeded(content.String(), s.now)
	if len(c.table.Counts(s.now)) != before {
		c.tellAll(s)
	}
}

// tellAll sends the counts of this member to all others.
func (c *counted) tellAll(s *modelFleet) {
	counts := c.table.Counts(s.now)
	for i := range s.members {
		if i == c.member {
			continue
		}
		s.send(c.member, i, func() {
			other, _ := s.members[i].(*counted)
			other.table.Merge(counts, s.now)
		})
	}
}

func (c *counted) refuses(now time.Time, content Content) bool {
	return c.table.RefusedFor(content.String(), now) > 0
}

// stateBytes returns the size of what the first member knows, as messages carry it.
func stateBytes(s *modelFleet) int {
	var known any
	switch m := s.members[0].(type) {
	case *arbitrated:
		known = m.table.Known(s.now, maxContents)
	case *counted:
		known = m.table.Counts(s.now)
	}
	text, err := json.Marshal(known)
	if err != nil {
		return 0
	}
	return len(text)
}

// TestModelOfTwoWays logs how two ways to judge compare on the same seeds: counts that
// members exchange, and runs that one member grants.
func TestModelOfTwoWays(t *testing.T) {
	ways := map[string]func(*modelFleet, int) judge{"counted": newCounted, "arbitrated": newArbitrated}
	troubles := map[string]func(*modelFleet){
		"one caller": nil,
		"20 copies": func(s *modelFleet) {
			s.after(time.Millisecond, func() {
				for range 20 {
					s.call(s.anyMember(), crashing)
				}
			})
		},
		"power loss": func(s *modelFleet) {
			s.after(5*time.Second, func() {
				for e := range modelEndpoints {
					s.crash(e)
				}
			})
		},
	}
	for members, seeds := range map[int]uint64{3: 20, 30: 5, 300: 1} {
		for name, trouble := range troubles {
			for way, newJudge := range ways {
				lost, messages, bytes, calm := 0, 0, 0, 0
				innocents := make(map[string]int)
				for seed := range seeds {
					s := playCrashes(seed, members, 200*time.Millisecond, newJudge, trouble)
					lost = max(lost, s.lost[0])
					messages += s.messages
					bytes = max(bytes, stateBytes(s))
					for outcome, n := range s.innocents {
						innocents[outcome] += n
					}
					if s.members[0].refuses(s.now, popular) {
						calm++
					}
				}
				t.Logf("%d members, %s, %s: %d endpoints lost, %d of %d innocent requests refused, popular content refused in the calm in %d of %d, %d messages a fleet, %d bytes known",
					members, name, way, lost, innocents["refused"], innocents["refused"]+innocents["served"], calm, seeds, messages/int(seeds), bytes)
			}
		}
	}
}
