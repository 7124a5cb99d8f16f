// Package logsink writes log lines without blocking the goroutines that log them.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the number of lines that may wait for a slow reader: about
	// one second of lines at the rate limit.
	queueLength = 512
	// batchBytes is the size from which a batch of lines is written at once. One
	// system call for many lines costs a fraction of the processor time.
	batchBytes = 16 << 10
	// linger is how long a line waits for further lines of its batch.
	linger = 50 * time.Millisecond
)

// Sink is a writer of log lines that drops lines instead of blocking.
//
// It guards against a reader of standard output that stalls: the pipe fills up,
// and every request of the process blocks in its log call. Sink drops and counts
// the lines that do not fit into its queue instead.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// closing is closed by Close. The queue itself is never closed, because
	// goroutines that outlive the sink still write to it and would panic.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; it never blocks and never fails. Long texts of a line are cut.
func (s *Sink) Write(line []byte) (int, error) {
	copied := cutTexts(line)
	select {
	case s.queue <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close makes the sink write the queued lines and stop, and waits for that for
// at most timeout.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes lines until the sink is closing and the queue is empty.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			s.write(line)
			continue
		case <-s.closing:
		}
		select {
		case line := <-s.queue:
			s.write(line)
		default:
			return
		}
	}
}

// write writes line together with those that arrive within linger. Errors are
// ignored: if the reader is gone, the lines are lost and the process continues.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(s.collect(line)) }

// collect appends the lines that arrive within linger to batch, until it has
// batchBytes or the sink is closing.
func (s *Sink) collect(batch []byte) []byte {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-s.queue:
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-s.closing:
			return batch
		}
	}
	return batch
}
