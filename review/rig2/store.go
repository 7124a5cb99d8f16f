package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the metadata store, as the store's answers show it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"is_gone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It forgets nothing while it runs.
type store struct {
	addr    string
	server  *http.Server
	mu      sync.Mutex
	changed chan struct{}
	at      uint64
	items   map[string]item
	history []item
}

func startStore(ip string) *store {
	s := &store{at: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// put writes a value under a key.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

// remove removes the item under a key.
func (s *store) remove(key string) { s.change(item{Key: key, Gone: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	i.Revision, i.Created = s.at, s.at
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	if i.Gone {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.at
	s.mu.Unlock()
	if !ok {
		answerJSON(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": at,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	at := s.at
	s.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	answerJSON(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.at, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
