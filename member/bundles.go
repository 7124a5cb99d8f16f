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
	// fetchTimeout bounds the fetch of one bundle from a peer. It leaves time for
	// a fetch from another peer when the first is stopped, since a bundle is
	// meant to be in force everywhere within seconds.
	fetchTimeout = 2 * time.Second
	// maxServedFetches bounds how many bundles are sent to peers concurrently.
	// After a change all peers fetch at once; a rejected peer fetches from
	// another one.
	maxServedFetches = 8
)

var (
	errs = errorx.NewNamespace("member")
	// ErrBusy is returned to a peer whose fetch exceeds maxServedFetches.
	ErrBusy = errs.NewType("busy")
	// ErrNoBundle is returned to a peer that fetches from a process without a
	// bundle in force.
	ErrNoBundle = errs.NewType("no_bundle")
)

// updateGossip applies update to the gossip core and executes the effects that
// it returns.
func (s *Service) updateGossip(update func(*gossipCore) gossipEffects) {
	s.gossipMu.Lock()
	effects := update(s.gossip)
	s.gossipMu.Unlock()
	for _, vm := range effects.SendHead {
		if l := s.links.get(vm); l != nil {
			signal(l.wake)
		}
	}
	for _, task := range effects.Fetch {
		s.spawn(func() { s.fetch(task) })
	}
	for _, vm := range effects.Exchange {
		s.spawn(func() { s.exchange(vm) })
	}
}

// gossipLoop runs the gossip core's timers: notification waves, hello exchanges
// and fetch retries.
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

// sendHeads sends the current head to the peer of l each time l.wake is
// signalled, until the link is gone.
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

// onHead handles a notification with the head of a peer's bundle.
func (s *Service) onHead(from *peer.Conn, head wire.BundleHead) {
	s.stats.HeadsReceived.Add(1)
	l := s.links.forConn(from)
	if l == nil {
		return
	}
	s.updateGossip(func(c *gossipCore) gossipEffects { return c.headReceived(s.cfg.Now(), l.vm, head) })
}

// fetch fetches a bundle from a peer and offers it to the holder. If the holder
// neither adopts nor collects it, the head is not fetched again for
// refusedRetention.
func (s *Service) fetch(task fetchTask) {
	body, err := s.fetchBody(task)
	if err != nil {
		s.stats.FetchFailures.Add(1)
		s.cfg.Log.Debug().Str("event", logBundleNotFetched).Err(err).Str("vm", task.VM).
			Uint64("version", task.Head.Version).Msg("cannot fetch bundle from peer")
	} else {
		s.stats.BundleBytesIn.Add(int64(len(body)))
		a := s.offer(body, "peer "+task.VM)
		if !a.Changed() && a.Result != bundle.ResultCollected {
			s.gossipMu.Lock()
			s.gossip.markRefused(s.cfg.Now(), task.Head)
			s.gossipMu.Unlock()
		}
	}
	s.updateGossip(func(c *gossipCore) gossipEffects { return c.fetchDone(s.cfg.Now(), task, err == nil) })
	signal(s.gossipWake)
}

// fetchBody fetches a bundle from a peer and returns it in its signed form.
func (s *Service) fetchBody(task fetchTask) ([]byte, error) {
	l := s.links.get(task.VM)
	if l == nil {
		return nil, peer.ErrNotWritten.New("no connection to %s", task.VM)
	}
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	s.stats.Fetches.Add(1)
	var body wire.BundleBody
	if err := l.conn.Call(ctx, wire.MethodBundleFetch, wire.BundleFetch{Head: task.Head}, &body); err != nil {
		return nil, err
	}
	return body.Signed, nil
}

// serveFetch returns the bundle in force, which is never older than any head
// that this process has sent.
func (s *Service) serveFetch(_ context.Context, _ *peer.Conn, req wire.BundleFetch) (wire.BundleBody, error) {
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
	// While the version is in force, the content that lost a conflict is sent
	// on request, so that the peer detects the conflict and reports it too.
	if conflicting := s.cfg.Holder.ByHead(req.Head); conflicting != nil && req.Head.Version == served.Head.Version {
		served = conflicting
	}
	s.stats.FetchesServed.Add(1)
	s.stats.BundleBytesOut.Add(int64(len(served.Signed)))
	return wire.BundleBody{Signed: served.Signed}, nil
}

// offer offers a signed bundle to the holder, then logs and applies the result.
// Source names the origin in the log.
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

// apply calls OnBundle if the bundle in force has changed, and notifies the
// gossip core of a newly held bundle. The caller holds offerMu.
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

// adoptCollected makes the holder adopt the best collected bundle. If nothing
// was collected, the holder goes on collecting. The caller holds offerMu.
func (s *Service) adoptCollected() {
	a := s.cfg.Holder.FinishCollecting(s.cfg.Now())
	if a.Result != bundle.ResultNoCandidate {
		s.recordOffer(&a)
	}
	s.apply(&a)
}

// recordOffer logs, counts and publishes the result of an offer.
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

// canceledByStop reports whether a call failed because the service is stopping.
func (s *Service) canceledByStop(err error) bool {
	return s.ctx.Err() != nil || errors.Is(err, context.Canceled)
}
