package discovery_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// throttledLink is the network link of one VM. All connections over it share its bandwidth
// to the VM; the other direction is not limited.
type throttledLink struct {
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when the link has transferred all bytes reserved so far.
	idleAt time.Time
	// carried is the number of bytes reserved so far.
	carried int64
}

// linkChunkBytes is the number of bytes that the link transfers for one connection at a
// time.
const linkChunkBytes = 4 << 10

// proxy listens on the returned address and connects what it accepts to target over the
// link.
func (l *throttledLink) proxy(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(near, target)
		}
	}()
	return listener.Addr().String()
}

// serve connects one accepted connection to target.
func (l *throttledLink) serve(near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		// Ends when either side closes; then both are closed.
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	l.forward(near, far)
}

// forward copies from far to near at the link's bandwidth.
func (l *throttledLink) forward(near, far net.Conn) {
	buf := make([]byte, linkChunkBytes)
	for {
		n, err := far.Read(buf)
		time.Sleep(time.Until(l.reserve(n)))
		if _, failed := near.Write(buf[:n]); failed != nil || err != nil {
			return
		}
	}
}

// reserve schedules n bytes for transfer and returns when they have been transferred.
func (l *throttledLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.carried += int64(n)
	return l.idleAt
}

// bytesCarried returns the number of bytes reserved so far.
func (l *throttledLink) bytesCarried() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}
