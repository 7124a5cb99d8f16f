package gateway

import (
	"sync"
	"time"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/share"
)

const (
	// reasonAccountShare is the reason of requests whose client account has more than its
	// share of a saturated service.
	reasonAccountShare = "account_share"
	// levelInterval is the time between changes of a level.
	levelInterval = 50 * time.Millisecond
	// shareDeviations is by how many standard deviations of requests that come at random an
	// account may exceed its part.
	shareDeviations = 3
	// levelLoad is the number of requests for each slot of the service at which a level
	// stays as it is. levelResponse is how much it changes for one more, and levelMaxLoss
	// and levelMaxGain bound the factor of one change.
	levelLoad     = 1
	levelResponse = 0.08
	levelMaxLoss  = 0.92
	levelMaxGain  = 1.05
	// rateDecay multiplies the rate of a service at each change unless it is measured to be
	// higher: waiting requests make it seem lower.
	rateDecay = 0.995
	// levelMin and levelMax bound the level.
	levelMin = 0.25
	levelMax = 8
	// minAccounts is the number of accounts from which on they share.
	minAccounts = 2
)

// serviceShares divides among client accounts what this gateway may send to a plain
// service while that is saturated. Gateways exchange nothing: each lowers its level
// while the endpoints are saturated and raises it while they are not. All see the same
// endpoints, so their levels meet where the accounts that ask for most are held and
// the others are not.
type serviceShares struct {
	table *share.Table
	// level scales the rate that this gateway divides among accounts: level times the
	// service's rate, divided by the number of gateways. At levelMax no account is held.
	level float64
	// rate is the number of requests per second that the service can answer.
	rate       float64
	measuredAt time.Time
}

func newServiceShares() *serviceShares {
	return &serviceShares{table: share.NewTable(), level: levelMax}
}

// admit counts a request of the account, and reports whether it is within its share;
// otherwise it returns the time after which one is. measure returns the saturation of
// the service, gateways is the number of gateways.
func (s *serviceShares) admit(now time.Time, key share.Key, gateways int, measure func() balance.Saturation) (wait time.Duration, ok bool) {
	a := s.table.Ask(now, key, share.DefaultWeight, 1)
	if age := now.Sub(s.measuredAt); age >= levelInterval || age < 0 {
		s.measuredAt = now
		s.adjust(now, gateways, measure())
	}
	if !s.holds() {
		a.Use(now, 1)
		return 0, true
	}
	return a.TryUse(now, shareDeviations)
}

// holds reports whether accounts are held to their shares.
func (s *serviceShares) holds() bool { return s.level < levelMax }

// adjust lowers the level while the load is above levelLoad and raises it while it is
// below, and divides the room anew if accounts are held.
func (s *serviceShares) adjust(now time.Time, gateways int, service balance.Saturation) {
	s.rate = max(service.Rate, s.rate*rateDecay)
	change := min(levelMaxGain, max(levelMaxLoss, 1-levelResponse*(service.Load-levelLoad)))
	s.level = max(levelMin, min(levelMax, s.level*change))
	if s.holds() {
		perSecond := s.level * s.rate / float64(max(1, gateways))
		s.table.Divide(now, share.Steady(perSecond))
	}
}

// accountShares holds the shares of all plain services.
type accountShares struct {
	mu       sync.Mutex
	services map[string]*serviceShares
}

func newAccountShares() *accountShares {
	return &accountShares{services: make(map[string]*serviceShares)}
}

// forget drops the services that are no longer in the view.
func (s *accountShares) forget(view *catalog.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		if view.Index == nil || view.Index.Service(name) == nil {
			delete(s.services, name)
		}
	}
}

// service returns the shares of a service. The caller holds mu.
func (s *accountShares) service(name string) *serviceShares {
	shares := s.services[name]
	if shares == nil {
		shares = newServiceShares()
		s.services[name] = shares
	}
	return shares
}

// refuseBeyondShare returns the problem for a request whose client account has more than
// its share of a saturated service; nil otherwise. The rest of a stream is not refused.
func (g *Gateway) refuseBeyondShare(req *request) *problem {
	if len(g.cfg.View().Index.Config.Accounts) < minAccounts || req.takesUpStream() {
		return nil
	}
	now := time.Now()
	key := share.Key{Name: req.accountName(), Rank: req.priority()}
	measure := func() balance.Saturation { return g.balance.Saturation(now, g.endpointsFor(req)) }
	g.shares.mu.Lock()
	shares := g.shares.service(req.serviceName)
	held := shares.holds()
	wait, ok := shares.admit(now, key, g.cfg.FleetSize(), measure)
	holds, level := shares.holds(), shares.level
	g.shares.mu.Unlock()
	if holds != held {
		g.cfg.Log.Info().Str("event", logSharesHeld).Str("service", req.serviceName).Bool("held", holds).
			Float64("level", level).Msg("whether client accounts are held to their shares of a service")
	}
	if ok {
		return nil
	}
	p := unavailable(reasonAccountShare, max(overloadRetryAfter, wait))
	p.queue, p.overShare = req.serviceName, true
	return p
}
