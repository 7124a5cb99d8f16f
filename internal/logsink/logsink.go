// Package logsink writes log lines without ever making their writer wait.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is how many lines may wait for a slow reader: about a
	// second of lines at the rate limit.
	queueLength = 512
	// batchBytes is the most that is written at once; one system call for
	// many lines costs a fraction of the processor time.
	batchBytes = 16 << 10
	// linger is how long a line may wait for others to be written with.
	linger = 50 * time.Millisecond
)

// Sink is a writer of lines that drops them rather than wait.
//
// The failure that it guards against: the reader of standard output stands
// still, the pipe fills up, and every request of the process hangs in its log
// line. Lines beyond the queue are dropped and counted instead.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	// closing is closed by Close. The queue itself stays open: goroutines that
	// end after the sink still write to it, which would be a panic.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a sink to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case s.queue <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued and waits for it, for at most timeout.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

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

// write writes the line and those that come within linger. A reader that is
// gone is no reason to stop: lines are then lost.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(s.collect(line)) }

// collect adds the lines that come within linger.
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
