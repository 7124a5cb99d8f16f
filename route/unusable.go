package route

import (
	"fmt"
	"slices"
	"time"
)

// unusableShown bounds the endpoints of which a decision without a choice tells.
const unusableShown = 8

// Away is why the membership gives an endpoint no work.
type Away string

// The reasons for being away.
const (
	// AwayLeaving means that the list says that it leaves.
	AwayLeaving Away = "leaving"
	// AwayUnreachable means that there is no connection to its agent.
	AwayUnreachable Away = "unreachable"
	// AwayDraining means that its agent finishes its calls and takes no more.
	AwayDraining Away = "draining"
	// AwayUnready means that its agent holds no bundle yet.
	AwayUnready Away = "without bundle"
)

// Reasons given in an Unusable beside those for being away.
const (
	// UnusableDown means that the endpoint does not answer its agent.
	UnusableDown = "down"
	// UnusableTried means that the stage was sent there and it has not come back since.
	UnusableTried = "tried"
	// UnusableSilent means that it has not reported since others were lost.
	UnusableSilent = "not heard of"
	// UnusableModel means that it has other models.
	UnusableModel = "model missing"
)

// Unusable says why an endpoint was not chosen.
type Unusable struct {
	Endpoint string
	Reason   string
	// ReportAge is the age of the endpoint's latest report; negative if there is none.
	ReportAge time.Duration
}

// String returns what logs show of u.
func (u Unusable) String() string {
	if u.ReportAge < 0 {
		return fmt.Sprintf("%s: %s, no report", u.Endpoint, u.Reason)
	}
	return fmt.Sprintf("%s: %s, report %v old", u.Endpoint, u.Reason, u.ReportAge.Round(time.Millisecond))
}

// unusable explains a decision without a choice.
func (c *Chain) unusable(q *Query) []Unusable {
	var list []Unusable
	for _, e := range q.Pool.Endpoints {
		if len(list) == unusableShown {
			break
		}
		if c.Keep(q, e) || !q.Request.allows(e) {
			continue
		}
		u := Unusable{Endpoint: e.Name, Reason: e.unusableFor(q), ReportAge: -1}
		if !e.ReportedAt.IsZero() {
			u.ReportAge = q.Now.Sub(e.ReportedAt)
		}
		list = append(list, u)
	}
	return list
}

// mayReturn tells whether an endpoint that is away now could serve the request
// once it is back. One that answered would fail it again, and one that leaves
// does not come back.
func mayReturn(q *Query) bool {
	return slices.ContainsFunc(q.Pool.Endpoints, func(e *Endpoint) bool {
		return e.Away != AwayLeaving && q.Request.allows(e) && !q.Request.answeredBy(e) && (modelFilter{}).Keep(q, e)
	})
}

// allows tells whether the stage may run on e, or is bound to another.
func (r *Request) allows(e *Endpoint) bool { return r.Only == "" || r.Only == e.Name }

// answeredBy tells whether the stage was sent to e, which answered.
func (r *Request) answeredBy(e *Endpoint) bool {
	return slices.ContainsFunc(r.Tried, func(t Tried) bool { return t.Endpoint == e.Name && t.LostAt.IsZero() })
}

// unusableFor names the first reason for which e is not given the request.
func (e *Endpoint) unusableFor(q *Query) string {
	switch {
	case e.State == StateLeaving && e.Away != "":
		return string(e.Away)
	case e.State == StateLeaving, e.Report.Draining:
		return string(AwayLeaving)
	case e.Report.Down:
		return UnusableDown
	case !(excludeFilter{}).Keep(q, e):
		return UnusableTried
	case !(freshFilter{}).Keep(q, e):
		return UnusableSilent
	default:
		return UnusableModel
	}
}
