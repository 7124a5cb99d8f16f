package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// maxQuotaAsks bounds the endpoints for which one request asks the owner of the
	// queue for a token while other endpoints may serve it.
	maxQuotaAsks = 3
	// maxQuotaCandidates bounds the endpoints of which a request waits for the first
	// token.
	maxQuotaCandidates = 4
	// maxPickWait and maxPickWaitShare, of the time left, bound the wait for a token or the
	// end of a backoff.
	maxPickWait      = 500 * time.Millisecond
	maxPickWaitShare = 0.25
	// reasonRequestRate is the reason of requests that no endpoint takes because of the
	// request rates that the endpoints name, reasonBackoff of those that came while all
	// endpoints were in backoff.
	reasonRequestRate = "request_rate"
	reasonBackoff     = "backoff"
)

// pick chooses an endpoint for one send and counts the request in flight there until
// balance.Done is called. queued says that the queue owner also sends requests to the
// service. Without an endpoint, the problem says whether a request that comes back
// may find one; it is nil if there is nothing to say.
func (g *Gateway) pick(req *request, tries *attempts, queued bool) (*catalog.Endpoint, *problem) {
	if e := g.pickProbe(req, tries, queued); e != nil {
		return e, nil
	}
	// Backoffs are looked at before the choice: one that ends during it would look as if there
	// were neither an endpoint nor a backoff. One that begins during it is met by the second look.
	for range 2 {
		waited, p := g.awaitBackoffs(req, tries.avoid)
		if p != nil || req.ctx.Err() != nil {
			return nil, p
		}
		e, p := g.pickReady(req, tries, queued)
		if e != nil || p != nil || waited || g.cfg.Backoffs.Empty() {
			return e, p
		}
	}
	return nil, nil
}

// pickReady is pick without a wait for the end of a backoff.
func (g *Gateway) pickReady(req *request, tries *attempts, queued bool) (*catalog.Endpoint, *problem) {
	for asks := 0; ; {
		now := time.Now()
		avoid := func(key string) bool {
			_, blocked := g.cfg.Quotas.Blocked(now, key)
			return tries.avoid[key] || blocked || g.cfg.Backoffs.Active(now, key) || asks >= maxQuotaAsks && g.cfg.Quotas.Limited(now, key)
		}
		e := g.balance.Pick(now, g.endpointsFor(req), avoid, g.coldShare(queued))
		if e == nil {
			return g.pickLimited(req, tries, queued)
		}
		if !g.cfg.Quotas.Limited(now, e.Key()) || g.cfg.Quotas.Reserve(req.ctx, req.ID, []string{e.Key()}, 0).OK() {
			return e, nil
		}
		asks++
		g.balance.Done(now, e.Key(), balance.Abandoned, 0, nil)
	}
}

// pickProbe picks an endpoint whose backoff has just ended, or one with a quota that has
// got nothing for a while and has a token: costs that are out of date would keep requests
// from it for good.
func (g *Gateway) pickProbe(req *request, tries *attempts, queued bool) *catalog.Endpoint {
	if g.cfg.Quotas.Table().Empty() && g.cfg.Backoffs.Empty() || len(tries.avoid) > 0 {
		return nil
	}
	now := time.Now()
	for _, e := range g.endpointsFor(req) {
		switch {
		case !e.TakesWork() || g.cfg.Backoffs.Active(now, e.Key()):
		case g.cfg.Quotas.ProbeDue(now, e.Key(), g.cfg.FleetSize()):
			if r := g.cfg.Quotas.Reserve(req.ctx, req.ID, []string{e.Key()}, 0); r.OK() {
				return g.pickLater(req, r.Endpoint, r.Wait, queued)
			}
		case g.cfg.Backoffs.TakeProbe(now, e.Key()) && !g.cfg.Quotas.Limited(now, e.Key()):
			return g.pickLater(req, e.Key(), 0, queued)
		}
	}
	return nil
}

