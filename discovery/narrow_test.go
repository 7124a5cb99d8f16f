package discovery_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// narrowLink is the link of one VM: all connections that go through it share the
// bytes that it carries to the VM in a second. The other direction is free.
type narrowLink struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the link has carried all that was given to it.
	free time.Time
	// carried counts the bytes.
	carried int64
}

// narrowChunk is how many bytes of one connection the link carries at once.
const narrowChunk = 4 << 10

// to returns an address that leads to target over the link.
func (l *narrowLink) to(t *testing.T, target string) string {
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
			go l.join(near, target)
		}
	}()
	return listener.Addr().String()
}

func (l *narrowLink) join(near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		// Ends when either side closes; both are closed then.
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	l.carry(near, far)
}

// carry delivers what comes from far at the link's pace.
func (l *narrowLink) carry(near, far net.Conn) {
	buf := make([]byte, narrowChunk)
	for {
		n, err := far.Read(buf)
		time.Sleep(time.Until(l.book(n)))
		if _, failed := near.Write(buf[:n]); failed != nil || err != nil {
			return
		}
	}
}

// book gives the link bytes to carry and returns when it has.
func (l *narrowLink) book(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.carried += int64(n)
	return l.free
}

// total is the number of bytes carried so far.
func (l *narrowLink) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}
