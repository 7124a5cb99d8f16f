package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/share"
)

const (
	// minAccounts is the number of configured accounts from which on they share.
	minAccounts = 2
	// sharedFraction is the fraction of a pool's room that accounts share.
	sharedFraction = 0.9
	// heldSlackShare is the fraction of the time until a stage must start that a job may
	// not wait in the queue if its account is fully restrained.
	heldSlackShare = 0.5
	// floodFrom and floodFull are how many times its even part an account asks for if it
	// starts to count as a flood, and fully does.
	floodFrom = 5
	floodFull = 10
	// fullUnmet is the fraction of its demand above its part from which on a flooding account
	// is fully restrained.
	fullUnmet = 0.5
	// queuedCalls is how many call times of work stay queued in any case, so that no
	// endpoint waits for work because accounts are held.
	queuedCalls = 1.5
)

// ShareAmongAccounts makes pools that are short divide their room among client accounts
// while the configuration in force lists two or more.
func (c *Core) ShareAmongAccounts() { c.sharesAllowed = true }

// askForShares records what the job's account asks of each pool. A job that comes
// again asks again: more tries give an account no larger share.
func (c *Core) askForShares(j *job, now time.Time) {
	if !c.sharesRoom {
		return
	}
	key := share.Key{Name: j.Account, Rank: j.Priority}
	for i, s := range j.stages {
		if s.Pieces == 0 || j.hasEarlierStageOf(i) {
			continue
		}
		p := c.pools[s.Service]
		s.sharePieces = float64(j.piecesAt(p))
		s.share = p.shares.Ask(now, key, share.DefaultWeight, s.sharePieces)
	}
}

// useShares records that the job was admitted as on time.
func (j *job) useShares(now time.Time) {
	j.sharesUsedAt = now
	for _, s := range j.stages {
		s.share.Use(now, s.sharePieces)
	}
}

// giveBackShares gives back what the job has of its account's shares, unless some of
// it has started.
func (j *job) giveBackShares(now time.Time) {
	if j.sharesUsedAt.IsZero() || j.started {
		return
	}
	for _, s := range j.stages {
		s.share.GiveBack(now, s.sharePieces, j.sharesUsedAt)
	}
	j.sharesUsedAt = time.Time{}
}

// sharedRoom returns how many pieces accounts may share, decayed like their use: a fraction
// of what the pool's calls and memory allow. It is unlimited while only endpoints are short.
func (p *pool) sharedRoom(now time.Time) float64 {
	if p.allowedWorkers() == 0 || p.backoffWait(now) > 0 {
		return math.Inf(1)
	}
	perSecond := p.pieceRate()
	backlog := p.demand.onTime.Sum()
	if wait, _ := p.backlogTime(backlog); wait > 0 {
		perSecond = float64(backlog.Pieces) / wait.Seconds()
	}
	return sharedFraction * share.Steady(perSecond)
}

// shareIn returns the state of the job's account in the pool, and divides the pool's room
// first if the latest division is stale; nil if the job asks nothing of the pool.
func (j *job) shareIn(p *pool, now time.Time) *share.Account {
	if p.shares.Stale(now) {
		p.shares.DivideAmongSeveral(now, p.sharedRoom(now))
	}
	for _, s := range j.stages {
		if s.share != nil && s.demandEntry.pool == p {
			return s.share
		}
	}
	return nil
}

// markOverShare marks a job that its pool is too short for as over its share if its account
// has more than its share of the pool.
func (c *Core) markOverShare(j *job, now time.Time) {
	if p := c.pools[j.shortService]; p != nil && j.shareIn(p, now).Over(now) {
		j.overShare = true
	}
}

// restraint returns how far a held account has to leave the pool's queue to the others, from
// 0 to 1: the more, the more it floods and the more of its demand is above its part. Accounts
// of unequal size that only ask for more than there is are not restrained, because a queue
// that they fill is worked off later.
func restraint(account *share.Account) float64 {
	flood := min(1, max(0, (account.Multiple()-floodFrom)/(floodFull-floodFrom)))
	return flood * min(1, account.Unmet()/fullUnmet)
}

// victimByShare returns the job that j displaces because that job's account has more than
// its share of the pool and the account of j does not, and marks it as over its share.
// lowest is the lowest-ranked job of the priority of j. If decided is true without a
// victim, j displaces none: its account is over its share and that of lowest is not. If
// decided is false, shares do not decide.
func (p *pool) victimByShare(j, lowest *job, now time.Time) (victim *job, decided bool) {
	if j.shareIn(p, now).Over(now) {
		return nil, !lowest.shareIn(p, now).Over(now)
	}
	victim = p.demand.displaceableJobs.mostOver(p, j.Priority, now)
	if victim == nil {
		return nil, false
	}
	victim.overShare = true
	return victim, true
}

// mostOver returns the displaceable job of the priority whose account has most above
// its share, and of these the latest; nil if none has.
func (h *displaceableJobs) mostOver(p *pool, priority int, now time.Time) *job {
	var most *job
	var excess float64
	for i := range h.jobs {
		o := h.jobs[i].job
		if o.Priority != priority || !o.displaceable() {
			continue
		}
		e := o.shareIn(p, now).Excess(now)
		if e > 0 && (most == nil || e > excess || e == excess && o.isAfter(most)) {
			most, excess = o, e
		}
	}
	return most
}

// isAfter reports whether j was submitted after o.
func (j *job) isAfter(o *job) bool {
	if !j.submitted.Equal(o.submitted) {
		return j.submitted.After(o.submitted)
	}
	return j.Ticket > o.Ticket
}

// shareMargin returns how much earlier than necessary, besides the margin, the stage has
// to start for its job to be admitted as on time. Accounts that are restrained leave so
// much of the queue to the others.
func (s *stage) shareMargin(p *pool, margin time.Duration, now time.Time) time.Duration {
	slack := s.startBy.Sub(s.job.submitted)
	most := min(time.Duration(heldSlackShare*float64(slack)), slack-time.Duration(queuedCalls*float64(p.avgCallTime)))
	if most <= 0 || !s.forecastStart.Add(margin+most).After(s.startBy) {
		return 0
	}
	asked := time.Duration(heldSlackShare * restraint(s.job.shareIn(p, now)) * float64(slack))
	return min(asked, most)
}
