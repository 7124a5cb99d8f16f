package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientKey is the key of the tenant of all clients.
const clientKey = "9dnn2ctnfzs989anu6ws"

// reply is what a client got for one attempt.
type reply struct {
	id     string
	status int
	seal   string
	body   string
	// whole is true if the answer came to its end; err says why not.
	whole bool
	err   error
	// keep is true if the connection may carry another request.
	keep bool
	sent time.Time
	took time.Duration
}

func (r reply) String() string {
	if !r.whole {
		return fmt.Sprintf("status %d, not whole after %d bytes: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, whole, %d bytes, seal %q", r.status, len(r.body), r.seal)
}

// conn is a client's connection to a gateway; it is kept for many requests.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dialNode(n *node) (*conn, error) {
	c, err := net.DialTimeout("tcp", n.frontend, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request with the tenant's key and reads the answer. extra are further header lines.
func (c *conn) do(method, host, path, extra, body string, deadline time.Duration) reply {
	return c.doAs(clientKey, method, host, path, extra, body, deadline)
}

// doAs sends one request with a key, or without one if it is empty, and reads the answer.
func (c *conn) doAs(key, method, host, path, extra, body string, deadline time.Duration) (r reply) {
	r.id, r.sent = newID(), time.Now()
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if key != "" {
		extra += fmt.Sprintf("Authorization: Token %s\r\n", key)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nMangostage-Attempt-Id: %s\r\nMangostage-Deadline-Ms: %d\r\n%s%s\r\n%s",
		method, path, host, r.id, deadline.Milliseconds(), extra, length, body)
	defer func() { r.took = time.Since(r.sent) }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, r.err = io.WriteString(c, head); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.seal = resp.StatusCode, resp.Header.Get(sealHeader)
	var text strings.Builder
	_, r.err = io.Copy(&text, resp.Body)
	r.body, r.whole = text.String(), r.err == nil
	r.keep = r.whole && !resp.Close
	return r
}

// client sends requests one after the other until stop is closed, each pause after the answer before,
// on kept connections to the nodes in turn, and hands each reply to got.
func client(nodes []*node, stop <-chan struct{}, pause time.Duration, send func(*conn) reply, got func(reply)) {
	for turn := rand.IntN(len(nodes)); !closed(stop); turn++ {
		c, err := dialNode(nodes[turn%len(nodes)])
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for kept := true; kept && !closed(stop); {
			r := send(c)
			got(r)
			kept = r.keep
			time.Sleep(pause)
			if r.status >= 500 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		_ = c.Close()
	}
}

func closed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
