package fake

import (
	"container/list"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// maxCacheEvents is the number of events that an engine keeps for its readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks that publishes its changes as
// events.
type prefixCache struct {
	capacity int
	lag      time.Duration
	// loseEvent reports whether the next event is lost.
	loseEvent func() bool

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	// lru has the most recently used block at its front.
	lru    *list.List
	seq    uint64
	events []timedEvent
}

// timedEvent is an event and the time from which readers can see it.
type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newPrefixCache(capacity int, lag time.Duration, loseEvent func() bool) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		lag:       lag,
		loseEvent: loseEvent,
		blocks:    make(map[uint64]*list.Element),
		lru:       list.New(),
	}
}

// access looks up the blocks of a prompt, adds the missing ones, and returns
// the number of leading blocks that were cached.
func (c *prefixCache) access(hashes []uint64) int {
	if c.capacity == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// Blocks are touched from last to first, so that a block is never evicted
	// before the blocks that extend it.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	for c.lru.Len() > c.capacity {
		c.evict()
	}
	return hits
}

func (c *prefixCache) touch(hash uint64) {
	if e := c.blocks[hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.publish(endpoint.CacheAdded, hash)
}

func (c *prefixCache) evict() {
	hash, ok := c.lru.Remove(c.lru.Back()).(uint64)
	if !ok {
		return
	}
	delete(c.blocks, hash)
	c.publish(endpoint.CacheEvicted, hash)
}

func (c *prefixCache) publish(kind endpoint.CacheEventKind, hash uint64) {
	c.seq++
	if c.loseEvent() {
		return
	}
	event := endpoint.CacheEvent{Seq: c.seq, Kind: kind, Prefix: hash}
	c.events = append(c.events, timedEvent{at: time.Now().Add(c.lag), event: event})
	if extra := len(c.events) - maxCacheEvents; extra > 0 {
		c.events = c.events[extra:]
	}
}

// after returns the visible events with a sequence number above seq.
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

// clear removes all blocks without an event, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[uint64]*list.Element)
	c.lru.Init()
}
