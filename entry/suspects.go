package entry

import (
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// shareAgain is how often counts are told that were told before, to entries
// that were out of reach or lost the message.
const shareAgain = 5 * time.Second

// suspectShare tells when the other entries must hear of crash counts.
type suspectShare struct {
	// changed is set by each crash seen by this entry.
	changed atomic.Bool
	// sharedAt belongs to the tick loop.
	sharedAt time.Time
}

// due tells whether to share now.
func (s *suspectShare) due(now time.Time) bool {
	if !s.changed.Swap(false) && now.Sub(s.sharedAt) < shareAgain {
		return false
	}
	s.sharedAt = now
	return true
}

// shareSuspects tells the other entries which content crashed endpoints, so
// that its caller gains nothing by going to another entry. Each entry tells
// what it saw itself, at once after a crash and now and then: telling what was
// heard from others too would multiply one crash by the number of entries.
// Counts only grow, so a lost message is made good by the next.
func (e *Entry) shareSuspects(now time.Time) {
	g := e.current.Load()
	if g == nil || !e.suspects.due(now) {
		return
	}
	counts := ownCounts(g.suspects.Counts(now), e.name())
	if len(counts) == 0 {
		return
	}
	for _, conn := range e.members.Entries() {
		go func() { _ = conn.Notify(wire.MethodSuspects, counts) }()
	}
}

// ownCounts keeps what the entry itself saw.
func ownCounts(counts []suspect.Count, entry string) []suspect.Count {
	var own []suspect.Count
	for _, c := range counts {
		if c.Entry == entry {
			own = append(own, c)
		}
	}
	return own
}
