package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxListed bounds the quarantined contents that Stats lists.
const maxListed = 32

// Stats describes the contents that a member remembers, for metrics.
type Stats struct {
	// Suspect and Quarantined are the numbers of contents of these standings.
	Suspect     int `json:"suspect"`
	Quarantined int `json:"quarantined"`
	// Listed are the latest quarantined contents.
	Listed []Listed `json:"listed"`
}

// Listed describes one quarantined content.
type Listed struct {
	Content string `json:"content"`
	// Request is the request under which the latest endpoint crashed.
	Request string        `json:"request"`
	Crashes int           `json:"crashes"`
	TrialIn time.Duration `json:"trial_in"`
	latest  time.Time
}

// Stats returns what the table holds.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Listed: []Listed{}}
	for content, c := range t.contents {
		state := t.stateLocked(now, content, c)
		switch state.Standing {
		case Suspect:
			s.Suspect++
		case Quarantined:
			s.Quarantined++
			crashed, _ := c.weights(now)
			latest := c.latestCrash()
			s.Listed = append(s.Listed, Listed{
				Content: content.String(), Request: latest.Request, Crashes: crashed / answersToForgive, TrialIn: state.RefusedFor, latest: latest.at,
			})
		}
	}
	slices.SortFunc(s.Listed, func(a, b Listed) int { return cmp.Or(b.latest.Compare(a.latest), cmp.Compare(a.Content, b.Content)) })
	s.Listed = s.Listed[:min(len(s.Listed), maxListed)]
	return s
}
