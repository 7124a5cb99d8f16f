package discovery

import (
	"strings"
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// maxEvacuations bounds the failure domains whose evacuation state is kept. Deployments
// have tens of domains, but a foreign writer may name any number.
const maxEvacuations = 1000

// evacuationList holds the evacuations of failure domains.
type evacuationList struct {
	// items holds the newest item of each domain, by key. An ended evacuation is kept with
	// its position, so that an older item from a peer or a stale read does not evacuate the
	// domain again.
	items map[string]platform.Item
	// heldUntil holds, by key, until when an evacuation counts whose item is lost.
	heldUntil map[string]time.Time
}

func newEvacuationList() evacuationList {
	return evacuationList{items: make(map[string]platform.Item), heldUntil: make(map[string]time.Time)}
}

// apply applies a newer item and reports whether its domain's evacuation began or ended.
// The error is that of an item that names no domain, or one domain too many.
func (l evacuationList) apply(now time.Time, item platform.Item) (changed bool, err error) {
	_, known := l.items[item.Key]
	if domainOf(item) == "" {
		return false, platform.ErrMalformed.New("the key names no failure domain")
	}
	if !known && len(l.items) >= maxEvacuations {
		return false, platform.ErrMalformed.New("more than %d failure domains are named", maxEvacuations)
	}
	// The key alone says what is evacuated. An unreadable value does not invalidate the
	// evacuation: sending no work is the safe side.
	item.Value, item.Fault = nil, ""
	before := l.evacuated(item.Key)
	hold := item.Held && (before || !known)
	item.Held = false
	l.items[item.Key] = item
	delete(l.heldUntil, item.Key)
	if hold {
		l.heldUntil[item.Key] = now.Add(restoreGrace)
	}
	return before != l.evacuated(item.Key), nil
}

// current returns the item of a key as it is passed on to peers.
func (l evacuationList) current(key string) platform.Item {
	item := l.items[key]
	_, item.Held = l.heldUntil[key]
	return item
}

// evacuated reports whether the domain of a key is evacuated.
func (l evacuationList) evacuated(key string) bool {
	item, known := l.items[key]
	_, held := l.heldUntil[key]
	return known && !item.Gone || held
}

// expire returns the items of the evacuations that have ended because they are still lost.
func (l evacuationList) expire(now time.Time) []platform.Item {
	var ended []platform.Item
	for key, until := range l.heldUntil {
		if !now.Before(until) {
			delete(l.heldUntil, key)
			ended = append(ended, l.items[key])
		}
	}
	return ended
}

// missingEvacuations returns the keys of the evacuations that are not in a list that is
// complete as of the position at.
func (s *State) missingEvacuations(listed map[string]bool, at position.Position) []string {
	var missing []string
	for key, item := range s.evacuations.items {
		if listed[key] || item.Position().After(at) {
			continue
		}
		_, held := s.evacuations.heldUntil[key]
		if !item.Gone || s.endsHold(held, item, at) {
			missing = append(missing, key)
		}
	}
	return missing
}

// domains returns the evacuated failure domains, each with the revision of its item.
func (l evacuationList) domains() map[string]uint64 {
	domains := make(map[string]uint64)
	for key, item := range l.items {
		if l.evacuated(key) {
			domains[domainOf(item)] = item.Revision
		}
	}
	return domains
}

// domainOf returns the failure domain that an evacuation item names.
func domainOf(item platform.Item) string {
	return strings.TrimPrefix(item.Key, platform.PrefixEvacuations)
}
