package clients

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxSent bounds what one client sends without end, in bytes.
	maxSent = 16 << 20
	// sendTimeout is how long a client tries to send on a connection that is not read.
	sendTimeout = 3 * time.Second
	// settleTimeout bounds the wait until all clients have sent what they send.
	settleTimeout = 40 * time.Second
	// slowInterval is the pause between the bytes of a slow client.
	slowInterval = 20 * time.Millisecond
	// redialInterval is the pause before a client comes again.
	redialInterval = 20 * time.Millisecond
	fillerBytes    = 16 << 10
)

// filler is what clients send again and again.
var filler = strings.Repeat("x", fillerBytes)

// crowd is a number of clients that behave alike.
type crowd struct {
	addr string
	size int
	// play sends what client i sends; the connection stays open after it.
	play func(c *client, i int)
	// again makes clients come again as soon as they are closed.
	again bool

	released chan struct{}
	settled  atomic.Int64
	running  sync.WaitGroup
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	crowd *crowd
	sent  int64
	// closed is true once the other end has closed the connection.
	closed bool
}

// startCrowd starts a crowd, waits until its clients have sent what they send, and lets them stay
// until release is called or the test ends.
func startCrowd(t *testing.T, c *crowd) (release func()) {
	t.Helper()
	c.released = make(chan struct{})
	for i := range c.size {
		c.running.Go(func() { c.run(i) })
	}
	release = sync.OnceFunc(func() {
		close(c.released)
		c.running.Wait()
	})
	t.Cleanup(release)
	end := time.Now().Add(settleTimeout)
	for c.settled.Load() < int64(c.size) && time.Now().Before(end) {
		time.Sleep(usageInterval)
	}
	return release
}

// over reports whether the crowd has been released.
func (c *crowd) over() bool {
	select {
	case <-c.released:
		return true
	default:
		return false
	}
}

// run plays one client until the crowd is released.
func (c *crowd) run(i int) {
	settle := sync.OnceFunc(func() { c.settled.Add(1) })
	defer settle()
	for {
		if conn, err := net.DialTimeout("tcp", c.addr, sendTimeout); err == nil {
			c.playOn(conn, i, settle)
		}
		if !c.again || c.over() {
			return
		}
		settle()
		time.Sleep(redialInterval)
	}
}

// playOn plays client i on a connection, which stays open until the crowd is released or the
// other end closes it.
func (c *crowd) playOn(conn net.Conn, i int, settle func()) {
	defer func() { _ = conn.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.released:
			_ = conn.Close()
		case <-stop:
		}
	}()
	p := &client{Conn: conn, crowd: c}
	c.play(p, i)
	settle()
	if c.again {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-c.released
}

// send sends a text; it returns false if the other end does not read it or has closed the
// connection, or once the client has sent maxSent bytes.
func (c *client) send(text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := io.WriteString(c, text)
	c.sent += int64(n)
	c.closed = c.closed || err != nil
	return err == nil && c.sent < maxSent
}

// sendUpTo sends a text again and again until total bytes are sent in all.
func (c *client) sendUpTo(total int64, text string) bool {
	for c.sent < total {
		if !c.send(text) {
			return false
		}
	}
	return true
}

// forever sends a text again and again.
func (c *client) forever(text string) {
	for c.send(text) {
	}
}

// slowly sends a text byte by byte, count bytes in all; the rest of the crowd need not wait.
func (c *client) slowly(text string, count int) {
	for i := range count {
		if !c.send(text[i%len(text) : i%len(text)+1]) {
			return
		}
		time.Sleep(slowInterval)
	}
}

// status reads the answer to a request and returns its status; 0 if there is none.
func (c *client) status() int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runCrowd plays a crowd of clients at the rig's frontend: ordinary requests are served while it
// stays and afterwards, over kept and new connections, and the process stays within its limits.
func (r *rig) runCrowd(size int, play func(c *client, i int)) {
	r.t.Helper()
	r.runAgainst(&crowd{addr: r.frontend, size: size, play: play})
}

// runAgainst is runCrowd for any crowd.
func (r *rig) runAgainst(c *crowd) {
	r.t.Helper()
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	r.mustServe(kept, "/plain/x", "k2", []byte("before"))
	release := startCrowd(r.t, c)
	if !c.again {
		r.usage.awaitRest()
	}
	r.mustServeOrdinary()
	r.mustServe(kept, "/plain/x", "k2", []byte("kept"))
	release()
	r.mustServeOrdinary()
	r.check()
}
