package harness

import (
	"bytes"
	"sync"
)

const (
	// keptLog is how much of a process's log is kept, in bytes; the oldest goes first.
	keptLog = 4 << 20
	// shownLogs is how much of all logs together is printed when a test fails.
	shownLogs = 64 << 10
	// shownAlarm is how much is printed from an alarm on.
	shownAlarm = 8 << 10
)

// alarms are texts on standard error that no process may print.
var alarms = [][]byte{
	[]byte("WARNING: DATA RACE"),
	[]byte("panic: "),
	[]byte("fatal error: "),
}

// logBuffer keeps the end of a process's log. A line that raises an alarm, and
// what follows it, is kept apart, so that later lines cannot push it out.
type logBuffer struct {
	mu     sync.Mutex
	kept   []byte
	alarm  []byte
	raised bool
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = append(b.kept, p...)
	if len(b.kept) > 2*keptLog {
		b.kept = append([]byte(nil), b.kept[len(b.kept)-keptLog:]...)
	}
	if !b.raised && hasAlarm(p) {
		b.raised = true
	}
	if b.raised && len(b.alarm) < shownAlarm {
		b.alarm = append(b.alarm, p[:min(len(p), shownAlarm)]...)
	}
	return len(p), nil
}

func hasAlarm(p []byte) bool {
	for _, text := range alarms {
		if bytes.Contains(p, text) {
			return true
		}
	}
	return false
}

// text returns what is kept.
func (b *logBuffer) text() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.kept)
}

// tail returns the last lines of what is kept, of at most size bytes.
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

// alarmText returns the first alarm and what followed, or nothing.
func (b *logBuffer) alarmText() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.alarm)
}
