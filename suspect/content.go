package suspect

import (
	"slices"
	"time"
)

// content is what is known of one content.
type content struct {
	// running is the number of this entry's runs without an end.
	running int
	epoch   uint64
	// counts holds the crashes in the epoch.
	counts map[place]*placeCount
	// convictedUntil is zero if the content was never convicted.
	convictedUntil time.Time
	// listed: the shard counts it among its suspects.
	listed bool
}

// place is an endpoint as seen by an entry. The endpoint is empty in the
// count that only tells of an epoch.
type place struct {
	entry    string
	endpoint string
}

// placeCount is the crashes that one entry saw of one endpoint.
type placeCount struct {
	alone  int
	shared int
	// with holds the companions of every shared crash, if known.
	with  []string
	known bool
	// at is the time of the latest crash, or of the success that began the epoch.
	at time.Time
}

func (n *placeCount) total() int { return n.alone + n.shared }

// verdict judges whether one more run may begin.
//
// Copies of suspect content are kept few, because each of them may crash an
// endpoint before the others' crashes are known: a caller who sends the same
// request fifty times at once would otherwise take fifty endpoints down.
func (c *content) verdict(limit int, now time.Time) Verdict {
	if now.Before(c.convictedUntil) {
		return Verdict{Refuse: true, RetryAfter: c.convictedUntil.Sub(now)}
	}
	crashes := c.crashes()
	if crashes == 0 {
		return Verdict{}
	}
	if c.running > 0 && c.running+crashes >= limit {
		return Verdict{Refuse: true, RetryAfter: busyRetry}
	}
	return Verdict{Alone: true}
}

func (c *content) crashes() int {
	alone, shared := c.sum()
	return alone + shared
}

// sum returns the crashes of all endpoints without and with companions. A
// crash with companions may have been seen by several entries with copies of
// the content on the endpoint, so of their counts the highest stands: added
// up, they would convict popular content for one crash that it did not cause.
// A crash without companions was seen by one.
func (c *content) sum() (alone, shared int) {
	highest := make(map[string]int)
	for at, n := range c.counts {
		alone += n.alone
		highest[at.endpoint] = max(highest[at.endpoint], n.shared)
	}
	for _, n := range highest {
		shared += n
	}
	return alone, shared
}

// crashed counts a crash seen by the entry itself.
func (c *content) crashed(entry, key string, limit int, crash Crash, now time.Time) {
	others := slices.DeleteFunc(slices.Clone(crash.With), func(other string) bool { return other == key })
	onlyCopies := len(crash.With) > 0 && len(crash.With) == crash.Companions && len(others) == 0
	n := c.count(place{entry: entry, endpoint: crash.Endpoint})
	repeated := n.total() > 0 && now.Sub(n.at) < sameCrash
	switch {
	case crash.Companions == 0:
		n.alone++
	case repeated:
		// Another copy of the content reports the crash counted already.
	case onlyCopies:
		n.alone++
	default:
		n.share(others)
	}
	n.at = now
	c.judge(limit)
}

// share counts a crash with companions, and keeps those present each time.
func (n *placeCount) share(others []string) {
	n.shared++
	known := len(others) > 0 && len(others) <= companionsMax
	switch {
	case n.shared == 1:
		n.known = known
		if known {
			n.with = others
		}
	case n.known && known:
		n.with = slices.DeleteFunc(slices.Clone(n.with), func(key string) bool { return !slices.Contains(others, key) })
	default:
		n.known, n.with = false, nil
	}
}

// count returns the count of a place, in the place of the oldest if there are
// too many.
func (c *content) count(at place) *placeCount {
	n := c.counts[at]
	if n != nil {
		return n
	}
	if c.counts == nil {
		c.counts = make(map[place]*placeCount)
	}
	if len(c.counts) >= placesMax {
		c.forgetOldest()
	}
	n = &placeCount{}
	c.counts[at] = n
	return n
}

func (c *content) forgetOldest() {
	var oldest place
	var found *placeCount
	for at, n := range c.counts {
		if found == nil || n.at.Before(found.at) {
			oldest, found = at, n
		}
	}
	delete(c.counts, oldest)
}

// succeeded clears the content. A conviction stands: the result is of a run
// that began before it, and may only show that the crash is not certain.
func (c *content) succeeded(entry string, now time.Time) {
	if c.crashes() == 0 || now.Before(c.convictedUntil) {
		return
	}
	c.epoch++
	c.counts = nil
	c.convictedUntil = time.Time{}
	// The empty count tells other entries of the new epoch.
	c.count(place{entry: entry}).at = now
}

// merge takes in another entry's word on a count.
func (c *content) merge(count Count, at time.Time, limit int) {
	if count.Epoch < c.epoch {
		c.convict(count.Convicted, at)
		return
	}
	from := place{entry: count.Entry, endpoint: count.Endpoint}
	if c.counts[from] == nil && count.Age > newFor {
		return
	}
	if count.Epoch > c.epoch {
		c.epoch = count.Epoch
		c.counts = nil
	}
	n := c.count(from)
	total := count.Alone + count.Shared
	switch {
	case total > n.total() || n.at.IsZero():
		n.alone, n.shared, n.with, n.known, n.at = count.Alone, count.Shared, slices.Clone(count.With), count.Known, at
	case total == n.total() && at.Before(n.at):
		// Each hop adds its delay; without this, counts that travel in a
		// circle would grow younger and never expire.
		n.at = at
	}
	c.convict(count.Convicted, n.at)
	c.judge(limit)
}

// judge convicts the content if its crashes suffice.
func (c *content) judge(limit int) {
	alone, shared := c.sum()
	total := alone + shared
	proved := alone > 0 && total >= min(2, limit)
	enough := total >= max(2, limit) && !c.accompanied()
	c.convict(proved || enough || total >= 2*max(2, limit), c.latest())
}

// accompanied tells whether some other content was there at every shared
// crash; that one may be the cause.
func (c *content) accompanied() bool {
	var common []string
	first := true
	for _, n := range c.counts {
		if n.shared == 0 {
			continue
		}
		if !n.known {
			return false
		}
		if first {
			common, first = slices.Clone(n.with), false
			continue
		}
		common = slices.DeleteFunc(common, func(key string) bool { return !slices.Contains(n.with, key) })
	}
	return len(common) > 0
}

// convict refuses the content for a time after a crash, if it is guilty.
func (c *content) convict(guilty bool, crash time.Time) {
	if until := crash.Add(convictedFor); guilty && until.After(c.convictedUntil) {
		c.convictedUntil = until
	}
}

// expire drops counts that are too old.
func (c *content) expire(now time.Time) {
	keep := suspectFor
	if !c.convictedUntil.IsZero() {
		keep = relapseFor
	}
	for at, n := range c.counts {
		if now.Sub(n.at) > keep {
			delete(c.counts, at)
		}
	}
	if len(c.counts) == 0 && !now.Before(c.convictedUntil) {
		c.convictedUntil = time.Time{}
	}
}

// before tells whether c is forgotten before other.
func (c *content) before(other *content) bool {
	if guilty := !c.convictedUntil.IsZero(); guilty != !other.convictedUntil.IsZero() {
		return !guilty
	}
	return c.latest().Before(other.latest())
}

func (c *content) latest() time.Time {
	var latest time.Time
	for _, n := range c.counts {
		if n.at.After(latest) {
			latest = n.at
		}
	}
	return latest
}
