package dispatch

import "time"

// minEffectiveWorkers keeps divisions by the capacity of a pool finite.
const minEffectiveWorkers = 0.01

// updateLostCapacity updates how much of the pool's capacity quotas and backoffs take
// away.
func (c *Core) updateLostCapacity(p *pool, now time.Time) {
	p.lostCapacity = 0
	p.backoffEnd = time.Time{}
	if c.quotas.Empty() && c.backoffs.Empty() || p.avgCallTime <= 0 {
		return
	}
	nominal := float64(p.spec.Items*max(1, p.spec.Slots)) * fillShare / p.avgCallTime.Seconds()
	inBackoff := 0
	for _, w := range p.workers {
		if !w.usable() {
			continue
		}
		end, active := c.backoffs.Until(now, w.key)
		rate, limited := c.quotas.Rate(now, w.key)
		switch {
		case active:
			p.lostCapacity++
			inBackoff++
			if p.backoffEnd.IsZero() || end.Before(p.backoffEnd) {
				p.backoffEnd = end
			}
		case limited:
			p.lostCapacity += max(0, 1-rate/nominal)
		}
	}
	if inBackoff < p.usable {
		p.backoffEnd = time.Time{}
	}
}

// effectiveWorkers returns how many endpoints without quotas and backoffs do as much as
// those that the owner may use; it is positive.
func (p *pool) effectiveWorkers() float64 {
	return max(minEffectiveWorkers, float64(max(1, p.allowedWorkers()))-p.lostCapacity)
}

// backoffWait returns how long all usable endpoints of the pool are in backoff, 0 if one
// is not.
func (p *pool) backoffWait(now time.Time) time.Duration { return max(0, p.backoffEnd.Sub(now)) }
