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
	// sequenceDropped means cancelled, or lost in a crash.
	sequenceDropped
)

// sequence is one generation: its tokens, its progress and its readers.
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
	// detachCount is the number of calls of detach.
	detachCount int
	// changed is closed at the next change.
	changed chan struct{}
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

// sequenceView is the state of a sequence at one moment.
type sequenceView struct {
	generated int
	state     sequenceState
	cost      time.Duration
	// changed is closed at the next change.
	changed <-chan struct{}
}

func (s *sequence) view() sequenceView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sequenceView{generated: s.generated, state: s.state, cost: s.cost, changed: s.changed}
}

// step adds one token. If it is the last one, step calls onLast before any
// reader can see it.
func (s *sequence) step(cost time.Duration, onLast func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sequenceRunning {
		return
	}
	s.cost += cost
	s.generated++
	if s.generated == len(s.tokens) {
		s.state = sequenceDone
		onLast()
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

// signal wakes the readers. The lock is held.
func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// attach adds a reader.
func (s *sequence) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach removes a reader and returns a function that reports whether the
// sequence has no reader and has had none since.
func (s *sequence) detach() (abandoned func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.detachCount++
	count := s.detachCount
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.readers == 0 && s.detachCount == count
	}
}

// sequenceQueue is a heap.Interface of sequences ordered by priority, then
// arrival.
type sequenceQueue []*sequence

func (w sequenceQueue) Len() int { return len(w) }

func (w sequenceQueue) Less(i, j int) bool {
	if w[i].request.Priority != w[j].request.Priority {
		return w[i].request.Priority > w[j].request.Priority
	}
	return w[i].arrival < w[j].arrival
}

func (w sequenceQueue) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push adds x, which is a *sequence.
func (w *sequenceQueue) Push(x any) {
	if s, ok := x.(*sequence); ok {
		*w = append(*w, s)
	}
}

// Pop removes the last element.
func (w *sequenceQueue) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}

// addCost adds a cost that does not belong to a token, such as the prefill.
func (s *sequence) addCost(cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cost += cost
}
