package peer

import (
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
)

const (
	// maxHello is the longest message in bytes before the hello.
	maxHello = 64 << 10
	// defaultMaxUnauthenticated applies if a Config names no bound.
	defaultMaxUnauthenticated = 256
)

// unauthenticated holds the accepted connections whose hello has not come, the oldest first. There
// are at most max: one more closes the oldest.
//
// It guards against connections from anywhere that say nothing, or little, and take the
// descriptors of the process.
type unauthenticated struct {
	max int

	mu    sync.Mutex
	conns list.List
}

// add adds a connection; done removes it.
func (u *unauthenticated) add(conn net.Conn) (done func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.conns.PushBack(conn)
	if u.conns.Len() > u.max {
		oldest := u.conns.Remove(u.conns.Front()).(net.Conn)
		// Its read loop, or its handshake, ends with it.
		_ = oldest.Close()
	}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns.Remove(e)
	}
}

// readMessage reads a message of a size in bytes. A long one takes memory only as it comes.
func readMessage(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, 0, min(size, maxHello))
	for len(data) < size {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(size, 2*cap(data))), data...)
		}
		n, err := io.ReadFull(r, data[len(data):min(size, cap(data))])
		data = data[:len(data)+n]
		if err != nil {
			return nil, unexpected(err)
		}
	}
	return data, nil
}

// unexpected returns the error of a message that ends early.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
