package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

const (
	// platformTimeout bounds one read of the platform altogether. The client ends
	// one sooner when the service is silent.
	platformTimeout = confsvc.WholeReply
	// startRate is how many processes a second of a fleet that starts or wakes
	// as one read the list first, and as many the bundle.
	startupReadsPerSecond = 500
)

// firstDelay spreads the first reads of a fleet of that size.
func startupDelay(fleet int) time.Duration {
	return time.Duration(rand.Float64() * float64(fleet) * float64(time.Second) / startupReadsPerSecond)
}

// listLoop follows the platform's list of VMs. A failed read keeps the last view.
func (s *Service) listLoop() {
	if !s.sleep(startupDelay(s.cfg.FleetSize)) {
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
		if !s.listTried.Load() && !s.sleep(startupDelay(len(s.View().Members))) {
			return
		}
	}
}

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
		s.cfg.Log.Debug().Str("event", logListNotRead).Err(err).Msg("list of VMs not read; keeping the last view")
	}
	s.coreMu.Lock()
	// A list that was asked for before a pause is as old as the pause.
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

// noteListTried makes the process ready as far as the list is concerned. It
// follows the publication of the view: ready before it, a process that woke
// would route by the view from before its pause.
func (s *Service) markListTried(epoch uint64) {
	s.coreMu.Lock()
	defer s.coreMu.Unlock()
	if epoch == s.epoch {
		s.listTried.Store(true)
	}
}
