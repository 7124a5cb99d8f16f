package dispatch

import (
	"cmp"
	"maps"
)

const (
	// maxRouteStats bounds the routes that are counted by themselves; further ones count as
	// otherRoutes.
	maxRouteStats = 64
	otherRoutes   = "(others)"
	// noShortage stands for the service of jobs that are late although none was short when
	// they were admitted.
	noShortage = "(overdue)"
)

// RouteStats counts, since the start of the process, what the owner decided about the jobs
// of a route.
type RouteStats struct {
	// Asked counts the jobs submitted, Returned those of them whose client was refused before.
	Asked    int `json:"asked"`
	Returned int `json:"returned,omitempty"`
	// OnTime and Late count the jobs admitted, Granted those that got an engine, GrantedLate
	// those of them that were late.
	OnTime      int `json:"on_time"`
	Late        int `json:"late"`
	Granted     int `json:"granted"`
	GrantedLate int `json:"granted_late,omitempty"`
	// LateAt counts, by the service that was short, the jobs that became late.
	LateAt map[string]int `json:"late_at,omitempty"`
	// Refused counts the jobs refused at submission, GivenUp those refused after they had
	// been admitted, both by service, reason and what was short.
	Refused map[string]int `json:"refused,omitempty"`
	GivenUp map[string]int `json:"given_up,omitempty"`
	// OverShare counts the refused jobs whose client account had more than its share.
	OverShare int `json:"over_share,omitempty"`
}

// routeStats holds the counts by route.
type routeStats map[string]*RouteStats

// of returns the counts of the job's route.
func (s routeStats) of(j *job) *RouteStats {
	name := j.Route
	r := s[name]
	if r == nil && len(s) >= maxRouteStats {
		name = otherRoutes
		r = s[name]
	}
	if r == nil {
		r = &RouteStats{}
		s[name] = r
	}
	return r
}

// countAsked counts a job that was submitted.
func (s routeStats) countAsked(j *job) {
	r := s.of(j)
	r.Asked++
	if j.RefusedBefore {
		r.Returned++
	}
}

// countAdmitted counts a job that was admitted at submission.
func (s routeStats) countAdmitted(j *job) {
	j.admitted = true
	r := s.of(j)
	if j.late {
		r.Late++
		return
	}
	r.OnTime++
}

// countLate counts a job that became late.
func (s routeStats) countLate(j *job) {
	r := s.of(j)
	if r.LateAt == nil {
		r.LateAt = make(map[string]int)
	}
	r.LateAt[cmp.Or(j.shortService, noShortage)]++
}

// countGranted counts a job that got an engine.
func (s routeStats) countGranted(j *job) {
	r := s.of(j)
	r.Granted++
	if j.late {
		r.GrantedLate++
	}
}

// countRefused counts a job that was refused. The causes are bounded by the services.
func (s routeStats) countRefused(j *job, reason Reason) {
	r := s.of(j)
	counts := &r.Refused
	if j.admitted {
		counts = &r.GivenUp
	}
	if *counts == nil {
		*counts = make(map[string]int)
	}
	(*counts)[j.shortService+" "+causeOf(reason, j.shortResource)]++
	if j.overShare {
		r.OverShare++
	}
}

// clone returns a copy that does not change.
func (s routeStats) clone() map[string]RouteStats {
	if len(s) == 0 {
		return nil
	}
	all := make(map[string]RouteStats, len(s))
	for name, r := range s {
		c := *r
		c.LateAt, c.Refused, c.GivenUp = maps.Clone(r.LateAt), maps.Clone(r.Refused), maps.Clone(r.GivenUp)
		all[name] = c
	}
	return all
}
