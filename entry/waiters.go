package entry

import (
	"context"
	"sync"

	"github.com/mangostage/mangostage/api"
)

// waiter holds the chunks and the final reply for one waiting caller. The core's
// effects add to it and never block on it.
type waiter struct {
	requestID string
	// ready receives a value when there is something to collect.
	ready chan struct{}
	// onReply runs once, just before the final reply is set.
	onReply func()

	mu     sync.Mutex
	chunks []token
	final  *api.Final
}

func (w *waiter) push(t token) {
	w.mu.Lock()
	w.chunks = append(w.chunks, t)
	w.mu.Unlock()
	w.signal()
}

func (w *waiter) finish(final api.Final) {
	w.mu.Lock()
	w.final = &final
	w.mu.Unlock()
	w.signal()
}

func (w *waiter) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// collect returns the chunks added since the last call, and the final reply if
// it is set.
func (w *waiter) collect() ([]token, *api.Final) {
	w.mu.Lock()
	defer w.mu.Unlock()
	chunks := w.chunks
	w.chunks = nil
	return chunks, w.final
}

// waiters holds the callers in flight by the entry's reference number.
type waiters struct {
	mu    sync.Mutex
	byRef map[uint64]*waiter
	empty chan struct{}
}

func newWaiters() *waiters {
	return &waiters{byRef: make(map[uint64]*waiter)}
}

// add registers a caller; onReply runs once, just before its final reply is set.
func (s *waiters) add(ref uint64, requestID string, onReply func()) *waiter {
	w := &waiter{requestID: requestID, ready: make(chan struct{}, 1), onReply: onReply}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRef[ref] = w
	return w
}

func (s *waiters) get(ref uint64) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRef[ref]
}

// remove removes and returns the caller whose reply is about to be written, or
// nil if there is none.
func (s *waiters) remove(ref uint64) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byRef[ref]
	delete(s.byRef, ref)
	if len(s.byRef) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
	return w
}

// inFlight reports whether a submission of the request is in flight here.
func (s *waiters) inFlight(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.byRef {
		if w.requestID == requestID {
			return true
		}
	}
	return false
}

func (s *waiters) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byRef)
}

// waitEmpty waits until no caller is left. It returns ctx's error if ctx ends first.
func (s *waiters) waitEmpty(ctx context.Context) error {
	s.mu.Lock()
	if len(s.byRef) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	empty := s.empty
	s.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
