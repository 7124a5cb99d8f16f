package discovery

import (
	"fmt"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// modelStore is a store that can return from a copy.
type modelStore struct {
	at      position.Position
	items   map[string]platform.Item
	history []platform.Item
	// complete is the position from which on the history has all changes.
	complete position.Position
	down     time.Time
	copies   []modelCopy
}

type modelCopy struct {
	taken    time.Time
	revision uint64
	items    map[string]platform.Item
}

func (m *modelStore) write(key string, value []byte, gone bool) {
	m.at.Revision++
	item := platform.Item{Key: key, Value: value, Era: m.at.Era, Revision: m.at.Revision, Gone: gone}
	m.history = append(m.history, item)
	if gone {
		delete(m.items, key)
		return
	}
	m.items[key] = item
}

// list returns all items under the current era.
func (m *modelStore) list() []platform.Item {
	var items []platform.Item
	for _, item := range m.items {
		item.Era = m.at.Era
		items = append(items, item)
	}
	return items
}

// changes returns the changes after a position; ok is false if it does not have them.
func (m *modelStore) changes(after position.Position) (items []platform.Item, ok bool) {
	if after.Revision < m.complete.Revision || after.Revision > m.at.Revision {
		return nil, false
	}
	for _, item := range m.history {
		if item.Revision > after.Revision {
			items = append(items, item)
		}
	}
	return items, true
}

// modelEndpoint is what an endpoint process wants the store to list; state is empty once it
// has ended.
type modelEndpoint struct {
	id, domain, state string
	// lapses is when its entry goes if nobody renews it; zero while it is alive.
	lapses time.Time
}

func (e *modelEndpoint) value() []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":%q,"slots":8,"state":%q}`, e.domain, e.state)
}

// modelMember is one process of the fleet.
type modelMember struct {
	name   string
	state  *State
	view   *catalog.View
	listed bool
	reader bool
	// storeEra is the highest era that the store has named to it.
	storeEra uint64
	// away is until when it is paused or stopped, storeCut and peerCut until when it
	// reaches neither the store nor its peers.
	away, storeCut, peerCut time.Time
	// version is the highest configuration that was in force, left has the endpoints that
	// it was told to have left, and restored when it was told that the evacuation of the
	// domains had ended.
	version  uint64
	left     map[string]bool
	evac     map[string]bool
	restored map[string]time.Time
	// lost has the positions of the items that it took for lost.
	lost map[string]position.Position
}
