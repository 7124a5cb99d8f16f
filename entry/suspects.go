package entry

import (
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// shareInterval is the time after which unchanged counts are sent again, for
// entries that were unreachable or lost the message.
const shareInterval = 5 * time.Second

// crashSharing decides when to send this entry's crash counts to other entries.
type crashSharing struct {
	// changed is true if this entry saw a crash since the counts were last sent.
	changed atomic.Bool
	// sharedAt is when the counts were last sent. Only the tick loop uses it.
	sharedAt time.Time
}

// due reports whether to send the counts now, and if so starts the next interval.
func (s *crashSharing) due(now time.Time) bool {
	if !s.changed.Swap(false) && now.Sub(s.sharedAt) < shareInterval {
		return false
	}
	s.sharedAt = now
	return true
}

// shareCrashCounts sends the crash counts of request contents to the other
// entries, so that a caller cannot avoid a quarantine by using another entry.
// Each entry sends only the counts of crashes that it observed itself, after a
// crash and every shareInterval; forwarding received counts would multiply one
// crash by the number of entries. Counts only grow, so the next message makes up
// for a lost one.
func (e *Entry) shareCrashCounts(now time.Time) {
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

// ownCounts returns the counts of crashes that the given entry observed itself.
func ownCounts(counts []suspect.Count, entry string) []suspect.Count {
	var own []suspect.Count
	for _, c := range counts {
		if c.Entry == entry {
			own = append(own, c)
		}
	}
	return own
}
