package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/bundle"
)

const (
	// activeWindow is how long an account that stopped asking keeps its claim
	// to a share; afterwards others may use it until it asks again.
	activeWindow = time.Second
	// idleAfter is when an account without calls in flight is forgotten.
	idleAfter = time.Minute
	// lowerReserve is the part of the slots that each priority leaves to
	// lower ones that ask. Without it a flood at a high priority would stop
	// all others, and they could not even tell that the system lives.
	lowerReserve = 0.1
	// flightCheck is how many times its slots an entry may have in flight
	// before it counts the pool as saturated whatever the reports say: they
	// are late, and requests in earlier stages are in none of them.
	flightCheck = 2
)

// fairPool divides one entry's part of a pool among accounts.
type fairPool struct {
	mu       sync.Mutex
	claims   map[string]*claim
	inFlight int
	pruned   time.Time
	// order is scratch space for divide.
	order []*claim
}

// claim is one account's use of the pool.
type claim struct {
	weight   float64
	priority int
	inFlight int
	// peak and last are the most calls that the account wanted in flight in
	// the current window and the one before.
	peak        int
	last        int
	windowStart time.Time
	seen        time.Time
	// share is the number of slots given by the latest divide.
	share float64
	turns turns
}

func newFairPool() *fairPool {
	return &fairPool{claims: make(map[string]*claim)}
}

// take takes a place for the account, or tells when to come back.
func (p *fairPool) take(now time.Time, account *bundle.Account, liveEntries int, demand Demand) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	c := p.claim(account, now)
	c.want(c.inFlight+1, now)
	slots := demand.slots(liveEntries)
	if p.saturated(demand, slots) {
		p.divide(slots, now)
		if float64(c.inFlight) >= c.share {
			return c.wait(now, demand), false
		}
	}
	c.inFlight++
	p.inFlight++
	return 0, true
}

// ahead is the share of the calls in flight that have the priority or a higher one.
func (p *fairPool) ahead(priority int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == 0 {
		return 1
	}
	before := 0
	for _, c := range p.claims {
		if c.priority >= priority {
			before += c.inFlight
		}
	}
	return float64(before) / float64(p.inFlight)
}

// saturated tells whether shares are in force. A pool of unknown capacity is
// left to admission.
func (p *fairPool) saturated(demand Demand, slots float64) bool {
	if demand.Occupancy.Capacity == 0 {
		return false
	}
	if demand.saturated() {
		return true
	}
	// Without Hold the slots are of one stage, the calls in flight of all.
	return demand.Hold > 0 && float64(p.inFlight) >= flightCheck*slots
}

// done gives a place back. A canceled one was never used, and does not show
// that the account wants as much.
func (p *fairPool) done(account string, now time.Time, canceled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.claims[account]
	if c == nil || c.inFlight == 0 {
		return
	}
	c.inFlight--
	p.inFlight--
	if !canceled {
		c.seen = now
	}
}

func (p *fairPool) claim(account *bundle.Account, now time.Time) *claim {
	c := p.claims[account.Name]
	if c == nil {
		c = &claim{windowStart: now}
		p.claims[account.Name] = c
	}
	c.weight = float64(max(1, account.Weight))
	c.priority = account.Priority
	c.seen = now
	return c
}

// prune forgets idle accounts, which bounds the table by those in use.
func (p *fairPool) prune(now time.Time) {
	if now.Sub(p.pruned) < idleAfter {
		return
	}
	p.pruned = now
	for name, c := range p.claims {
		if c.inFlight == 0 && now.Sub(c.seen) >= idleAfter {
			delete(p.claims, name)
		}
	}
}

// want notes how many calls the account wants in flight.
func (c *claim) want(n int, now time.Time) {
	c.turn(now)
	c.peak = max(c.peak, n)
}

// turn begins a new window if it is time.
func (c *claim) turn(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < activeWindow {
		return
	}
	c.last = c.peak
	if age >= 2*activeWindow {
		c.last = 0
	}
	c.peak = c.inFlight
	c.windowStart = now
}

// wanted is how many slots the account asks for.
func (c *claim) wanted(now time.Time) float64 {
	c.turn(now)
	return float64(max(c.peak, c.last, c.inFlight))
}

// wait is how long the account's own calls need to fall below its share: by
// Little's law they finish at the rate of their number over their time.
func (c *claim) wait(now time.Time, demand Demand) time.Duration {
	hold := max(demand.Hold, demand.Occupancy.Service)
	if hold == 0 {
		hold = holdUnknown
	}
	hold += demand.Occupancy.Wait(demand.Occupancy.Service)
	running := float64(max(1, c.inFlight))
	excess := float64(c.inFlight) - c.share + 1
	wait := time.Duration(float64(hold) * min(1, excess/running))
	gap := time.Duration(float64(hold) / max(1, c.share))
	return c.turns.next(now, wait, gap)
}

// divide gives each account its share of the slots: higher priorities first,
// each leaving lowerReserve to the lower ones, and by weight within one.
func (p *fairPool) divide(slots float64, now time.Time) {
	p.order = p.order[:0]
	for _, c := range p.claims {
		if c.wanted(now) > 0 {
			p.order = append(p.order, c)
		}
	}
	slices.SortFunc(p.order, func(a, b *claim) int { return cmp.Compare(b.priority, a.priority) })
	for first := 0; first < len(p.order); {
		next := first + 1
		for next < len(p.order) && p.order[next].priority == p.order[first].priority {
			next++
		}
		usable := slots
		if next < len(p.order) {
			usable *= 1 - lowerReserve
		}
		slots -= fill(p.order[first:next], usable, now)
		first = next
	}
}

// fill shares out slots by weight, gives nobody more than it wants, and
// returns how many were given. It takes the claims in the order in which a
// rising share per weight satisfies them.
func fill(claims []*claim, slots float64, now time.Time) float64 {
	slices.SortFunc(claims, func(a, b *claim) int {
		return cmp.Compare(a.wanted(now)/a.weight, b.wanted(now)/b.weight)
	})
	var weight, given float64
	for _, c := range claims {
		weight += c.weight
	}
	for _, c := range claims {
		c.share = min(c.wanted(now), (slots-given)*c.weight/weight)
		given += c.share
		weight -= c.weight
	}
	return given
}
