package fake

import (
	"container/list"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// maxCacheEvents is how many events an engine holds for its readers.
const maxCacheEvents = 4096

// prefixCache holds prompt blocks, least recently used out first.
type prefixCache struct {
	capacity int
	lag      time.Duration
	// lose tells whether the next event gets lost.
	lose func() bool

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	// recent has the latest used block at its front.
	recent *list.List
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newPrefixCache(capacity int, lag time.Duration, lose func() bool) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		lag:      lag,
		lose:     lose,
		blocks:   make(map[uint64]*list.Element),
		recent:   list.New(),
	}
}

// use looks a prompt's blocks up, keeps them, and returns how many leading
// ones were there.
func (c *prefixCache) use(hashes []uint64) int {
	if c.capacity == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// The last block is touched first, so that a prefix is never evicted
	// before what builds on it.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	for c.recent.Len() > c.capacity {
		c.evict()
	}
	return hits
}

func (c *prefixCache) touch(hash uint64) {
	if e := c.blocks[hash]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	c.publish(endpoint.CacheAdded, hash)
}

func (c *prefixCache) evict() {
	hash, ok := c.recent.Remove(c.recent.Back()).(uint64)
	if !ok {
		return
	}
	delete(c.blocks, hash)
	c.publish(endpoint.CacheEvicted, hash)
}

func (c *prefixCache) publish(kind endpoint.CacheEventKind, hash uint64) {
	c.seq++
	if c.lose() {
		return
	}
	event := endpoint.CacheEvent{Seq: c.seq, Kind: kind, Prefix: hash}
	c.events = append(c.events, timedEvent{at: time.Now().Add(c.lag), event: event})
	if extra := len(c.events) - maxCacheEvents; extra > 0 {
		c.events = c.events[extra:]
	}
}

// after returns the published events above a sequence number.
func (c *prefixCache) after(seq uint64) []endpoint.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	events := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > seq && !e.at.After(now) {
			events = append(events, e.event)
		}
	}
	return events
}

// clear forgets all blocks without an event, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[uint64]*list.Element)
	c.recent.Init()
}
