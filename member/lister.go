package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/wire"
)

const (
	// platformTimeout bounds one whole read from the platform. The client aborts a
	// read sooner when the service sends nothing.
	platformTimeout = confsvc.MaxReplyTime
	// startupReadsPerSecond is the rate of first reads of the list of VMs, and as
	// many of the bundle, by a fleet whose processes all start or resume together.
	startupReadsPerSecond = 500
)

// startupDelay returns a random delay before the first read, which spreads the
// first reads of a fleet of the given size at startupReadsPerSecond.
func startupDelay(fleet int) time.Duration {
	return time.Duration(rand.Float64() * float64(fleet) * float64(time.Second) / startupReadsPerSecond)
}

// listLoop reads the platform's list of VMs periodically. When a read fails, the
// last list stays in use.
func (s *Service) listLoop() {
	if !sleep.For(s.ctx, startupDelay(s.cfg.FleetSize)) {
		return
	}
	for {
		s.readList()
		s.gossipMu.Lock()
		interval := s.gossip.listInterval()
		s.gossipMu.Unlock()
		if !s.sleepOrWake(interval, s.listWake) {
			return
		}
		if !s.listTried.Load() && !sleep.For(s.ctx, startupDelay(len(s.View().Members))) {
			return
		}
	}
}

// readList reads the list of VMs once, applies it, publishes the view, and
// notifies peers of VMs that have started leaving.
func (s *Service) readList() {
	s.coreMu.Lock()
	epoch := s.epoch
	s.coreMu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, platformTimeout)
	defer cancel()
	s.stats.ListCalls.Add(1)
	vms, err := s.cfg.Platform.List(ctx)
	if s.ctx.Err() != nil {
		return
	}
	if err != nil {
		s.stats.PlatformFailures.Add(1)
		s.cfg.Log.Debug().Str("event", logListNotRead).Err(err).Msg("cannot read the list of VMs; keeping the last view")
	}
	s.coreMu.Lock()
	// A list that was requested before a pause may be as old as the pause.
	if epoch != s.epoch {
		s.coreMu.Unlock()
		signal(s.listWake)
		return
	}
	var notes []wire.VMNote
	if err == nil {
		notes = s.views.applyList(s.cfg.Now(), vms)
	}
	s.coreMu.Unlock()
	if err == nil {
		s.gossipMu.Lock()
		becameWatcher := s.gossip.applyList(vms)
		s.gossipMu.Unlock()
		if becameWatcher {
			signal(s.bundleWake)
		}
	}
	s.publish()
	s.markListTried(epoch)
	s.sendVMNotes(notes)
}

// markListTried fulfils the list's condition of Ready. It must run after the view
// has been published: otherwise a process that resumed from a pause would be
// ready, and route requests, with the view from before the pause.
func (s *Service) markListTried(epoch uint64) {
	s.coreMu.Lock()
	defer s.coreMu.Unlock()
	if epoch == s.epoch {
		s.listTried.Store(true)
	}
}
