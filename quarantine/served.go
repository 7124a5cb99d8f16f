package quarantine

import "time"

const (
	// servedTime is how long it is remembered, at least, that a content was answered;
	// maxServed bounds the contents of each half of the memory.
	servedTime = 30 * time.Second
	maxServed  = 1 << 12
)

// servedMemory remembers which contents were answered lately, in two halves of which the
// older is dropped as a whole. Its zero value is empty.
type servedMemory struct {
	newer, older map[Content]struct{}
	// since is when newer was begun.
	since time.Time
}

// add records an answer to the content.
func (m *servedMemory) add(now time.Time, content Content) {
	m.rotate(now)
	m.newer[content] = struct{}{}
}

// has reports whether the content was answered lately.
func (m *servedMemory) has(now time.Time, content Content) bool {
	m.rotate(now)
	if _, ok := m.newer[content]; ok {
		return true
	}
	_, ok := m.older[content]
	return ok
}

// rotate drops the older half if the newer one is full or old.
func (m *servedMemory) rotate(now time.Time) {
	if m.newer != nil && len(m.newer) < maxServed && now.Sub(m.since) < servedTime {
		return
	}
	m.older, m.newer, m.since = m.newer, make(map[Content]struct{}), now
}
