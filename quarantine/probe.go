package quarantine

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/dialer"
	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// secondProbeDelay is the time between the two connections that show that an endpoint
	// lives: one that is just ending may still accept the first.
	secondProbeDelay = 50 * time.Millisecond
	// maxProbes bounds the endpoints that are probed at the same time.
	maxProbes = 64
)

// probeLimits limits the connections of probes. An address that is not cut off accepts or
// refuses a connection in milliseconds.
var probeLimits = dialer.Limits{Dial: 400 * time.Millisecond, Unacknowledged: time.Second, Probe: time.Second}

// prober finds out by new connections whether endpoints live, each endpoint once at a time.
type prober struct {
	mu     sync.Mutex
	probed map[string]bool
}

func newProber() *prober { return &prober{probed: make(map[string]bool)} }

// probe calls resolve with the verdict on an endpoint and the time at which its connection
// was opened, and again while resolve returns true. It does nothing if a probe of the
// endpoint is under way.
func (p *prober) probe(ctx context.Context, e Endpoint, resolve func(opened time.Time, v Verdict, from Evidence) bool) {
	if !p.begin(e.Key) {
		return
	}
	go func() {
		for more := true; more; {
			opened, verdict, evidence := probeTwice(ctx, e.Addr)
			more = resolve(opened, verdict, evidence)
		}
		p.end(e.Key)
	}()
}

// begin reports whether a probe of the endpoint may begin.
func (p *prober) begin(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probed[endpoint] || len(p.probed) >= maxProbes {
		return false
	}
	p.probed[endpoint] = true
	return true
}

func (p *prober) end(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probed, endpoint)
}

// probeTwice returns the verdict on the process at an address.
func probeTwice(ctx context.Context, addr string) (opened time.Time, v Verdict, from Evidence) {
	opened = time.Now()
	if v, from = probeOnce(ctx, addr); v != Alive {
		return opened, v, from
	}
	sleep.For(ctx, secondProbeDelay)
	opened = time.Now()
	v, from = probeOnce(ctx, addr)
	return opened, v, from
}

func probeOnce(ctx context.Context, addr string) (Verdict, Evidence) {
	conn, err := probeLimits.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close()
		return Alive, EvidenceAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Crashed, EvidenceRefused
	}
	return Silent, EvidenceNoAnswer
}

// timedOut reports whether a connection ended because its endpoint was silent.
func timedOut(err error) bool {
	for decorated := errorx.Cast(err); decorated != nil; decorated = errorx.Cast(err) {
		// errorx hides the errors that its errors wrap.
		err = decorated.Cause()
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.EHOSTUNREACH)
}
