package part

import (
	"cmp"
	"slices"
	"time"
)

// maxListed bounds the blamed parts that Stats lists.
const maxListed = 32

// Stats describes the parts that a member remembers, for metrics.
type Stats struct {
	// Tracked is the number of parts with crashes, Lost that of the lost endpoints.
	Tracked int `json:"tracked"`
	Lost    int `json:"lost"`
	// Listed are blamed parts, those with the latest crashes first.
	Listed []Listed `json:"listed"`
}

// Listed describes one blamed part.
type Listed struct {
	Part    string        `json:"part"`
	Crashes int           `json:"crashes"`
	TrialIn time.Duration `json:"trial_in"`
	latest  time.Time
}

// Stats returns what the table holds.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := Stats{Tracked: len(t.parts), Lost: len(t.lost), Listed: []Listed{}}
	for id := range t.blamed {
		s := t.parts[id]
		left := t.findingsLocked(id, s).left
		if len(left) == 0 {
			continue
		}
		stats.Listed = append(stats.Listed, Listed{
			Part: id.String(), Crashes: len(left), TrialIn: max(0, t.trialAtLocked(id, s).Sub(now)), latest: s.latest(),
		})
	}
	slices.SortFunc(stats.Listed, func(a, b Listed) int { return cmp.Or(b.latest.Compare(a.latest), cmp.Compare(a.Part, b.Part)) })
	stats.Listed = stats.Listed[:min(len(stats.Listed), maxListed)]
	return stats
}
