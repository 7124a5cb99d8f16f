package bounded

import (
	"context"
	"sync"
	"time"
)

const (
	// maxHeadTime is the maximum time from the first byte of an answer's head to its end.
	// An endpoint that takes long to begin its answer is not affected.
	maxHeadTime = time.Second
	// MaxHead is the maximum number of bytes of a head, informational ones before it included.
	MaxHead = 64 << 10
	// maxInterimHeads is the maximum number of informational (1xx) heads before an answer.
	maxInterimHeads = 4
)

// Head bounds the head of an answer: it is bounded in bytes, in time
// from its first byte, and in the number of informational heads before it.
type Head struct {
	giveUp context.CancelCauseFunc

	mu sync.Mutex
	// timer runs from the first byte of a head; nil before it.
	timer *time.Timer
	// received is the number of bytes received so far, informational heads included.
	received int
	interim  int
	ended    bool
}

// NewHead returns a Head that calls giveUp with an error of type [ErrNoAnswer].
func NewHead(giveUp context.CancelCauseFunc) *Head { return &Head{giveUp: giveUp} }

// Receive counts n bytes that have come over the connection.
func (h *Head) Receive(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.received += n
	if h.received > MaxHead {
		h.giveUp(ErrNoAnswer.New("no end of the head within %d bytes", h.received))
	}
	if h.timer == nil {
		h.timer = time.AfterFunc(maxHeadTime, func() {
			h.giveUp(ErrNoAnswer.New("no end of the head within %s", maxHeadTime))
		})
	}
}

// EndInterim counts an informational head. The next head may begin later.
func (h *Head) EndInterim() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTimer()
	if h.interim++; h.interim > maxInterimHeads {
		return ErrNoAnswer.New("more than %d informational heads", maxInterimHeads)
	}
	return nil
}

// End ends the guard and returns the number of bytes received.
func (h *Head) End() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.stopTimer()
	return h.received
}

func (h *Head) stopTimer() {
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
}
