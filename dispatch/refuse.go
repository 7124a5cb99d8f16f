package dispatch

import "time"

// refuse ends a job that has not been granted.
func (c *Core) refuse(j *job, reason Reason, now time.Time) {
	if j.ended {
		return
	}
	c.recordWaitShortage(j)
	c.admissions.countRefused(reason, j.shortResource)
	c.routes.countRefused(j, reason)
	c.emit(Refuse{Ticket: j.Ticket, Reason: reason, RetryAfter: c.late.retryAfter(j, reason, now), ShortService: j.shortService, ShortResource: j.shortResource, LateBy: j.lateBy, OverShare: j.overShare})
	c.finish(j, now)
}

// refuseNoEndpoint refuses a job because a service has no usable endpoint.
func (c *Core) refuseNoEndpoint(j *job, service string, now time.Time) {
	j.shortService, j.shortResource = service, ResourceEndpoints
	c.refuse(j, ReasonNoEndpoint, now)
}

// refuseStageFailed refuses a job because a stage has failed too often; short is what was
// lacking the last time.
func (c *Core) refuseStageFailed(s *stage, short Resource, now time.Time) {
	s.job.shortService, s.job.shortResource = s.Service, short
	c.refuse(s.job, ReasonStageFailed, now)
}

// shortageOf returns what was short if a piece ends with the fault.
func shortageOf(fault Fault) Resource {
	switch fault {
	case FaultNoMemory:
		return ResourceMemory
	case FaultInputsGone:
		return ResourceInputs
	case FaultLate:
		return ResourceCallTime
	}
	return ResourceWork
}
