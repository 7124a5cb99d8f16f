package member

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

const (
	// fetchTimeout bounds the fetch of one bundle from a peer. A peer that is
	// stopped must leave time for another within the seconds in which a bundle
	// is to be in force.
	fetchTimeout = 2 * time.Second
	// maxServedFetches bounds the bundles being sent to peers at once. After a
	// change all peers ask at once; those turned away ask one of the others.
	maxServedFetches = 8
)

var (
	errs = errorx.NewNamespace("member")
	// ErrBusy is returned to a peer whose fetch is turned away for now.
	ErrBusy = errs.NewType("busy")
	// ErrNoBundle is returned to a peer when no bundle is in force here.
	ErrNoBundle = errs.NewType("no_bundle")
)

// updateGossip passes an event to the spread core and carries out its effects.
func (s *Service) updateGossip(event func(*gossipCore) gossipEffects) {
	s.gossipMu.Lock()
	effects := event(s.gossip)
	s.gossipMu.Unlock()
	for _, vm := range effects.SendHead {
		if l := s.links.get(vm); l != nil {
			signal(l.wake)
		}
	}
	for _, order := range effects.Fetch {
		s.spawn(func() { s.fetch(order) })
	}
	for _, vm := range effects.Exchange {
		s.spawn(func() { s.exchange(vm) })
	}
}

// gossipLoop drives the spread core's waves, exchanges and repeated fetches.
func (s *Service) gossipLoop() {
	for {
		var next time.Duration
		s.updateGossip(func(c *gossipCore) gossipEffects {
			effects, wait := c.tick(s.cfg.Now())
			next = wait
			return effects
		})
		if !s.sleepOrWake(next, s.gossipWake) {
			return
		}
	}
}

// sendHeads sends the present head to one peer whenever it is woken.
func (s *Service) sendHeads(l *link) {
	for {
		select {
		case <-l.gone:
			return
		case <-l.wake:
		}
		head := s.cfg.Holder.Head()
		if head.Version == 0 {
			continue
		}
		if err := l.conn.Notify(wire.MethodBundleHead, head); err != nil {
			return
		}
		s.stats.HeadsSent.Add(1)
	}
}

func (s *Service) onHead(from *peer.Conn, head wire.BundleHead) {
	s.stats.HeadsReceived.Add(1)
	l := s.links.forConn(from)
	if l == nil {
		return
	}
	s.updateGossip(func(c *gossipCore) gossipEffects { return c.headReceived(s.cfg.Now(), l.vm, head) })
}

// fetch asks a peer for a bundle and offers it.
func (s *Service) fetch(order fetchOrder) {
	body, err := s.fetchBody(order)
	if err != nil {
		s.stats.FetchFailures.Add(1)
		s.cfg.Log.Debug().Str("event", logBundleNotFetched).Err(err).Str("vm", order.VM).
			Uint64("version", order.Head.Version).Msg("bundle not fetched")
	} else {
		s.stats.BundleBytesIn.Add(int64(len(body)))
		a := s.offer(body, "peer "+order.VM)
		if !a.Changed() && a.Result != bundle.ResultCollected {
			s.gossipMu.Lock()
			s.gossip.markRefused(s.cfg.Now(), order.Head)
			s.gossipMu.Unlock()
		}
	}
	s.updateGossip(func(c *gossipCore) gossipEffects { return c.fetchDone(s.cfg.Now(), order, err == nil) })
	signal(s.gossipWake)
}

func (s *Service) fetchBody(order fetchOrder) ([]byte, error) {
	l := s.links.get(order.VM)
	if l == nil {
		return nil, peer.ErrNotWritten.New("no connection to %s", order.VM)
	}
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	s.stats.Fetches.Add(1)
	var body wire.BundleBody
	if err := l.conn.Call(ctx, wire.MethodBundleFetch, wire.BundleFetch{Head: order.Head}, &body); err != nil {
		return nil, err
	}
	return body.Signed, nil
}

// serveFetch sends the bundle in force, which is never older than a head that
// this process has sent.
func (s *Service) serveFetch(_ context.Context, _ *peer.Conn, ask wire.BundleFetch) (wire.BundleBody, error) {
	select {
	case s.fetchSlots <- struct{}{}:
	default:
		s.stats.FetchesRefused.Add(1)
		return wire.BundleBody{}, ErrBusy.New("%d bundles are being sent", maxServedFetches)
	}
	defer func() { <-s.fetchSlots }()
	served := s.cfg.Holder.Current()
	if served == nil {
		return wire.BundleBody{}, ErrNoBundle.New("no bundle is in force")
	}
	// The loser of a conflict is sent as long as its version is in force, so
	// that the other side sees the conflict and reports it too.
	if rival := s.cfg.Holder.ByHead(ask.Head); rival != nil && ask.Head.Version == served.Head.Version {
		served = rival
	}
	s.stats.FetchesServed.Add(1)
	s.stats.BundleBytesOut.Add(int64(len(served.Signed)))
	return wire.BundleBody{Signed: served.Signed}, nil
}

// offer hands a value to the holder and deals with the outcome.
func (s *Service) offer(signed []byte, source string) bundle.Adoption {
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	a := s.cfg.Holder.Offer(s.cfg.Now(), signed, source)
	s.recordOffer(&a)
	s.apply(&a)
	if a.Result == bundle.ResultCollected && s.collectionDone.Load() {
		s.adoptCollected()
	}
	return a
}

// apply passes on what is now in force. The caller holds offerMu.
func (s *Service) apply(a *bundle.Adoption) {
	if a.Changed() {
		if s.cfg.OnBundle != nil {
			s.cfg.OnBundle(s.cfg.Holder.Current())
		}
		s.bundleInForce.Store(true)
	}
	if a.Changed() || a.Result == bundle.ResultCollected {
		s.updateGossip(func(c *gossipCore) gossipEffects { return c.headAdopted(s.cfg.Now(), a.Held) })
		signal(s.gossipWake)
	}
}

// settleHeld ends the collection of offers. The caller holds offerMu.
func (s *Service) adoptCollected() {
	a := s.cfg.Holder.Settle(s.cfg.Now())
	if a.Result != bundle.ResultNothing {
		s.recordOffer(&a)
	}
	s.apply(&a)
}

// recordOffer logs and publishes what became of an offer.
func (s *Service) recordOffer(a *bundle.Adoption) {
	event := s.cfg.Log.Info()
	switch {
	case a.Conflict:
		event = s.cfg.Log.Error()
	case a.Err != nil:
		event = s.cfg.Log.Warn()
	}
	event.Str("event", logBundle).Str("result", string(a.Result)).Uint64("version", a.Offered.Version).Str("hash", a.Offered.Hash).
		Str("source", a.Source).Str("reason", a.Reason).Msg("bundle")
	if a.Changed() {
		s.stats.Adopted.Add(1)
	} else if a.Result != bundle.ResultCollected && a.Result != bundle.ResultHeld {
		s.stats.Refused.Add(1)
	}
	s.publishEvent(kernel.TopicBundle, kernel.BundleEvent{
		Version: a.Offered.Version, Hash: a.Offered.Hash, Adopted: a.Changed(), Reason: a.Reason, Source: a.Source,
	})
}

// canceled tells whether a call ended because the service stops.
func (s *Service) isStopping(err error) bool {
	return s.ctx.Err() != nil || errors.Is(err, context.Canceled)
}
