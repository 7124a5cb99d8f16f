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

// waitTimeout is the timeout of each wait in these tests.
const waitTimeout = 10 * time.Second

// lockedBuffer is a buffer that a test can read while the sink writes to it.
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
	s.Close(waitTimeout)
	assert.Equal(t, out.String(), want)
	assert.Equal(t, s.Dropped(), int64(0))
}

// When the reader of standard output stalls, lines must be dropped and counted.
// Otherwise every request of the process blocks in its log call.
func TestStalledReaderBlocksNoWriter(t *testing.T) {
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
	case <-time.After(waitTimeout):
		t.Fatal("a write blocked")
	}
	assert.Assert(t, s.Dropped() > 0)
	s.Close(10 * time.Millisecond)
}

// A goroutine writes its last line after a planned stop has closed the sink. The
// write must not panic, which ended the process with code 2.
func TestWriteAfterClose(t *testing.T) {
	var out lockedBuffer
	s := logsink.New(&out)
	s.Close(waitTimeout)
	_, err := io.WriteString(s, "late\n")
	assert.NilError(t, err)
}
