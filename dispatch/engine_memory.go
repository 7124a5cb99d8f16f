package dispatch

import "github.com/mangostage/mangostage/catalog"

const (
	// memoryShare is the fraction of an engine's memory up to which requests cost
	// nothing: requests rarely use all that they may.
	memoryShare = 0.85
	// memoryFull is the fraction at which they cost failPenalty. Beyond its memory an
	// engine interrupts requests and reads them again.
	memoryFull = 1.1
)

// engineMemory counts the memory of an engine's requests, in tokens. A part of a prompt
// that several of them share counts once.
type engineMemory struct {
	// requestTokens is their sum.
	requestTokens int
	// parts are the parts that requests share, by ID.
	parts map[string]sharedPart
}

// sharedPart is a part that requests use.
type sharedPart struct{ users, tokens int }

// addMemory accounts for a request.
func (m *engineMemory) addMemory(r *engineRequest) {
	m.requestTokens += r.ownTokens
	if m.parts == nil {
		m.parts = make(map[string]sharedPart)
	}
	for _, p := range r.shared {
		s := m.parts[p.ID]
		if s.users == 0 {
			s.tokens = p.Tokens
			m.requestTokens += s.tokens
		}
		s.users++
		m.parts[p.ID] = s
	}
}

// removeMemory ends the accounting for a request.
func (m *engineMemory) removeMemory(r *engineRequest) {
	m.requestTokens -= r.ownTokens
	for _, p := range r.shared {
		s := m.parts[p.ID]
		s.users--
		if s.users > 0 {
			m.parts[p.ID] = s
			continue
		}
		m.requestTokens -= s.tokens
		delete(m.parts, p.ID)
	}
}

// held returns how many tokens of the parts are there already.
func (m *engineMemory) held(parts []catalog.PrefixPart) int {
	n := 0
	for _, p := range parts {
		n += m.parts[p.ID].tokens
	}
	return n
}

// usage returns the fraction of the capacity that is used with more tokens; 0 if no
// capacity is known.
func (m *engineMemory) usage(more, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(m.requestTokens+more) / float64(capacity)
}

// memoryCost returns the cost of the memory that j needs, in milliseconds. It grows
// before the memory is full and further beyond, so that the least full engine is
// chosen if all are.
func (e *engine) memoryCost(j *job) float64 {
	more, capacity := promptTokens(j)+j.TokensOut, e.spec.CacheTokens
	if float64(e.requestTokens+more) <= memoryShare*float64(capacity) {
		return 0
	}
	excess := e.usage(more-e.held(sharedParts(j.Prefix)), capacity) - memoryShare
	if excess <= 0 {
		return 0
	}
	excess /= memoryFull - memoryShare
	return failPenalty * excess * min(1, excess)
}
