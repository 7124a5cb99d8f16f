package suspect

import (
	"slices"
	"time"
)

// contentState is what a table knows about one content.
type contentState struct {
	// running is the number of this entry's runs that have not ended.
	running int
	// epoch grows each time a success clears the content.
	epoch uint64
	// counts holds the crashes in the current epoch.
	counts map[countKey]*crashCount
	// quarantinedUntil is the end of the latest quarantine. It is zero if there was none, or
	// none since the content was cleared or all of its counts expired.
	quarantinedUntil time.Time
	// isSuspect is true if the shard counts the content among its suspects.
	isSuspect bool
}

// countKey names an endpoint as observed by an entry. The endpoint is empty in the
// count that only announces a new epoch.
type countKey struct {
	entry    string
	endpoint string
}

// crashCount counts the crashes of one endpoint that one entry observed.
type crashCount struct {
	// alone counts the crashes without companions, shared those with companions.
	alone  int
	shared int
	// companions holds the keys of the content that was present at every shared crash, if
	// companionsKnown.
	companions      []string
	companionsKnown bool
	// at is the time of the latest crash, or of the success that began the epoch.
	at time.Time
}

// total returns the number of crashes.
func (n *crashCount) total() int { return n.alone + n.shared }

// decide decides whether and how one more run may begin.
//
// Concurrent runs of suspect content are limited, because each of them may crash an
// endpoint before the crashes of the others are known: a client that sends the same
// request fifty times at once would otherwise crash fifty endpoints.
func (c *contentState) decide(limit int, now time.Time) Decision {
	if now.Before(c.quarantinedUntil) {
		return Decision{Refuse: true, RetryAfter: c.quarantinedUntil.Sub(now)}
	}
	crashes := c.totalCrashes()
	if crashes == 0 {
		return Decision{}
	}
	if c.running > 0 && c.running+crashes >= limit {
		return Decision{Refuse: true, RetryAfter: copiesRetryAfter}
	}
	return Decision{Exclusive: true}
}

// totalCrashes returns the number of crashes in the current epoch.
func (c *contentState) totalCrashes() int {
	alone, shared := c.sumCrashes()
	return alone + shared
}

// sumCrashes returns the crashes of all endpoints without and with companions.
// Several entries with copies of the content on an endpoint may have observed the same
// crash with companions, so the highest of their counts is used: their sum would
// quarantine popular content for one crash that it did not cause. A crash without
// companions was observed by one entry only.
func (c *contentState) sumCrashes() (alone, shared int) {
	highest := make(map[string]int)
	for key, n := range c.counts {
		alone += n.alone
		highest[key.endpoint] = max(highest[key.endpoint], n.shared)
	}
	for _, n := range highest {
		shared += n
	}
	return alone, shared
}

// recordCrash counts a crash that this entry observed.
func (c *contentState) recordCrash(entry, key string, limit int, crash Crash, now time.Time) {
	others := slices.DeleteFunc(slices.Clone(crash.CompanionKeys), func(other string) bool { return other == key })
	onlyCopies := len(crash.CompanionKeys) > 0 && len(crash.CompanionKeys) == crash.Companions && len(others) == 0
	n := c.countFor(countKey{entry: entry, endpoint: crash.Endpoint})
	repeated := n.total() > 0 && now.Sub(n.at) < sameCrashWindow
	switch {
	case crash.Companions == 0:
		n.alone++
	case repeated:
		// Another copy of the content reports a crash that was already counted.
	case onlyCopies:
		n.alone++
	default:
		n.addShared(others)
	}
	n.at = now
	c.evaluate(limit)
}

// addShared counts a crash with companions and keeps the companions that were present
// at every shared crash.
func (n *crashCount) addShared(others []string) {
	n.shared++
	known := len(others) > 0 && len(others) <= maxCompanions
	switch {
	case n.shared == 1:
		n.companionsKnown = known
		if known {
			n.companions = others
		}
	case n.companionsKnown && known:
		n.companions = slices.DeleteFunc(slices.Clone(n.companions), func(key string) bool { return !slices.Contains(others, key) })
	default:
		n.companionsKnown, n.companions = false, nil
	}
}

// countFor returns the count of a key. If there are too many counts, a new one
// replaces the oldest.
func (c *contentState) countFor(key countKey) *crashCount {
	n := c.counts[key]
	if n != nil {
		return n
	}
	if c.counts == nil {
		c.counts = make(map[countKey]*crashCount)
	}
	if len(c.counts) >= maxCountsPerContent {
		c.dropOldestCount()
	}
	n = &crashCount{}
	c.counts[key] = n
	return n
}

