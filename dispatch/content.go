package dispatch

import (
	"time"

	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quarantine/part"
)

// Contents tells what may be done with the content of jobs and the parts of their prompts;
// *quarantine.Client implements it.
type Contents interface {
	// Empty reports whether all jobs may run without limits.
	Empty() bool
	State(now time.Time, content quarantine.Content) quarantine.State
	// RefusesParts reports whether requests to a service are refused for parts of their prompts.
	RefusesParts(now time.Time, service string, parts []part.ID) bool
}

// LimitContents makes the core run content as contents says.
func (c *Core) LimitContents(contents Contents) { c.contents = contents }

// callMode says in which calls the pieces of a job may run.
type callMode int

const (
	// callShared means calls with pieces of other jobs.
	callShared callMode = iota
	// callAlone means one call at a time, without other content.
	callAlone
	// callTrial is callAlone for quarantined content whose trial is due.
	callTrial
	// callHeld means no call now.
	callHeld
)

// callMode returns in which calls the pieces of a job may run now.
//
// It guards against a job whose pieces crash the endpoints of a stage, in calls that it
// shares with pieces of others, and in several calls at the same time.
func (c *Core) callMode(j *job, now time.Time) callMode {
	if c.contents == nil || c.contents.Empty() || j.Content == 0 {
		return callShared
	}
	if c.contents.RefusesParts(now, j.Service, j.parts) {
		return callHeld
	}
	s := c.contents.State(now, j.Content)
	mode := callAlone
	switch {
	case s.Standing == quarantine.Clear:
		return callShared
	case s.Standing == quarantine.Quarantined && s.RefusedFor > 0:
		return callHeld
	case s.Standing == quarantine.Quarantined:
		mode = callTrial
	case s.MaxRuns == 0:
		return callHeld
	}
	if c.calling(j.Content) {
		return callHeld
	}
	return mode
}

// calling reports whether a call with pieces of the content is in flight.
func (c *Core) calling(content quarantine.Content) bool {
	for _, cl := range c.calls {
		for _, p := range cl.pieces {
			if p.stage.job.Content == content {
				return true
			}
		}
	}
	return false
}