// pickLimited waits for a token of an endpoint with a quota, if one comes soon enough.
func (g *Gateway) pickLimited(req *request, tries *attempts, queued bool) (*catalog.Endpoint, *problem) {
	maxWait := req.maxPickWait()
	candidates, retryIn := g.limitedEndpoints(req, tries, maxWait)
	if len(candidates) > 0 {
		r := g.cfg.Quotas.Reserve(req.ctx, req.ID, candidates, maxWait)
		if r.OK() {
			return g.pickLater(req, r.Endpoint, r.Wait, queued), nil
		}
		retryIn = r.RetryIn
	}
	if retryIn == 0 {
		return nil, nil
	}
	return nil, g.refuseByEndpoints(req, reasonRequestRate, retryIn)
}

// refuseByEndpoints returns the problem for a request that the endpoints of its service do
// not want now.
func (g *Gateway) refuseByEndpoints(req *request, reason string, retryIn time.Duration) *problem {
	p := giveUp(req, req.endReason(reason), max(overloadRetryAfter, retryIn))
	p.queue = req.serviceName
	return p
}

// awaitBackoffs waits until an endpoint of the request's service that is not avoided is out
// of backoff, if all are in one and the first end comes soon enough; waited is then true.
// If it comes too late, the problem says when.
func (g *Gateway) awaitBackoffs(req *request, avoid map[string]bool) (waited bool, p *problem) {
	left := g.firstBackoff(req, avoid)
	switch {
	case left <= 0:
		return false, nil
	case left > req.maxPickWait():
		return false, g.refuseByEndpoints(req, reasonBackoff, left)
	}
	sleep.For(req.ctx, left)
	return true, nil
}

// firstBackoff returns the time until the first end of a backoff if all endpoints of the
// request's service that take work and are not avoided are in backoff; else 0.
func (g *Gateway) firstBackoff(req *request, avoid map[string]bool) time.Duration {
	if g.cfg.Backoffs.Empty() {
		return 0
	}
	now := time.Now()
	var first time.Duration
	for _, e := range g.endpointsFor(req) {
		if !e.TakesWork() || avoid[e.Key()] {
			continue
		}
		end, active := g.cfg.Backoffs.Until(now, e.Key())
		if !active {
			return 0
		}
		if left := end.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// limitedEndpoints returns the Keys of some endpoints with quotas that take work, were
// not tried and may have a token within maxWait, beginning with a random one. If all of
// them lack one, retryIn says when a request should come back.
func (g *Gateway) limitedEndpoints(req *request, tries *attempts, maxWait time.Duration) (keys []string, retryIn time.Duration) {
	now := time.Now()
	endpoints := g.endpointsFor(req)
	first := rand.IntN(max(1, len(endpoints)))
	for i := range endpoints {
		e := endpoints[(first+i)%len(endpoints)]
		if !e.TakesWork() || tries.avoid[e.Key()] || g.cfg.Backoffs.Active(now, e.Key()) || !g.cfg.Quotas.Limited(now, e.Key()) {
			continue
		}
		if retryAt, blocked := g.cfg.Quotas.Blocked(now.Add(maxWait), e.Key()); blocked {
			if in := retryAt.Sub(now); retryIn == 0 || in < retryIn {
				retryIn = in
			}
			continue
		}
		if keys = append(keys, e.Key()); len(keys) == maxQuotaCandidates {
			break
		}
	}
	return keys, retryIn
}

// pickLater picks an endpoint after a wait; it returns nil if the endpoint does not take
// work then or the request has ended.
func (g *Gateway) pickLater(req *request, key string, wait time.Duration, queued bool) *catalog.Endpoint {
	sleep.For(req.ctx, wait)
	e := g.viewFor(req).Endpoint(key)
	if e == nil || !req.takes(e) || req.ctx.Err() != nil {
		return nil
	}
	now := time.Now()
	inBackoff := func(key string) bool { return g.cfg.Backoffs.Active(now, key) }
	return g.balance.Pick(now, []*catalog.Endpoint{e}, inBackoff, g.coldShare(queued))
}

// maxPickWait returns how long the request may wait for an endpoint.
func (req *request) maxPickWait() time.Duration {
	return min(maxPickWait, time.Duration(maxPickWaitShare*float64(req.remaining())))
}
