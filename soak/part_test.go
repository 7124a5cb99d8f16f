package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// deadlyPrefix begins the parts of prompts that crash each endpoint which begins an answer
	// on them.
	deadlyPrefix = "dead"
	// partLimit is the number of crashes after which a part is refused, partCopies the number of
	// requests that may run when the last of them becomes known.
	partLimit  = 5
	partCopies = 2
	// commonParts is the number of parts that requests share beside the first one.
	commonParts = 6
	// favourShare is how many of ten new connections a favoured gateway gets.
	favourShare = 9
)

// promptOf returns the header of a prompt: a part that all requests share, one that many do,
// others, and one of the request's own.
func promptOf(id string, others ...string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	own := h.Sum64()
	parts := append([]string{"f0:100", fmt.Sprintf("c%d:50", own%commonParts)}, others...)
	return strings.Join(append(parts, fmt.Sprintf("%016x:20", own)), ",")
}

// deadlyPartOf returns the part of a prompt that crashes endpoints; "" if there is none.
func deadlyPartOf(h http.Header) string {
	for _, field := range strings.Split(h.Get("Mangostage-Prefix-Hash"), ",") {
		if strings.HasPrefix(field, deadlyPrefix) {
			part, _, _ := strings.Cut(field, ":")
			return part
		}
	}
	return ""
}

// sendDeadlyPart sends requests with a part that crashes endpoints for d, no two alike, to all
// gateways in turn or most of them to one.
func (r *rig) sendDeadlyPart(route string, interval, d time.Duration, favoured *gateway) {
	part := deadlyPrefix + r.crashes.nextPart()
	r.recorder.recordFault(d)
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		g := r.gateways[n%len(r.gateways)]
		if favoured != nil && n%10 < favourShare {
			g = favoured
		}
		running.Go(func() { sendPart(transport, g.frontend, route, fmt.Sprintf("%s-%d", part, n), part) })
		wait(interval)
	}
	running.Wait()
}

// sendPart sends one request with a part. Whatever becomes of it is right, but for the endpoints
// that it costs.
func sendPart(transport http.RoundTripper, addr, route, id, part string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+route+"/x", strings.NewReader(id))
	if err != nil {
		return
	}
	setClientHeaders(req, id)
	if route == "staged" {
		setStageHeaders(req, id)
	}
	req.Header.Set("Mangostage-Prefix-Hash", promptOf(id, part+":40"))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// crashIfDeadly crashes an endpoint that begins an answer on a deadly part.
func (r *rig) crashIfDeadly(e *endpoint, w http.ResponseWriter, h http.Header) {
	part := deadlyPartOf(h)
	if part == "" {
		return
	}
	_ = http.NewResponseController(w).Flush()
	wait(crashDelay)
	if e.beginCrash() {
		r.crashes.record(part)
		go r.endCrash(e, 2*time.Second, (*harness.Link).Cut, len(part)%2 == 0)
	}
	standin.AbortAnswer()
}

// nextPart returns the number of the next series of requests with a deadly part, in hexadecimal.
func (b *crashBook) nextPart() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.series++
	return fmt.Sprintf("%04x", b.series)
}

// favour makes the load balancer send most new connections to one gateway for d.
func (r *rig) favour(g *gateway, d time.Duration) {
	r.favoured.Store(g)
	wait(d)
	r.favoured.CompareAndSwap(g, nil)
}
