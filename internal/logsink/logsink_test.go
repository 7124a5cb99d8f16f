package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/logsink"
)

const patience = 10 * time.Second

// lockedBuffer is a buffer that a test reads while the sink writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func TestLinesComeInOrder(t *testing.T) {
	var out lockedBuffer
	s := logsink.New(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := io.WriteString(s, line)
		assert.NilError(t, err)
	}
	s.Close(patience)
	assert.Equal(t, out.String(), want)
	assert.Equal(t, s.Dropped(), int64(0))
}

// The reader of standard output stands still. Every request of the process
// hung in its log line; lines must be dropped and counted instead.
func TestBlockedReaderBlocksNothing(t *testing.T) {
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = reader.Close() })
	s := logsink.New(writer)
	written := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = io.WriteString(s, "a line\n")
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(patience):
		t.Fatal("a line was waited for")
	}
	assert.Assert(t, s.Dropped() > 0)
	s.Close(10 * time.Millisecond)
}

// A goroutine writes its last line after the process has closed the sink on its
// planned stop: the process panicked, and ended with code 2.
func TestWriteAfterClose(t *testing.T) {
	var out lockedBuffer
	s := logsink.New(&out)
	s.Close(patience)
	_, err := io.WriteString(s, "late\n")
	assert.NilError(t, err)
}
