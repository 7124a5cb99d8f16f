package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lag that is forgotten at once, and one that counts for good.
func TestLagCountsForAWhile(t *testing.T) {
	t.Parallel()
	const lag = 300 * time.Millisecond
	var m lagMeter
	now := time.Unix(1000, 0)
	m.record(now, lag)
	m.record(now, lag/2)
	for after := time.Duration(0); after < 4*lagPeriod; after += lagPeriod / 10 {
		at := now.Add(after)
		m.record(at, time.Millisecond)
		longest := m.longest(at)
		assert.Check(t, longest == lag || after >= lagPeriod, "%v after %v", longest, after)
		assert.Check(t, longest < lag || after < 2*lagPeriod, "%v after %v", longest, after)
	}
}

// Guards against a view that is believed to be new while the answers that would tell of
// changes are overdue, and against streams that are held for as long as the store is away.
func TestOverdueAnswersAreALag(t *testing.T) {
	t.Parallel()
	f := &Follower{wait: 600 * time.Millisecond}
	usual := f.wait + f.wait/followDivisor
	for age, late := range map[time.Duration]bool{
		usual / 2:                             false,
		usual + 200*time.Millisecond:          true,
		usual + maxOverdue + time.Millisecond: false,
	} {
		f.asOf = time.Now().Add(-age)
		assert.Check(t, (f.Lag() >= 200*time.Millisecond) == late, "a state of %v ago has a lag of %v", age, f.Lag())
	}
}
