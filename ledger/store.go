package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	storeShards = 32
	// maxRecordsPerRequest bounds the records of one request, however often it is retried.
	maxRecordsPerRequest = 128
)

// StoreConfig holds the bounds of a Store.
type StoreConfig struct {
	// MaxRequests is the maximum number of requests held. The least recently
	// recorded one is evicted first.
	MaxRequests int
	// MaxAge is how long a request is held after its last record.
	MaxAge time.Duration
}

// DefaultStoreConfig holds 15 minutes of records at about 70 requests per second.
var DefaultStoreConfig = StoreConfig{MaxRequests: 1 << 16, MaxAge: 15 * time.Minute}

// Store holds records in memory, bounded by count and age. No decision depends
// on it, so it may evict records; it counts the evictions. Its methods may be
// called concurrently.
type Store struct {
	maxPerShard int
	maxAge      time.Duration
	evictions   atomic.Int64
	shards      [storeShards]storeShard
}

// storeShard holds the requests of one shard, by request ID.
type storeShard struct {
	mu       sync.Mutex
	requests map[string]*history
	// oldest and newest are the ends of a list in order of the last record.
	oldest, newest *history
}

// history holds the records of one request. It is a node of the shard's list.
type history struct {
	request string
	records []Record
	// at is the time of the last record.
	at         time.Time
	prev, next *history
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	if cfg.MaxRequests <= 0 {
		cfg.MaxRequests = DefaultStoreConfig.MaxRequests
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultStoreConfig.MaxAge
	}
	s := &Store{
		maxPerShard: (cfg.MaxRequests + storeShards - 1) / storeShards,
		maxAge:      cfg.MaxAge,
	}
	for i := range s.shards {
		s.shards[i].requests = make(map[string]*history)
	}
	return s
}

// Add stores a record and evicts requests that are older than the maximum age at
// the record's time.
func (s *Store) Add(r Record) {
	shard := s.shard(r.Request)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s.evictions.Add(shard.expire(r.At.Add(-s.maxAge)))
	h, ok := shard.requests[r.Request]
	if !ok {
		if len(shard.requests) >= s.maxPerShard {
			shard.remove(shard.oldest)
			s.evictions.Add(1)
		}
		h = &history{request: r.Request}
		shard.requests[r.Request] = h
		shard.pushNewest(h)
	}
	if len(h.records) >= maxRecordsPerRequest {
		h.records = append(h.records[:1], h.records[2:]...)
		s.evictions.Add(1)
	}
	h.records = append(h.records, r)
	h.at = r.At
	shard.unlink(h)
	shard.pushNewest(h)
}

// Get returns a copy of the records of a request in the order in which they were
// added.
func (s *Store) Get(request string) []Record {
	shard := s.shard(request)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	h, ok := shard.requests[request]
	if !ok {
		return nil
	}
	return append([]Record(nil), h.records...)
}

// Len returns the number of requests held.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].requests)
		s.shards[i].mu.Unlock()
	}
	return n
}

// Evictions returns the number of evictions so far: requests evicted by count or
// age, and single records of requests that exceed maxRecordsPerRequest.
func (s *Store) Evictions() int64 { return s.evictions.Load() }

func (s *Store) shard(request string) *storeShard {
	return &s.shards[xxhash.Sum64String(request)%storeShards]
}

func (s *storeShard) expire(before time.Time) int64 {
	var n int64
	for s.oldest != nil && s.oldest.at.Before(before) {
		s.remove(s.oldest)
		n++
	}
	return n
}

func (s *storeShard) remove(h *history) {
	s.unlink(h)
	delete(s.requests, h.request)
}

func (s *storeShard) pushNewest(h *history) {
	h.prev, h.next = s.newest, nil
	if s.newest != nil {
		s.newest.next = h
	}
	s.newest = h
	if s.oldest == nil {
		s.oldest = h
	}
}

func (s *storeShard) unlink(h *history) {
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		s.oldest = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else {
		s.newest = h.prev
	}
	h.prev, h.next = nil, nil
}
