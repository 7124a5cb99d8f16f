package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/wire"
)

const (
	// maxDials is the upper bound of the dials that occupy a slot of the dial gate.
	maxDials = 64
	// dialTimeout bounds one dial, including the hello.
	dialTimeout = 4 * time.Second
	// minRedialDelay and maxRedialDelay bound the backoff after a failed dial.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// yieldDelay is the extra time that a process waits before it dials a peer
	// that is preferred to dial it (see prefersDial).
	yieldDelay = time.Second
	// isolationTimeout is how long an agent waits without a connection before it
	// dials; a backoff is added to it.
	isolationTimeout = 2 * time.Second
	// startupDials is how many peers a starting agent dials concurrently to learn
	// which bundle is in force.
	startupDials = 8
)

// target is a VM to keep a connection to.
type target struct {
	vm      string
	address string
	role    wire.Role
}

// targets returns the VMs in the view with a role in DialRoles and an address,
// without this process's own.
func (s *Service) targets() []target {
	var targets []target
	for _, m := range s.View().Members {
		if m.VM.Name == s.cfg.VM || m.VM.Address == "" || !slices.Contains(s.cfg.DialRoles, m.VM.Role) {
			continue
		}
		targets = append(targets, target{vm: m.VM.Name, address: m.VM.Address, role: m.VM.Role})
	}
	return targets
}

// dialLoop dials targets until the service stops: an entry keeps connections to
// all of them, an agent dials only when it has no connection.
func (s *Service) dialLoop() {
	if s.cfg.Self.Role == wire.RoleAgent {
		s.dialWhenIsolated()
		return
	}
	s.dialAll()
}

// dialAll runs maintainLink for each target and cancels it when the target
// leaves the view.
func (s *Service) dialAll() {
	running := make(map[target]context.CancelFunc)
	for {
		wanted := make(map[target]bool)
		for _, t := range s.targets() {
			wanted[t] = true
			if running[t] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(s.ctx)
			running[t] = cancel
			s.spawn(func() { s.maintainLink(ctx, t) })
		}
		for t, cancel := range running {
			if !wanted[t] {
				cancel()
				delete(running, t)
			}
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.dialWake:
		}
	}
}

// maintainLink connects to a target and reconnects whenever the connection ends,
// until ctx is cancelled.
func (s *Service) maintainLink(ctx context.Context, t target) {
	redialBackoff := newBackoff()
	extraDelay := time.Duration(0)
	if t.role == s.cfg.Self.Role && !prefersDial(s.cfg.VM, t.vm) {
		extraDelay = yieldDelay
	}
	delay := extraDelay
	for {
		if !sleep.For(ctx, delay) {
			return
		}
		if s.links.get(t.vm) == nil {
			s.dial(ctx, t)
		}
		delay = redialBackoff.NextBackOff()
		l := s.links.get(t.vm)
		if l == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.gone:
		}
		// The backoff is reset only after a link that lasted. Otherwise a peer
		// that closes each connection after the hello would be dialled without
		// backoff.
		if s.cfg.Now().Sub(l.since) > maxRedialDelay {
			redialBackoff.Reset()
			delay = redialBackoff.NextBackOff()
		}
		delay += extraDelay
	}
}

// dial dials a target once, when the dial gate admits it.
func (s *Service) dial(ctx context.Context, t target) {
	if !s.dials.acquire(ctx) {
		return
	}
	if s.links.get(t.vm) != nil {
		s.dials.release()
		return
	}
	s.stats.Dials.Add(1)
	err := s.connect(ctx, t)
	if s.links.get(t.vm) != nil || ctx.Err() != nil {
		return
	}
	s.stats.DialFailures.Add(1)
	s.cfg.Log.Debug().Str("event", logCannotConnect).Err(err).Str("vm", t.vm).Str("address", t.address).Msg("cannot connect to VM")
	s.coreMu.Lock()
	s.views.markDialFailed(t.vm)
	s.coreMu.Unlock()
	s.markDirty()
}

// connect connects to a target and records the handshake time with the dial
// gate. It releases the slot that dial acquired, after connectGrace if the TCP
// connection is not established by then.
func (s *Service) connect(ctx context.Context, t target) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	release := sync.OnceFunc(s.dials.release)
	defer release()
	unconnectedTimer := time.AfterFunc(connectGrace, release)
	conn, err := s.node.Connect(ctx, t.address)
	unconnectedTimer.Stop()
	if err != nil {
		return err
	}
	began := time.Now()
	_, err = s.node.Handshake(ctx, conn)
	s.dials.record(began, time.Now(), classifyDial(err == nil, time.Since(began)))
	return err
}

// dialWhenIsolated dials peers when the agent starts and whenever it has had no
// connection for a while, for example because the entries read a list that does
// not contain it yet.
func (s *Service) dialWhenIsolated() {
	for len(s.targets()) == 0 {
		if !s.sleepOrWake(isolationTimeout, s.dialWake) {
			return
		}
	}
	s.dialAny(startupDials)
	redialBackoff := newBackoff()
	for {
		if !sleep.For(s.ctx, isolationTimeout+redialBackoff.NextBackOff()) {
			return
		}
		if s.links.count() > 0 {
			redialBackoff.Reset()
			continue
		}
		s.dialAny(1)
	}
}

// dialAny dials up to n random targets concurrently.
func (s *Service) dialAny(n int) {
	targets := s.targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, t := range targets[:min(n, len(targets))] {
		if s.links.get(t.vm) == nil {
			s.spawn(func() { s.dial(s.ctx, t) })
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedialDelay
	b.MaxInterval = maxRedialDelay
	return b
}
