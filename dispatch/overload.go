package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/dispatch/appointment"
	"github.com/mangostage/mangostage/share"
)

const (
	// lagTarget is the lag up to which the owner admits as many jobs as are asked for.
	lagTarget = 40 * time.Millisecond
	// keptShare is the fraction of the jobs granted lately that the owner admits if its lag is
	// above lagTarget, less the lag relative to halting. keptMin is the least fraction of the
	// jobs admitted until then: a new owner has granted none.
	keptShare, keptMin = 0.95, 0.6
	halting            = 400 * time.Millisecond
	// cutInterval is the time between two cuts: the lag follows only when the jobs that were
	// admitted before have run through their stages.
	cutInterval = 200 * time.Millisecond
	// reopenSlowly and reopenFast are the fractions by which the limit grows in a second once
	// the lag is below half of lagTarget, and while there is hardly any; reopened is the
	// multiple of the jobs asked for from which there is no limit.
	reopenSlowly, reopenFast = 0.5, 2.0
	reopened                 = 1.2
	// minLimit is the least limit, in jobs a second. The weakest VM handles more; an owner that
	// is asked for fewer and is late shares its processor with something else, and to refuse
	// jobs would not help it.
	minLimit = 40.0
	// returnedDeviations is by how many standard deviations of requests that come at random an
	// account may have more than its part for clients that were refused before.
	returnedDeviations = 1.0
	// floodRank is the rank of what an account that floods asks for beyond its part.
	floodRank = appointment.Priorities
	// maxShedStep bounds the time between two ticks that counts.
	maxShedStep = 100 * time.Millisecond
)

// shedder refuses a part of the jobs at once while the owner's processor cannot keep up: it
// admits fewer than it was able to grant, the most urgent first, and shares these among
// client accounts.
//
// It guards against an owner that handles everything late: each stage of each job then starts
// and ends late, so that jobs with the most stages miss their objectives first, however
// urgent they are, and refused clients come back and add to its work.
type shedder struct {
	// limit is the number of jobs admitted in a second; 0 for no limit.
	limit float64
	// accounts has what client accounts ask for, in jobs, by priority, and totals the same
	// for all priorities together.
	accounts, totals *share.Table
	// asked counts the jobs that were asked for, granted those that got an engine.
	asked, granted share.Decayed
	// adjustedAt is when limit was last adjusted, cutAt when it was last cut.
	adjustedAt, cutAt time.Time
}

// adjust adapts the limit to the owner's lag.
func (s *shedder) adjust(lag time.Duration, now time.Time) {
	step := min(maxShedStep, max(0, now.Sub(s.adjustedAt))).Seconds()
	s.adjustedAt = now
	asked := share.PerSecond(s.asked.At(now, share.HalfLife))
	switch {
	case asked <= minLimit:
		s.limit = 0
	case lag > lagTarget && now.Sub(s.cutAt) >= cutInterval:
		s.cutAt = now
		if s.limit == 0 || s.limit > asked {
			s.limit = asked
		}
		granted := share.PerSecond(s.granted.At(now, share.HalfLife))
		kept := max(keptMin, keptShare-float64(lag)/float64(halting))
		s.limit = max(minLimit, keptMin*s.limit, min(s.limit, kept*granted))
	case s.limit > 0 && lag < lagTarget/2:
		s.limit *= 1 + reopenRate(lag)*step
		if s.limit > reopened*asked {
			s.limit = 0
		}
	}
}

// reopenRate returns the fraction by which the limit grows in a second. An owner that is not
// late at all has room that nobody gets: most of what made it late is over, as when it had
// just become the owner.
func reopenRate(lag time.Duration) float64 {
	if lag < lagTarget/8 {
		return reopenFast
	}
	return reopenSlowly
}

// refuses counts a job that asks, and reports whether it is to be refused. A client that was
// refused before has only this try left and is refused later than others of its account.
func (s *shedder) refuses(j *job, now time.Time) bool {
	s.asked.Add(now, share.HalfLife, 1)
	s.divide(now)
	rank := j.Priority
	total := s.totals.Ask(now, share.Key{Name: j.Account}, share.DefaultWeight, 1)
	if beyondFlood(total, now) {
		rank = floodRank
	} else {
		total.Use(now, 1)
	}
	account := s.accounts.Ask(now, share.Key{Name: j.Account, Rank: rank}, share.DefaultWeight, 1)
	if account == nil {
		return false
	}
	deviations := 0.0
	if j.RefusedBefore {
		deviations = returnedDeviations
	}
	_, ok := account.TryUse(now, deviations)
	return !ok
}

// divide divides the limit among the accounts if the latest division is stale.
func (s *shedder) divide(now time.Time) {
	if !s.accounts.Stale(now) {
		return
	}
	room := math.Inf(1)
	if s.limit > 0 {
		room = share.Steady(s.limit)
	}
	s.accounts.Divide(now, room)
	s.totals.Divide(now, room)
}

// beyondFlood reports whether a job of the account goes after those of all priorities: the
// more the account floods, the less beyond its even part counts by its priority.
func beyondFlood(total *share.Account, now time.Time) bool {
	if total.Unmet() == 0 {
		return false
	}
	beyond := (1 - floodOf(total)) * (total.Demand() - total.Even())
	return total.Used(now) > total.Even()+beyond
}

// noteGranted counts a job that got an engine.
func (s *shedder) noteGranted(now time.Time) { s.granted.Add(now, share.HalfLife, 1) }

// shed refuses the job if the owner is overloaded, and reports whether it did.
func (c *Core) shed(j *job, now time.Time) bool {
	if !c.shedder.refuses(j, now) || j.expected {
		return false
	}
	j.shortService, j.shortResource = j.Service, ResourceOwner
	c.refuse(j, ReasonOverload, now)
	return true
}
