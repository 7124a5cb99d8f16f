package dispatch

import "time"

const (
	// quotaRateTTL is how long the sum of the quotas of a service is used.
	quotaRateTTL = 100 * time.Millisecond
	// exhaustedTTL is how long a service whose engines have no tokens left is not
	// searched again.
	exhaustedTTL = 10 * time.Millisecond
	// probeBonus makes an engine with a quota the cheapest healthy one if it has got
	// nothing for a while, in milliseconds.
	probeBonus = failPenalty / 2
)

// engineQuota is what the engines of a model service may be sent in sum.
type engineQuota struct {
	// limited is true if all usable engines have quotas; rate is then their sum per
	// second, and tokens what may be sent at once.
	limited bool
	rate    float64
	tokens  int
	asOf    time.Time
}

// quota returns what the engines may be sent in sum.
func (es *modelEngines) quota(now time.Time) engineQuota {
	if es.quotas.Empty() {
		return engineQuota{}
	}
	if age := now.Sub(es.sum.asOf); age >= 0 && age < quotaRateTTL {
		return es.sum
	}
	es.sum = engineQuota{asOf: now}
	for _, e := range es.all {
		if !e.usable() {
			continue
		}
		rate, limited := es.quotas.Rate(now, e.key)
		if !limited {
			es.sum = engineQuota{asOf: now}
			return es.sum
		}
		es.sum.limited = true
		es.sum.rate += rate
		es.sum.tokens += es.quotas.Available(now, e.key)
	}
	return es.sum
}

// awaitingUpTo counts the admitted jobs without an engine that are at least as urgent
// as the priority.
func (es *modelEngines) awaitingUpTo(priority int) int {
	n := 0
	for p, count := range es.awaiting {
		if p <= priority {
			n += count
		}
	}
	return n
}

// admitToEngines reports whether the engines can be sent the job in time if all of them
// have quotas, and begin to answer it before its deadline. It counts the job among those
// that wait for an engine.
func (c *Core) admitToEngines(j *job, now time.Time) bool {
	es := c.modelEngines[j.Service]
	if q := es.quota(now); q.limited && c.quotas.Spends(now) {
		if ahead := es.awaitingUpTo(j.Priority) + 1 - q.tokens; ahead > 0 {
			j.engineWait = time.Duration(float64(ahead) / q.rate * float64(time.Second))
		}
		if j.engineWait > j.maxEngineWait() {
			j.shortService, j.shortResource, j.lateBy = j.Service, ResourceEngine, j.engineWait
			return false
		}
	}
	if c.engineTooLate(j, now) {
		return false
	}
	es.awaiting[j.Priority]++
	j.awaits = true
	return true
}

// lateFactorAgain is lateFactor for clients that were refused before: they have only this
// try left.
const lateFactorAgain = 1.6

// maxEngineWait returns how long the job may wait for tokens of its engines: until its
// objective or, as a late job, for a multiple of the route's objective.
func (j *job) maxEngineWait() time.Duration {
	limit := max(j.Objective-j.firstEventTime, time.Duration(lateFactor*float64(j.RouteObjective)))
	if j.RefusedBefore {
		limit = max(limit, time.Duration(lateFactorAgain*float64(j.RouteObjective)))
	}
	return min(limit, time.Duration(stageDeadlineShare*float64(j.Deadline)))
}

// endWait removes the job from the count of those that wait for an engine.
func (c *Core) endWait(j *job) {
	if !j.awaits {
		return
	}
	j.awaits = false
	if es := c.modelEngines[j.Service]; es != nil {
		es.awaiting[j.Priority]--
		if es.awaiting[j.Priority] <= 0 {
			delete(es.awaiting, j.Priority)
		}
	}
}
