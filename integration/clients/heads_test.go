package clients

import (
	"fmt"
	"strings"
	"testing"
)

// headBytes is the length of the heads that are far over the limit.
const headBytes = 64 * headLimit

// Guards against heads over the limit in one line that take the memory of the process.
func TestHeadsOverTheLimitInOneLine(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.head("/plain/x", "k1") + "X-A: ") {
			c.sendUpTo(headBytes, filler)
		}
	})
}

// Guards against heads over the limit in many short lines, which take many times their length.
func TestHeadsOverTheLimitInShortLines(t *testing.T) {
	r := newRig(t)
	lines := strings.Repeat("a: b\r\n", fillerBytes/6)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.head("/plain/x", "k1")) {
			c.sendUpTo(headBytes, lines)
		}
	})
}

// differentLines returns count header lines, each with a name of its own.
func differentLines(first, count int) string {
	var lines strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&lines, "X%x: b\r\n", first+i)
	}
	return lines.String()
}

// sendDifferentLines sends headBytes of header lines, each with a name of its own.
func (c *client) sendDifferentLines() {
	const linesAtOnce = 1000
	for i := 0; c.sent < headBytes; i += linesAtOnce {
		if !c.send(differentLines(i, linesAtOnce)) {
			return
		}
	}
}

// Guards against heads over the limit in many lines, each with a name of its own.
func TestHeadsOverTheLimitInDifferentLines(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if !c.send(r.head("/plain/x", "k1")) {
			return
		}
		c.sendDifferentLines()
		c.send("\r\n")
	})
}

// Guards against request lines without end.
func TestRequestLinesWithoutEnd(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send("GET /plain/") {
			c.forever(filler)
		}
	})
}

// Guards against heads without end that come as fast as they are read.
func TestHeadsWithoutEnd(t *testing.T) {
	r := newRig(t)
	lines := strings.Repeat("X-A: b\r\n", fillerBytes/8)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.head("/plain/x", "k1")) {
			c.forever(lines)
		}
	})
}

// Guards against heads without end that come a byte at a time over many connections.
func TestSlowHeadsWithoutEnd(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(c *client, _ int) {
		if c.send("POST /plain/x HTTP/1.1\r\n") {
			c.slowly("X-A: b\r\n", 200)
		}
	})
}

// Guards against empty lines without end before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	r := newRig(t)
	lines := strings.Repeat("\r\n", fillerBytes/2)
	r.runCrowd(crowdSize(), func(c *client, _ int) { c.forever(lines) })
}

// Guards against bare line feeds without end before a request.
func TestLineFeedsWithoutEnd(t *testing.T) {
	r := newRig(t)
	lines := strings.Repeat("\n", fillerBytes)
	r.runCrowd(crowdSize(), func(c *client, _ int) { c.forever(lines) })
}

// Guards against empty lines without end between two requests on a kept connection.
func TestEmptyLinesBetweenRequests(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, i int) {
		lines := strings.Repeat([]string{"\r\n", "\n"}[i%2], fillerBytes/2)
		if c.send(r.head("/plain/x", "k1")+"Content-Length: 2\r\n\r\nok") && c.status() != 0 {
			c.forever(lines)
		}
	})
}

// Guards against heads over the operator's limit that are whole, and are served all the same.
func TestWholeHeadOverTheLimitIsRefused(t *testing.T) {
	r := newRig(t)
	statuses := make(chan int, 1)
	r.runCrowd(1, func(c *client, _ int) {
		c.send(r.head("/plain/over", "k1") + "X-A: " + strings.Repeat("x", 2*headLimit) + "\r\nContent-Length: 0\r\n\r\n")
		statuses <- c.status()
	})
	if status := <-statuses; status != 431 && status != 0 {
		t.Errorf("status %d, want 431 or a closed connection", status)
	}
	for id, run := range r.endpoint.allRuns() {
		if run.path == "/plain/over" {
			t.Errorf("request %s ran", id)
		}
	}
}
