package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSeeds is of how many seeds one has crowds.
	crowdSeeds = 3
	// minCrowd and maxCrowd bound the connections of a crowd, crowdTime how long one stays.
	minCrowd  = 10
	maxCrowd  = 60
	crowdTime = 1500 * time.Millisecond
	// crowdStream distinguishes the random numbers of crowds from those of faults.
	crowdStream = 77
	// gatewayMemory is the memory of a gateway's process in its settings, in bytes.
	gatewayMemory = 144 << 20
)

// crowdPlays are what clients that nobody controls send; none sends a whole request.
var crowdPlays = []func(w io.Writer, id string, size int){
	func(io.Writer, string, int) {},
	func(w io.Writer, id string, size int) {
		_, _ = fmt.Fprintf(w, "%sX-A: %s", crowdHead(id), strings.Repeat("x", size))
	},
	func(w io.Writer, id string, size int) {
		_, _ = io.WriteString(w, crowdHead(id)+strings.Repeat("a: b\r\n", size/6))
	},
	func(w io.Writer, _ string, size int) { _, _ = io.WriteString(w, strings.Repeat("\r\n", size)) },
	func(w io.Writer, id string, size int) {
		_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", crowdHead(id), size, strings.Repeat("x", size-1))
	},
	func(w io.Writer, id string, size int) {
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", crowdHead(id), size, strings.Repeat("x", size-1))
	},
	func(w io.Writer, id string, _ int) {
		_, _ = fmt.Fprintf(w, "%sExpect: 100-continue\r\nContent-Length: 60000\r\n\r\n", crowdHead(id))
	},
}

// crowdHead returns the beginning of a request of a crowd.
func crowdHead(id string) string {
	return "POST /idem/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + apiKey + "\r\nMangostage-Attempt-Id: " + id + "\r\n"
}

// runCrowds sends crowds to gateways, one after the other, until ctx ends.
func (r *rig) runCrowds(ctx context.Context) {
	if r.seed%crowdSeeds != 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.seed, crowdStream))
	for n := 0; ctx.Err() == nil; n++ {
		g := r.gateways[rng.IntN(len(r.gateways))]
		size := minCrowd + rng.IntN(maxCrowd-minCrowd)
		var running sync.WaitGroup
		for i := range size {
			play := crowdPlays[rng.IntN(len(crowdPlays))]
			bytes := 1 << (4 + rng.IntN(18))
			running.Go(func() { playCrowdClient(g.frontend, fmt.Sprintf("crowd%d-%d-%d", r.seed, n, i), play, bytes) })
		}
		running.Wait()
	}
}

// playCrowdClient plays one client of a crowd, which stays for crowdTime.
func playCrowdClient(addr, id string, play func(io.Writer, string, int), size int) {
	end := time.Now().Add(crowdTime)
	conn, err := net.DialTimeout("tcp", addr, crowdTime)
	if err != nil {
		wait(time.Until(end))
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	play(conn, id, size)
	_, _ = io.Copy(io.Discard, conn)
	wait(time.Until(end))
}

// checkCrowds checks that no gateway took more than its memory, and that nothing of a crowd ran.
func (r *rig) checkCrowds() {
	for _, g := range r.gateways {
		if peak := g.PeakMemory(); peak > gatewayMemory {
			r.recorder.addViolation("%s took %d MB", g.name, peak>>20)
		}
	}
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for id := range r.recorder.runs {
		if strings.HasPrefix(id, "crowd") {
			r.recorder.violations = append(r.recorder.violations, id+" ran")
		}
	}
}
