package part

import "time"

const (
	// answerTime is how long it is remembered, at least, that a part was answered; maxAnswers
	// bounds the parts of each half of the memory.
	answerTime = 5 * time.Minute
	maxAnswers = 1 << 13
)

// answerKey identifies a part of the prompts that a service answers.
type answerKey struct {
	service string
	part    ID
}

// answerMemory remembers when parts were last answered, in two halves of which the older is
// dropped as a whole. Its zero value is empty.
type answerMemory struct {
	newer, older map[answerKey]time.Time
	// since is when newer was begun.
	since time.Time
}

// add records an answer that was given now.
func (m *answerMemory) add(now time.Time, key answerKey) { m.addAt(now, key, now) }

// addAt records an answer that was given at a time.
func (m *answerMemory) addAt(now time.Time, key answerKey, at time.Time) {
	m.rotate(now)
	if at.After(m.newer[key]) {
		m.newer[key] = at
	}
}

// at returns when a part was last answered; zero if that is not known.
func (m *answerMemory) at(now time.Time, key answerKey) time.Time {
	m.rotate(now)
	if at, ok := m.newer[key]; ok {
		return at
	}
	return m.older[key]
}

// rotate drops the older half if the newer one is full or old.
func (m *answerMemory) rotate(now time.Time) {
	if m.newer != nil && len(m.newer) < maxAnswers && now.Sub(m.since) < answerTime {
		return
	}
	m.older, m.newer, m.since = m.newer, make(map[answerKey]time.Time), now
}
