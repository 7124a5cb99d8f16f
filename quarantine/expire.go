package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evictShare is the part of a full table that is forgotten at once, as a divisor.
	evictShare = 8
	// forgivenTime is how long a content is remembered of which no loss counts: messages
	// that are older than the answers that forgave it may still arrive.
	forgivenTime = 2 * time.Minute
	// contentTime is how long a content is remembered after its latest loss: longer than
	// the longest quarantine.
	contentTime = 2 * maxTrialDelay
	// expireInterval is the interval at which old contents are looked for.
	expireInterval = time.Second
)

// expireLocked forgets contents whose losses are old.
func (t *Table) expireLocked(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for content, c := range t.contents {
		keep := contentTime
		if c.currentStanding(now) == Clear {
			keep = forgivenTime
		}
		if now.Sub(c.latest()) > keep && c.running(now) == 0 {
			t.forgetLocked(content, c)
		}
	}
	t.expireLostLocked(now)
}

// evictLocked forgets the contents that count least, evictShare of all.
func (t *Table) evictLocked(now time.Time) {
	ranks := make([]evictionRank, 0, len(t.contents))
	for content, c := range t.contents {
		ranks = append(ranks, evictionRank{content: content, standing: c.currentStanding(now), latest: c.latest()})
	}
	slices.SortFunc(ranks, func(a, b evictionRank) int {
		return cmp.Or(cmp.Compare(a.standing, b.standing), a.latest.Compare(b.latest))
	})
	for _, r := range ranks[:len(ranks)/evictShare] {
		t.forgetLocked(r.content, t.contents[r.content])
	}
}

// evictionRank is what decides how soon a content is forgotten.
type evictionRank struct {
	content  Content
	standing Standing
	latest   time.Time
}

// forgetLocked forgets a content.
func (t *Table) forgetLocked(content Content, c *contentState) {
	t.notifyLocked(content)
	for endpoint := range c.losses {
		t.forgetLossLocked(content, endpoint)
	}
	delete(t.contents, content)
	t.size.Store(int64(len(t.contents)))
}

// forgetLossLocked forgets that an endpoint was lost under a content, but not that it was
// lost.
func (t *Table) forgetLossLocked(content Content, endpoint string) {
	delete(t.lossesAt[endpoint], content)
	if len(t.lossesAt[endpoint]) == 0 {
		delete(t.lossesAt, endpoint)
	}
}
