package discovery

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

const (
	// endedSettle is how long after a process has ended its last write may still arrive.
	endedSettle = 300 * time.Millisecond
	// endedTTL is how long an entry is doubted while the store answers: three heartbeats and
	// a margin, in which another process under the ID has written its own entry, or the entry
	// has lapsed.
	endedTTL = 6 * time.Second
	// maxEnded bounds the processes that are remembered to have ended.
	maxEnded = 1 << 12
)

// EndedProcess says that a process of an endpoint has ended, by the evidence of its
// connections. What its entry says of the software may not hold for the next process under
// the ID.
type EndedProcess struct {
	// Endpoint is the endpoint's Key.
	Endpoint string `json:"endpoint"`
	// Entry is the position of the entry that was known then.
	Entry position.Position `json:"entry"`
	// Age is how long ago it was seen to end.
	Age time.Duration `json:"age_ns"`
}

// endedProcess is what is remembered of a process that has ended.
type endedProcess struct {
	at    time.Time
	entry position.Position
}

// MarkEnded records that the process of an endpoint has ended, and reports whether that is
// new. An entry that is newer than the one known when it ended is another process's.
func (s *State) MarkEnded(now time.Time, p EndedProcess) bool {
	e := s.entries[catalog.IDOfKey(p.Endpoint)]
	if e == nil || e.endpoint == nil || e.endpoint.Key() != p.Endpoint || e.item.Position().After(p.Entry) {
		return false
	}
	if _, known := s.ended[p.Endpoint]; known || len(s.ended) >= maxEnded {
		return false
	}
	s.ended[p.Endpoint] = endedProcess{at: now.Add(-p.Age), entry: p.Entry}
	s.dirty = true
	return true
}

// withEnd returns the endpoint with its version in doubt if the process that wrote its entry
// has ended.
func (s *State) withEnd(e *catalog.Endpoint) *catalog.Endpoint {
	if _, ended := s.ended[e.Key()]; !ended {
		return e
	}
	doubted := *e
	doubted.VersionUnclear = true
	return &doubted
}

// endDoubt ends the doubt about an entry that has been written again.
func (s *State) endDoubt(now time.Time, e *catalog.Endpoint, item platform.Item) {
	ended, ok := s.ended[e.Key()]
	if ok && item.Position().After(ended.entry) && now.Sub(ended.at) >= endedSettle {
		delete(s.ended, e.Key())
		s.dirty = true
	}
}

// expireEnded ends the doubts about entries that stand although their writers had the time
// to write them again, and those about endpoints that are not listed any more.
func (s *State) expireEnded(now time.Time) {
	for key, ended := range s.ended {
		e := s.entries[catalog.IDOfKey(key)]
		gone := e == nil || e.endpoint == nil || e.endpoint.Key() != key
		if gone || now.Sub(later(ended.at, s.lastTrouble)) > endedTTL {
			delete(s.ended, key)
			s.dirty = true
		}
	}
}

// EndedProcesses returns up to most of the processes that have ended.
func (s *State) EndedProcesses(now time.Time, most int) []EndedProcess {
	var processes []EndedProcess
	for key, ended := range s.ended {
		if len(processes) == most {
			break
		}
		processes = append(processes, EndedProcess{Endpoint: key, Entry: ended.entry, Age: now.Sub(ended.at)})
	}
	return processes
}

// EndpointEnded records that the process of an endpoint has ended, by the evidence of this
// process's connections. It returns what to tell the other members, and whether that is new.
func (f *Follower) EndpointEnded(key string) (p EndedProcess, isNew bool) {
	f.mu.Lock()
	e := f.state.entries[catalog.IDOfKey(key)]
	if e != nil {
		p = EndedProcess{Endpoint: key, Entry: e.item.Position()}
	}
	_, known := f.state.ended[key]
	f.mu.Unlock()
	if e == nil || known {
		return p, false
	}
	return p, f.ObserveEnd(p, "")
}

// ObserveEnd records that the process of an endpoint has ended and reports whether that is
// new. from is the member that reported it, empty for this process.
func (f *Follower) ObserveEnd(p EndedProcess, from string) bool {
	isNew := false
	f.update(func(now time.Time, s *State) { isNew = s.MarkEnded(now, p) })
	if isNew {
		f.log.Warn().Str("event", logProcessEnded).Str("endpoint", p.Endpoint).Str("from", from).Dur("age_ms", p.Age).
			Uint64("entry", p.Entry.Revision).Msg("the process that wrote an endpoint's entry has ended")
	}
	return isNew
}

// Ends returns up to most of the processes that have ended.
func (f *Follower) Ends(most int) []EndedProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.EndedProcesses(time.Now(), most)
}
