package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// crashPrefix begins the body, or the key of segments, of requests that crash each
	// endpoint that runs them.
	crashPrefix = "crash-"
	// crashDelay is how long an endpoint runs such a request.
	crashDelay = 60 * time.Millisecond
	// crashInterval is the interval at which its client sends it, crashCopies the number of
	// copies that may run before the first crash is known.
	crashInterval = 200 * time.Millisecond
	crashCopies   = 1
	// crashLimit is the number of crashes after which content is refused, crashTrials that
	// of its trials in a series, if other endpoints are lost at the same time.
	crashLimit  = 3
	crashTrials = 2
	// calmTime is how long after the last fault all other content must be served.
	calmTime = 3 * time.Second
)

// crashBook counts the endpoints that were lost to each content.
type crashBook struct {
	mu     sync.Mutex
	series int
	lost   map[string]int
}

// begin returns the body of the next series of requests.
func (b *crashBook) begin() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.series++
	return fmt.Sprint(crashPrefix, b.series)
}

// record counts an endpoint that was lost to a content.
func (b *crashBook) record(content string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost == nil {
		b.lost = make(map[string]int)
	}
	b.lost[content]++
}

// sendCrashing sends a request that crashes endpoints for d, to all gateways in turn.
func (r *rig) sendCrashing(route string, d time.Duration) {
	body := r.crashes.begin()
	r.recorder.recordFault(d)
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		g := r.gateways[n%len(r.gateways)]
		running.Go(func() {
			// Whatever becomes of it is right, but for the endpoints that it costs.
			_, _, _ = send(transport, g.frontend, route, fmt.Sprintf("%s-%d", body, n), body)
		})
		wait(crashInterval)
	}
	running.Wait()
}

// crashIfAsked crashes an endpoint that runs content which crashes endpoints.
func (r *rig) crashIfAsked(e *endpoint, content string) {
	if !strings.HasPrefix(content, crashPrefix) {
		return
	}
	wait(crashDelay)
	if e.beginCrash() {
		r.crashes.record(content)
		go r.endCrash(e, 2*time.Second, (*harness.Link).Cut, len(content)%2 == 0)
	}
	standin.AbortAnswer()
}

// checkCrashes checks how many endpoints each content, or part of prompts, has cost. Each side
// of a fleet that is cut by other faults may lose as many.
func (r *rig) checkCrashes(set faultSet) {
	sides := 1
	if set == allFaults {
		sides = len(r.gateways)
	}
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	for content, lost := range r.crashes.lost {
		bound := sides * (crashLimit + crashCopies + crashTrials)
		if strings.HasPrefix(content, deadlyPrefix) {
			bound = sides * (partLimit + partCopies)
		}
		if lost > bound {
			r.recorder.addViolation("%s cost %d endpoints (bound %d)", content, lost, bound)
		}
	}
}

// checkOthersServed checks that no gateway refuses other content for crashes that it did
// not cause, once the faults are over.
func (r *rig) checkOthersServed() {
	if r.crashes.series == 0 {
		return
	}
	wait(calmTime - quietPeriod)
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i, g := range r.gateways {
		for n := range 7 {
			for _, route := range []string{"idem", "stream", "resume"} {
				id := fmt.Sprintf("calm-%d-%d-%s", i, n, route)
				_, answer, _ := send(transport, g.frontend, route, id, strings.Repeat("x", n))
				if strings.Contains(answer, `"crashes_endpoints"`) {
					r.recorder.addViolation("%s at %s is refused in the calm: %s", id, g.name, answer)
				}
			}
		}
	}
}
