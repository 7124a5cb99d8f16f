package entry

import (
	"context"
	"sync"

	"github.com/mangostage/mangostage/api"
)

// waiter is one caller waiting for its reply. The core's effects fill it and
// never block on it.
type waiter struct {
	requestID string
	ready     chan struct{}
	done      func()

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

// take returns what has come since the last call.
func (w *waiter) take() ([]token, *api.Final) {
	w.mu.Lock()
	defer w.mu.Unlock()
	chunks := w.chunks
	w.chunks = nil
	return chunks, w.final
}

// waiters holds the callers in flight by the shell's own reference number.
type waiters struct {
	mu    sync.Mutex
	byRef map[uint64]*waiter
	empty chan struct{}
}

func newWaiters() *waiters {
	return &waiters{byRef: make(map[uint64]*waiter)}
}

// add registers a caller; done runs once at its reply.
func (s *waiters) add(ref uint64, requestID string, done func()) *waiter {
	w := &waiter{requestID: requestID, ready: make(chan struct{}, 1), done: done}
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

// remove takes the caller out; its reply is on the way.
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

// pending tells whether a sending of the request is in flight here.
func (s *waiters) pending(requestID string) bool {
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

// waitEmpty waits until no caller is left or ctx ends.
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
