package dispatch

import (
	"maps"
	"time"

	"github.com/mangostage/mangostage/dispatch/appointment"
)

// Admissions counts, since the start of the process, what the owner decided about jobs.
type Admissions struct {
	// OnTime and Late count the jobs admitted at submission: those forecast to meet their
	// objective, and the others.
	OnTime int `json:"on_time"`
	Late   int `json:"late"`
	// Refused counts refusals by cause, which is the reason and, if a resource was short,
	// the resource after a slash.
	Refused map[string]int `json:"refused,omitempty"`
	// Appointments are the times at which refused clients were told to come back.
	Appointments appointment.Counts `json:"appointments"`
}

// countDecision counts a job that was admitted at submission.
func (a *Admissions) countDecision(j *job) {
	if j.late {
		a.Late++
	} else {
		a.OnTime++
	}
}

// countRefused counts a refusal. Reasons and resources are constants, so that the map is
// bounded.
func (a *Admissions) countRefused(reason Reason, short Resource) {
	if a.Refused == nil {
		a.Refused = make(map[string]int)
	}
	a.Refused[causeOf(reason, short)]++
}

// causeOf returns the reason of a refusal and, after a slash, what was short.
func causeOf(reason Reason, short Resource) string {
	if short == "" {
		return string(reason)
	}
	return string(reason) + "/" + string(short)
}

// admissionStats returns the counts at now.
func (c *Core) admissionStats(now time.Time) Admissions {
	a := c.admissions
	a.Refused = maps.Clone(a.Refused)
	for _, p := range c.sortedPools {
		a.Appointments = a.Appointments.Plus(p.calendar.Counts(now))
	}
	return a
}
