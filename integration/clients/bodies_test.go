package clients

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// shortOfEnd is how many bytes before the limit on bodies clients stop.
	shortOfEnd = 16 << 10
	// smallChunk is the length in bytes of small chunks.
	smallChunk = 16
	// hugeBody is an announced length far over the limit, in bytes.
	hugeBody = 1 << 30
)

// chunkOf returns a chunk of a body.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunkedHead returns a whole head of a request with a body in chunks.
func (r *rig) chunkedHead(path, key string) string {
	return r.head(path, key) + "Transfer-Encoding: chunked\r\n\r\n"
}

// lengthHead returns a whole head of a request with a body of an announced length.
func (r *rig) lengthHead(path, key string, length int) string {
	return r.head(path, key) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// stopShort sends a body in chunks that stops just short of the limit.
func (c *client) stopShort(head, chunk string) {
	if !c.send(head) {
		return
	}
	for payload := 0; payload < bodyLimit-shortOfEnd; payload += fillerBytes {
		if !c.send(chunk) {
			return
		}
	}
}

// Guards against bodies in large chunks that stop just short of their end and stay.
func TestBodiesInLargeChunksThatStopShort(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) { c.stopShort(r.chunkedHead("/plain/x", "k1"), chunkOf(filler)) })
}

// Guards against bodies in very small chunks that stop just short of their end and stay.
func TestBodiesInSmallChunksThatStopShort(t *testing.T) {
	r := newRig(t)
	chunks := strings.Repeat(chunkOf(filler[:smallChunk]), fillerBytes/smallChunk)
	r.runCrowd(crowdSize(), func(c *client, _ int) { c.stopShort(r.chunkedHead("/plain/x", "k1"), chunks) })
}

// Guards against bodies with an announced length that stop just short of their end and stay.
func TestBodiesOfALengthThatStopShort(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.lengthHead("/plain/x", "k1", bodyLimit)) {
			c.sendUpTo(bodyLimit-shortOfEnd, filler)
		}
	})
}

// Guards against a crowd over all accounts, at a route without accounts and with no key.
func TestBodiesOverAllAccounts(t *testing.T) {
	r := newRig(t)
	from := []struct{ path, key string }{{"/plain/x", "k1"}, {"/once/x", "k2"}, {"/open/x", ""}, {"/plain/x", "k3"}}
	r.runCrowd(crowdSize(), func(c *client, i int) {
		f := from[i%len(from)]
		c.stopShort(r.chunkedHead(f.path, f.key), chunkOf(filler))
	})
}

// Guards against bodies of clients without a known key and for routes that do not exist.
func TestBodiesWithoutAKnownKeyOrRoute(t *testing.T) {
	r := newRig(t)
	from := []struct{ path, key string }{{"/plain/x", ""}, {"/plain/x", "unknown"}, {"/none/x", "k1"}}
	r.runCrowd(crowdSize(), func(c *client, i int) {
		f := from[i%len(from)]
		c.stopShort(r.chunkedHead(f.path, f.key), chunkOf(filler))
	})
}

// Guards against whole bodies inside the limit, many at once, that end the process, or that are
// refused as not run and have run.
func TestManyWholeBodiesInsideTheLimit(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	statuses := make(map[string]int)
	body := make([]byte, bodyLimit)
	r.runCrowd(crowdSize(), func(_ *client, _ int) {
		caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		id, status := r.ask(caller, "/once/whole", "k1", body)
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = status
	})
	runs := r.endpoint.allRuns()
	counts := make(map[int]int)
	for id, status := range statuses {
		counts[status]++
		run, ran := runs[id]
		switch status {
		case http.StatusOK:
			assert.Check(t, ran && run.length == bodyLimit, "%s: %+v", id, run)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			assert.Check(t, !ran, "%s has run and got %d", id, status)
		default:
			t.Errorf("%s got status %d", id, status)
		}
	}
	t.Logf("answers by status: %v", counts)
}

// Guards against bodies that are announced and not sent.
func TestBodiesAnnouncedAndNotSent(t *testing.T) {
	r := newRig(t)
	r.runCrowd(manyConns(), func(c *client, i int) {
		c.send(r.lengthHead([]string{"/plain/x", "/once/x"}[i%2], "k1", bodyLimit))
	})
}

// Guards against a body over the limit that is announced and read all the same.
func TestBodyAnnouncedOverTheLimitIsRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	statuses := make(chan int, 1)
	r.runCrowd(1, func(c *client, _ int) {
		c.send(r.lengthHead("/plain/x", "k1", hugeBody))
		statuses <- c.status()
	})
	assert.Equal(t, <-statuses, http.StatusRequestEntityTooLarge)
}

// Guards against bodies far over the limit that are announced and sent.
func TestBodiesAnnouncedFarOverTheLimit(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.lengthHead("/plain/x", "k1", hugeBody)) {
			c.forever(filler)
		}
	})
}

// Guards against bodies far over the limit that are sent and not announced.
func TestBodiesSentFarOverTheLimit(t *testing.T) {
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, _ int) {
		if c.send(r.chunkedHead("/plain/x", "k1")) {
			c.forever(chunkOf(filler))
		}
	})
}

// Guards against sizes, extensions and trailers of chunks without end.
func TestChunkLinesWithoutEnd(t *testing.T) {
	kinds := []struct{ begin, again string }{
		{"", strings.Repeat("0", fillerBytes)},
		{"1;", filler},
		{"1;a=\"", filler},
		{"1\r\nx\r\n0\r\n", strings.Repeat("X-A: b\r\n", fillerBytes/8)},
		{"1\r\nx\r\n0\r\nX-A: ", filler},
	}
	r := newRig(t)
	r.runCrowd(crowdSize(), func(c *client, i int) {
		kind := kinds[i%len(kinds)]
		if c.send(r.chunkedHead("/plain/x", "k1") + kind.begin) {
			c.forever(kind.again)
		}
	})
}

// Guards against the rest of a refused request that is taken for a request of its own.
func TestRestOfARefusedRequestIsNoRequest(t *testing.T) {
	r := newRig(t)
	hidden := func() string { return r.lengthHead("/plain/hidden", "k1", 0) }
	r.runCrowd(crowdSize(), func(c *client, i int) {
		switch i % 4 {
		case 0:
			c.send(r.lengthHead("/plain/x", "k1", hugeBody) + hidden())
		case 1:
			c.send(r.head("/plain/x", "k1") + "X-A: " + strings.Repeat("x", 2*headLimit) + "\r\n" + hidden())
		case 2:
			c.send(r.chunkedHead("/plain/x", "k1") + "zz\r\n" + hidden())
		case 3:
			c.send(r.chunkedHead("/plain/x", "k1"))
			c.sendUpTo(2*bodyLimit, chunkOf(filler))
			c.send(hidden())
		}
		c.status()
	})
	for id, run := range r.endpoint.allRuns() {
		assert.Check(t, run.path != "/plain/hidden", "%s ran", id)
	}
}

// Guards against one account's crowd that leaves no room for the bodies of the others.
func TestCrowdOfOneAccountLeavesRoomForOthers(t *testing.T) {
	r := newRig(t)
	release := startCrowd(t, &crowd{addr: r.frontend, size: crowdSize(), play: func(c *client, _ int) {
		c.stopShort(r.chunkedHead("/plain/x", "k1"), chunkOf(filler))
	}})
	r.usage.awaitRest()
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r.mustServe(caller, "/plain/x", "k2", make([]byte, 1<<20))
	release()
	r.mustServeOrdinary()
	r.check()
}
