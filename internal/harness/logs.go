package harness

import (
	"bytes"
	"sync"
)

const (
	// maxLogBytes is the size of a process's log to which logBuffer trims it, once
	// it has grown to twice that size; the oldest output is dropped.
	maxLogBytes = 4 << 20
	// maxPrintedLogBytes limits the output of all logs together when a test fails.
	maxPrintedLogBytes = 64 << 10
	// maxFailureBytes is the amount of output from a failure text on after which no
	// more is kept.
	maxFailureBytes = 8 << 10
)

// failureTexts are texts that no process may print. They show a data race or a
// crash.
var failureTexts = [][]byte{
	[]byte("WARNING: DATA RACE"),
	[]byte("panic: "),
	[]byte("fatal error: "),
}

// logBuffer keeps the end of a process's output. The first write that contains a
// failure text and the writes after it are kept separately as well, so that later
// output cannot displace them.
type logBuffer struct {
	mu  sync.Mutex
	buf []byte
	// failure is the output from the first failure text on.
	failure []byte
	// failed means that a failure text has been written.
	failed bool
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf = append(b.buf, p...)
	if len(b.buf) > 2*maxLogBytes {
		b.buf = append([]byte(nil), b.buf[len(b.buf)-maxLogBytes:]...)
	}
	if !b.failed && hasFailureText(p) {
		b.failed = true
	}
	if b.failed && len(b.failure) < maxFailureBytes {
		b.failure = append(b.failure, p[:min(len(p), maxFailureBytes)]...)
	}
	return len(p), nil
}

func hasFailureText(p []byte) bool {
	for _, text := range failureTexts {
		if bytes.Contains(p, text) {
			return true
		}
	}
	return false
}

// text returns a copy of the kept output.
func (b *logBuffer) text() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.buf)
}

// tail returns the last complete lines of the kept output, at most size bytes.
func (b *logBuffer) tail(size int) []byte {
	text := b.text()
	if len(text) <= size {
		return text
	}
	text = text[len(text)-size:]
	if at := bytes.IndexByte(text, '\n'); at >= 0 {
		text = text[at+1:]
	}
	return text
}

// failureOutput returns the output from the first failure text on, or nothing.
func (b *logBuffer) failureOutput() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.failure)
}
