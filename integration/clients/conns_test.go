package clients

import (
	"strings"
	"testing"
	"time"
)

// requestsAtOnce is how many requests a client sends without reading an answer.
const requestsAtOnce = 2000

// Guards against more connections that say nothing than the process has descriptors.
func TestSilentConnectionsBeyondTheDescriptors(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(*client, int) {})
}

// Guards against connections that were used once and are kept, more than there are descriptors.
func TestKeptConnectionsBeyondTheDescriptors(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(c *client, _ int) {
		c.send(r.lengthHead("/plain/x", "k1", 2) + "ok")
		c.status()
	})
}

// Guards against clients that come again as soon as their connection is closed.
func TestClientsThatComeAgainAtOnce(t *testing.T) {
	r := newRig(t)
	lines := strings.Repeat("a: b\r\n", fillerBytes/6)
	r.runAgainst(&crowd{addr: r.frontend, size: manyConns(), again: true, play: func(c *client, i int) {
		switch i % 3 {
		case 0:
			if c.send(r.head("/plain/x", "k1")) {
				c.sendUpTo(2*headLimit, lines)
			}
		case 1:
			if c.send(r.chunkedHead("/plain/x", "k1")) {
				c.sendUpTo(bodyLimit/16, chunkOf(filler))
			}
		}
	}})
}

// Guards against clients that do not read large answers.
func TestAnswersThatAreNotRead(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(c *client, _ int) { c.send(r.lengthHead("/large/x", "k1", 0)) })
}

// Guards against clients that read large answers a byte at a time.
func TestAnswersThatAreReadSlowly(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if !c.send(r.lengthHead("/large/x", "k1", 0)) {
			return
		}
		go func() {
			for one := make([]byte, 1); !c.crowd.over(); <-time.After(time.Second) {
				if _, err := c.Read(one); err != nil {
					return
				}
			}
		}()
	})
}

// Guards against requests sent one after the other on a connection whose answers are not read.
func TestRequestsWithoutReading(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, i int) {
		path := []string{"/plain/x", "/none/x", "/large/x"}[i%3]
		for range requestsAtOnce {
			if !c.send(r.lengthHead(path, "k1", 0)) {
				return
			}
		}
	})
}

// Guards against clients that ask whether to go on and then say nothing.
func TestExpectContinueAndSilence(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(c *client, _ int) {
		c.send(r.head("/plain/x", "k1") + "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n")
	})
}

// maxLogLine is the longest line in bytes that a request may leave in the log.
const maxLogLine = 8 << 10

// Guards against requests whose long IDs, keys and targets fill the log and hide other lines.
func TestLongTextsOfRequestsAreCutInTheLog(t *testing.T) {
	r := newRig(t)
	long := strings.Repeat("y", headLimit/2)
	r.runCrowd(crowdSize(), func(c *client, i int) {
		for range 20 {
			id := r.newID() + long
			path := []string{"/plain/x", "/none/x"}[i%2]
			if !c.send("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k1\r\nMangostage-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n") {
				return
			}
		}
	})
	for line := range strings.Lines(string(r.process.Log())) {
		if len(line) > maxLogLine {
			t.Errorf("a line of %d bytes: %s ...", len(line), line[:200])
			return
		}
	}
}
