package dispatch

import (
	"slices"
	"time"
)

// maxReadTime is how long an engine may go without a first event while it has prompts to
// read. After that the prompts may be those of a process that is gone, or the engine does
// not work, and nothing can be forecast from them.
const maxReadTime = 2 * time.Second

// forecastHolds reports whether the engine's forecast may keep a job out. That of an
// engine that has no prompt to read may not: its times may be out of date, and only a
// request shows it.
func (e *engine) forecastHolds(now time.Time) bool {
	return e.prefillTokens > 0 && now.Sub(e.readSince) <= maxReadTime
}

// engineTooLate reports whether every engine would begin to answer the job only after
// its deadline. If so, it records on the job which engine was short and for how long.
func (c *Core) engineTooLate(j *job, now time.Time) bool {
	if max(j.firstEventTime, j.engineForecast) <= j.Deadline {
		return false
	}
	es := c.modelEngines[j.Service]
	var soonest time.Duration
	for _, e := range es.all {
		if !e.acceptsWithoutToken(j, now) || slices.Contains(j.Excluded, e.key) {
			continue
		}
		first := e.firstEvent(j, now)
		if !e.forecastHolds(now) || first <= j.Deadline {
			return false
		}
		if soonest == 0 || first < soonest {
			soonest = first
		}
	}
	if soonest == 0 {
		return false
	}
	j.shortService, j.shortResource, j.lateBy = j.Service, ResourceEngine, soonest-j.Deadline
	j.engineWait = max(j.engineWait, j.lateBy)
	return true
}
