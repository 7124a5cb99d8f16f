package fleet

import (
	"slices"
	"time"
)

// Reach is the part of the fleet that an owner of the queue can serve.
type Reach struct {
	// Share is the part of the members known of that it hears, see Core.Share.
	Share float64
	// Unreached are the failure domains of which it reaches no member, although
	// some were heard a short time ago. Their endpoints are likely cut off as well.
	Unreached []string
}

// Reach returns what this process reaches as the owner.
func (c *Core) Reach(now time.Time) Reach {
	return Reach{Share: c.Share(now), Unreached: c.unreached(now)}
}

func (c *Core) unreached(now time.Time) []string {
	reached := map[string]bool{c.self.Domain: true}
	var unreached []string
	for _, p := range c.peers {
		reached[p.Domain] = reached[p.Domain] || c.reaches(now, p)
	}
	for _, p := range c.peers {
		if !reached[p.Domain] && now.Sub(p.heard) < forgetAfter && !slices.Contains(unreached, p.Domain) {
			unreached = append(unreached, p.Domain)
		}
	}
	slices.Sort(unreached)
	return unreached
}

// reaches tells whether a member speaks for its failure domain: it hears this
// process and is heard, or its process has ended, which says nothing of its domain.
func (c *Core) reaches(now time.Time, p *peerState) bool {
	switch {
	case !p.closed.IsZero() && p.closed.Sub(p.heard) < silence:
		return true
	case now.Sub(c.claimed) >= unheardSilence && c.mesh:
		// Members beat to their owner in every round.
		return now.Sub(p.heard) < silence && p.unacked() < unheardAlarm
	case p.Domain == c.gaveUp:
		return p.inTouch(now)
	}
	return p.live(now) && p.unacked() < unheardIdle
}
