package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangostage/mangostage/wire"
)

const (
	// maxDials bounds the connections being made at once.
	maxDials = 64
	// dialTimeout bounds one attempt, the hello included.
	dialTimeout = 4 * time.Second
	// firstRedial and slowestRedial bound the wait after a failed attempt.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	// yieldDial is how long the side of a pair that does not dial by preference
	// waits for the other side.
	yieldDelay = time.Second
	// lonelyAfter is how long an agent waits without a connection before it dials.
	isolationTimeout = 2 * time.Second
	// freshDials is how many peers a fresh agent dials at once, to learn which
	// bundle is in force.
	startupDials = 8
)

// target is a VM to keep a connection to.
type target struct {
	vm      string
	address string
	role    wire.Role
}

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

// dialLoop keeps connections to the targets.
func (s *Service) dialLoop() {
	if s.cfg.Self.Role == wire.RoleAgent {
		s.dialWhenIsolated()
		return
	}
	s.dialAll()
}

// dialAll runs a keeper for each target and ends it when the target goes.
func (s *Service) dialAll() {
	keepers := make(map[target]context.CancelFunc)
	for {
		wanted := make(map[target]bool)
		for _, t := range s.targets() {
			wanted[t] = true
			if keepers[t] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(s.ctx)
			keepers[t] = cancel
			s.spawn(func() { s.maintainLink(ctx, t) })
		}
		for t, cancel := range keepers {
			if !wanted[t] {
				cancel()
				delete(keepers, t)
			}
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.dialWake:
		}
	}
}

// keepLink connects to one target, and again whenever the connection ends.
func (s *Service) maintainLink(ctx context.Context, t target) {
	redialBackoff := newBackoff()
	extraDelay := time.Duration(0)
	if t.role == s.cfg.Self.Role && !prefersDial(s.cfg.VM, t.vm) {
		extraDelay = yieldDelay
	}
	delay := extraDelay
	for {
		if !sleepContext(ctx, delay) {
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
		// A link that ended at once does not count as success, or a peer that
		// hangs up after each hello would be dialled without end.
		if s.cfg.Now().Sub(l.since) > maxRedialDelay {
			redialBackoff.Reset()
			delay = redialBackoff.NextBackOff()
		}
		delay += extraDelay
	}
}

// dial makes one attempt, once there is a place for it.
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
	s.cfg.Log.Debug().Str("event", logCannotConnect).Err(err).Str("vm", t.vm).Str("address", t.address).Msg("cannot connect")
	s.coreMu.Lock()
	s.views.markDialFailed(t.vm)
	s.coreMu.Unlock()
	s.markDirty()
}

// join connects to a target and tells the gate how long it took. It gives back
// the place that dial took.
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

// dialWhenLonely connects an agent to peers when it starts and whenever none
// has connected to it for a while, as when the entries read a list that does
// not have it yet.
func (s *Service) dialWhenIsolated() {
	for len(s.targets()) == 0 {
		if !s.sleepOrWake(isolationTimeout, s.dialWake) {
			return
		}
	}
	s.dialAny(startupDials)
	redialBackoff := newBackoff()
	for {
		if !s.sleep(isolationTimeout + redialBackoff.NextBackOff()) {
			return
		}
		if s.links.count() > 0 {
			redialBackoff.Reset()
			continue
		}
		s.dialAny(1)
	}
}

// dialAny dials up to n targets drawn at random, all at once.
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

func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