// dropOldestCount removes the count with the oldest time.
func (c *contentState) dropOldestCount() {
	var oldest countKey
	var found *crashCount
	for key, n := range c.counts {
		if found == nil || n.at.Before(found.at) {
			oldest, found = key, n
		}
	}
	delete(c.counts, oldest)
}

// recordSuccess clears the content's crashes and begins a new epoch. A quarantine
// remains: the result is of a run that began before it, and may only show that the
// content does not always crash endpoints.
func (c *contentState) recordSuccess(entry string, now time.Time) {
	if c.totalCrashes() == 0 || now.Before(c.quarantinedUntil) {
		return
	}
	c.epoch++
	c.counts = nil
	c.quarantinedUntil = time.Time{}
	// The empty count announces the new epoch to other entries.
	c.countFor(countKey{entry: entry}).at = now
}

// merge merges a count that another entry sent.
func (c *contentState) merge(count Count, at time.Time, limit int) {
	if count.Epoch < c.epoch {
		c.quarantine(count.Quarantined, at)
		return
	}
	key := countKey{entry: count.Entry, endpoint: count.Endpoint}
	if c.counts[key] == nil && count.Age > maxNewCountAge {
		return
	}
	if count.Epoch > c.epoch {
		c.epoch = count.Epoch
		c.counts = nil
	}
	n := c.countFor(key)
	total := count.Alone + count.Shared
	switch {
	case total > n.total() || n.at.IsZero():
		n.alone, n.shared, n.companions, n.companionsKnown, n.at = count.Alone, count.Shared, slices.Clone(count.CompanionKeys), count.CompanionsKnown, at
	case total == n.total() && at.Before(n.at):
		// Each hop adds its delay; without this, counts that travel in a circle would grow
		// younger and never expire.
		n.at = at
	}
	c.quarantine(count.Quarantined, n.at)
	c.evaluate(limit)
}

// evaluate quarantines the content if it has caused enough crashes.
func (c *contentState) evaluate(limit int) {
	alone, shared := c.sumCrashes()
	total := alone + shared
	crashedAlone := alone > 0 && total >= min(2, limit)
	limitReached := total >= max(2, limit) && !c.hasCommonCompanion()
	c.quarantine(crashedAlone || limitReached || total >= 2*max(2, limit), c.latestCrash())
}

// hasCommonCompanion reports whether some other content was present at every shared
// crash; that content may be the cause.
func (c *contentState) hasCommonCompanion() bool {
	var common []string
	first := true
	for _, n := range c.counts {
		if n.shared == 0 {
			continue
		}
		if !n.companionsKnown {
			return false
		}
		if first {
			common, first = slices.Clone(n.companions), false
			continue
		}
		common = slices.DeleteFunc(common, func(key string) bool { return !slices.Contains(n.companions, key) })
	}
	return len(common) > 0
}

// quarantine refuses the content for quarantineDuration after the crash, if the content
// is confirmed as the cause.
func (c *contentState) quarantine(confirmed bool, crash time.Time) {
	if until := crash.Add(quarantineDuration); confirmed && until.After(c.quarantinedUntil) {
		c.quarantinedUntil = until
	}
}

// expire removes counts that are too old.
func (c *contentState) expire(now time.Time) {
	keep := suspectDuration
	if !c.quarantinedUntil.IsZero() {
		keep = suspectAfterQuarantine
	}
	for key, n := range c.counts {
		if now.Sub(n.at) > keep {
			delete(c.counts, key)
		}
	}
	if len(c.counts) == 0 && !now.Before(c.quarantinedUntil) {
		c.quarantinedUntil = time.Time{}
	}
}

// evictBefore reports whether c is evicted before other.
func (c *contentState) evictBefore(other *contentState) bool {
	if quarantined := !c.quarantinedUntil.IsZero(); quarantined != !other.quarantinedUntil.IsZero() {
		return !quarantined
	}
	return c.latestCrash().Before(other.latestCrash())
}

// latestCrash returns the time of the latest count.
func (c *contentState) latestCrash() time.Time {
	var latest time.Time
	for _, n := range c.counts {
		if n.at.After(latest) {
			latest = n.at
		}
	}
	return latest
}
