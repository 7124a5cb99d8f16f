package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Excuse forgives all crashes of an endpoint that is known to have crashed for another reason
// than the content that ran there, and returns how many.
func (t *Table) Excuse(now time.Time, endpoint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	excused := 0
	for content, l := range t.lossesAt[endpoint] {
		if l.weight() == 0 {
			continue
		}
		l.Answers = answersToForgive
		t.reportLocked(now, content, t.contents[content])
		excused++
	}
	return excused
}

// Merge merges a loss that another member knows and reports whether it was news.
func (t *Table) Merge(now time.Time, other Loss) bool {
	if other.Age < 0 || other.Age > contentTime || other.Endpoint == "" || other.Verdict < Pending || other.Verdict > Crashed {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-other.Age)
	c := t.contentLocked(now, other.Content)
	known := c.losses[other.Endpoint]
	if known == nil {
		added := &loss{Loss: other, at: at, shared: true}
		added.Answers = min(max(0, added.Answers), answersToForgive)
		t.addLocked(now, c, added)
		return true
	}
	known.shared = true
	if !known.merge(other, at) {
		return false
	}
	t.changedLocked(now, c, known)
	return true
}

// Losses returns the losses of a content that count, for another member.
func (t *Table) Losses(now time.Time, content Content) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[content]
	if c == nil {
		return nil
	}
	losses := make([]Loss, 0, len(c.losses))
	for _, l := range c.losses {
		losses = append(losses, l.export(now))
	}
	return losses
}

// Known returns up to most losses for a member that knows none, those of quarantined content
// first and then the latest.
func (t *Table) Known(now time.Time, most int) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	var known []*loss
	for _, c := range t.contents {
		for _, l := range c.losses {
			if l.Verdict == Crashed {
				known = append(known, l)
			}
		}
	}
	slices.SortFunc(known, func(a, b *loss) int {
		return cmp.Or(cmp.Compare(t.contents[b.Content].standing, t.contents[a.Content].standing), b.at.Compare(a.at))
	})
	losses := make([]Loss, 0, min(most, len(known)))
	for _, l := range known[:min(most, len(known))] {
		losses = append(losses, l.export(now))
	}
	return losses
}
