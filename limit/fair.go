package limit

import (
	"sync"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/share"
)

const (
	// activeWindow is how long an account that no longer sends requests keeps
	// its share; afterwards others may use it until the account sends again.
	activeWindow = time.Second
	// idleAfter is the time after which an account without calls in flight is
	// removed from the table.
	idleAfter = time.Minute
	// lowerPriorityReserve is the share of the slots that each priority leaves
	// to lower ones that ask for slots. Without it a flood at a high priority
	// would stop all others, which could not even tell that the system is up.
	lowerPriorityReserve = 0.1
	// saturationFactor is how many times its slots an entry may have in flight
	// before it treats the pool as saturated, whatever the endpoints report:
	// reports are late, and they do not include requests that are still in
	// earlier stages.
	saturationFactor = 2
)

// fairPool divides one entry's part of a pool's capacity among accounts.
type fairPool struct {
	mu       sync.Mutex
	claims   map[string]*claim
	inFlight int
	prunedAt time.Time
	// scratch is reused by each call of divide.
	scratch []*share.Claim
}

// claim is one account's demand for slots of the pool, and its use of them.
type claim struct {
	weight   float64
	priority int
	inFlight int
	// peak and previousPeak are the largest numbers of calls that the account
	// wanted in flight in the current window and in the one before.
	peak         int
	previousPeak int
	windowStart  time.Time
	lastSeen     time.Time
	// share is the number of slots that the latest divide gave to the account.
	share         float64
	division      share.Claim
	retrySchedule retrySchedule
}

func newFairPool() *fairPool {
	return &fairPool{claims: make(map[string]*claim)}
}

// acquire takes a slot for the account and returns true, or returns how long
// the caller should wait before it retries.
func (p *fairPool) acquire(now time.Time, account *bundle.Account, liveEntries int, demand Demand) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	c := p.claim(account, now)
	c.recordDemand(c.inFlight+1, now)
	slots := demand.slots(liveEntries)
	if p.saturated(demand, slots) {
		p.divide(slots, now)
		if float64(c.inFlight) >= c.share {
			return c.retryAfter(now, demand), false
		}
	}
	c.inFlight++
	p.inFlight++
	return 0, true
}

// aheadShare returns the share of the calls in flight that have at least the
// given priority; 1 if none are in flight.
func (p *fairPool) aheadShare(priority int) float64 {
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

// saturated tells whether shares are enforced. A pool of unknown capacity is
// left to the admission check.
func (p *fairPool) saturated(demand Demand, slots float64) bool {
	if demand.Occupancy.Capacity == 0 {
		return false
	}
	if demand.saturated() {
		return true
	}
	// If the service time of the whole request is not known, the slots count
	// calls of one stage but inFlight counts requests in all stages, so the two
	// cannot be compared.
	return demand.ServiceTime > 0 && float64(p.inFlight) >= saturationFactor*slots
}

// release gives a slot back. If canceled is true, the slot was never used, and
// giving it back does not count as activity of the account.
func (p *fairPool) release(account string, now time.Time, canceled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.claims[account]
	if c == nil || c.inFlight == 0 {
		return
	}
	c.inFlight--
	p.inFlight--
	if !canceled {
		c.lastSeen = now
	}
}

// claim returns the account's claim, updated with the account's current weight
// and priority.
func (p *fairPool) claim(account *bundle.Account, now time.Time) *claim {
	c := p.claims[account.Name]
	if c == nil {
		c = &claim{windowStart: now}
		p.claims[account.Name] = c
	}
	c.weight = float64(max(1, account.Weight))
	c.priority = account.Priority
	c.lastSeen = now
	return c
}

// prune removes idle accounts, so that the table holds only accounts in use.
func (p *fairPool) prune(now time.Time) {
	if now.Sub(p.prunedAt) < idleAfter {
		return
	}
	p.prunedAt = now
	for name, c := range p.claims {
		if c.inFlight == 0 && now.Sub(c.lastSeen) >= idleAfter {
			delete(p.claims, name)
		}
	}
}

// recordDemand records that the account wants n calls in flight.
func (c *claim) recordDemand(n int, now time.Time) {
	c.rotateWindow(now)
	c.peak = max(c.peak, n)
}

// rotateWindow starts a new window if activeWindow has passed.
func (c *claim) rotateWindow(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < activeWindow {
		return
	}
	c.previousPeak = c.peak
	if age >= 2*activeWindow {
		c.previousPeak = 0
	}
	c.peak = c.inFlight
	c.windowStart = now
}

// slotsWanted returns how many slots the account asks for.
func (c *claim) slotsWanted(now time.Time) float64 {
	c.rotateWindow(now)
	return float64(max(c.peak, c.previousPeak, c.inFlight))
}

// retryAfter returns how long the account's own calls will take to fall below
// its share. By Little's law they finish at a rate of their number divided by
// the time that each takes.
func (c *claim) retryAfter(now time.Time, demand Demand) time.Duration {
	callTime := max(demand.ServiceTime, demand.Occupancy.Service)
	if callTime == 0 {
		callTime = defaultServiceTime
	}
	callTime += demand.Occupancy.Wait(demand.Occupancy.Service)
	running := float64(max(1, c.inFlight))
	excess := float64(c.inFlight) - c.share + 1
	wait := time.Duration(float64(callTime) * min(1, excess/running))
	gap := time.Duration(float64(callTime) / max(1, c.share))
	return c.retrySchedule.reserve(now, wait, gap)
}

// divide gives each account its share of the slots. Higher priorities come
// first, and each leaves lowerPriorityReserve to the lower ones; within a
// priority slots are divided by weight.
func (p *fairPool) divide(slots float64, now time.Time) {
	p.scratch = p.scratch[:0]
	for _, c := range p.claims {
		if wanted := c.slotsWanted(now); wanted > 0 {
			c.division = share.Claim{Weight: c.weight, Rank: -c.priority, Demand: wanted}
			p.scratch = append(p.scratch, &c.division)
		}
	}
	share.Divide(p.scratch, slots, lowerPriorityReserve)
	for _, c := range p.claims {
		c.share = c.division.Part
	}
}
