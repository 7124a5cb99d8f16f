package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	storeShards = 32
	// maxRecordsPerRequest bounds one request, however often it is retried.
	maxRecordsPerRequest = 128
)

// StoreConfig bounds a Store.
type StoreConfig struct {
	// MaxRequests is the most requests held; the oldest is evicted first.
	MaxRequests int
	// MaxAge is how long a request is held after its latest record.
	MaxAge time.Duration
}

// DefaultStoreConfig holds a quarter of an hour of about 70 requests a second.
var DefaultStoreConfig = StoreConfig{MaxRequests: 1 << 16, MaxAge: 15 * time.Minute}

// Store holds records in memory, bounded by count and age. No decision
// depends on it, so it may forget; it counts what it forgot.
type Store struct {
	maxPerShard int
	maxAge      time.Duration
	evictions   atomic.Int64
	shards      [storeShards]storeShard
}

type storeShard struct {
	mu       sync.Mutex
	requests map[string]*history
	// oldest and newest end a list in the order of the latest record.
	oldest, newest *history
}

type history struct {
	request    string
	records    []Record
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

// Add keeps a record. Its At field is taken as the present time.
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

// Get returns a copy of the records of a request, in the order of their adding.
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

// Len is the number of requests held.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].requests)
		s.shards[i].mu.Unlock()
	}
	return n
}

// Evictions is the number of requests, and of single records of requests with
// very many, dropped so far by count or age.
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
