package fake

import (
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

type sequenceState uint8

const (
	sequenceRunning sequenceState = iota
	sequenceDone
	sequenceFailed
	// sequenceDropped generations were cancelled or died in a crash.
	sequenceDropped
)

// sequence is one generation: what is to come, what is there, who reads it.
type sequence struct {
	request endpoint.GenerateRequest
	marker  string
	arrival uint64
	digest  inputDigest
	tokens  []string

	mu        sync.Mutex
	generated int
	state     sequenceState
	cost      time.Duration
	readers   int
	// detached counts how often the last reader went away.
	detached int
	changed  chan struct{}
}

func newSequence(req endpoint.GenerateRequest) *sequence {
	d := digest(req.Stage, req.Input, req.Previous)
	return &sequence{
		request: req,
		marker:  markerOf(req.Input),
		digest:  d,
		tokens:  d.tokens(d.length(req.MaxTokens)),
		changed: make(chan struct{}),
	}
}

// view is a sequence at one moment.
type view struct {
	generated int
	state     sequenceState
	cost      time.Duration
	// changed is closed at the next change.
	changed <-chan struct{}
}

func (s *sequence) view() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{generated: s.generated, state: s.state, cost: s.cost, changed: s.changed}
}

// step adds one token. It calls last before anybody can see the last one.
func (s *sequence) step(cost time.Duration, last func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sequenceRunning {
		return
	}
	s.cost += cost
	s.generated++
	if s.generated == len(s.tokens) {
		s.state = sequenceDone
		last()
	}
	s.signal()
}

// end stops a running sequence and reports whether it was running.
func (s *sequence) end(state sequenceState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sequenceRunning {
		return false
	}
	s.state = state
	s.signal()
	return true
}

func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach returns a function that tells whether nobody has read since.
func (s *sequence) detach() (abandoned func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.detached++
	mine := s.detached
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.readers == 0 && s.detached == mine
	}
}

// waiting orders sequences by priority, then arrival, for container/heap.
type waiting []*sequence

func (w waiting) Len() int { return len(w) }

func (w waiting) Less(i, j int) bool {
	if w[i].request.Priority != w[j].request.Priority {
		return w[i].request.Priority > w[j].request.Priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiting) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push adds x, which is a *sequence.
func (w *waiting) Push(x any) {
	if s, ok := x.(*sequence); ok {
		*w = append(*w, s)
	}
}

// Pop removes the last element.
func (w *waiting) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}

// charge adds cost that comes with no token.
func (s *sequence) charge(cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cost += cost
}
