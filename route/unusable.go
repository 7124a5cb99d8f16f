package route

import (
	"fmt"
	"slices"
	"time"
)

// maxUnusable bounds the endpoints listed in Decision.Unusable.
const maxUnusable = 8

// Unavailability is why an endpoint in StateLeaving takes no work.
type Unavailability string

// The reasons for StateLeaving.
const (
	// UnavailableLeaving means that the endpoint's VM is leaving, according to the
	// platform's list or its own process.
	UnavailableLeaving Unavailability = "leaving"
	// UnavailableNoConnection means that there is no connection to the endpoint's
	// agent.
	UnavailableNoConnection Unavailability = "unreachable"
	// UnavailableDraining means that the agent finishes its calls and takes no more.
	UnavailableDraining Unavailability = "draining"
	// UnavailableNoBundle means that the agent holds no bundle yet.
	UnavailableNoBundle Unavailability = "without bundle"
)

// Further reasons given in an Unusable.
const (
	// UnusableDown means that the endpoint does not answer its agent.
	UnusableDown = "down"
	// UnusableTried means that the stage was already sent to the endpoint,
	// which answered or has not reported since it was lost.
	UnusableTried = "tried"
	// UnusableNotReported means that the endpoint has not reported since the
	// request lost others.
	UnusableNotReported = "not heard of"
	// UnusableModelMissing means that the endpoint does not have the model.
	UnusableModelMissing = "model missing"
)

// Unusable explains why an endpoint may not be used.
type Unusable struct {
	Endpoint string
	Reason   string
	// ReportAge is the age of the endpoint's latest report; negative if there
	// is none.
	ReportAge time.Duration
}

// String returns u as shown in logs.
func (u Unusable) String() string {
	if u.ReportAge < 0 {
		return fmt.Sprintf("%s: %s, no report", u.Endpoint, u.Reason)
	}
	return fmt.Sprintf("%s: %s, report %v old", u.Endpoint, u.Reason, u.ReportAge.Round(time.Millisecond))
}

// unusable explains a decision without a chosen endpoint.
func (c *Chain) unusable(q *Query) []Unusable {
	var list []Unusable
	for _, e := range q.Pool.Endpoints {
		if len(list) == maxUnusable {
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

// mayBecomeUsable tells whether an endpoint that is unusable now could serve
// the request later. An endpoint that answered is excluded, because it would
// fail the request again; so is one that is leaving, because it does not come
// back.
func mayBecomeUsable(q *Query) bool {
	return slices.ContainsFunc(q.Pool.Endpoints, func(e *Endpoint) bool {
		return e.Unavailability != UnavailableLeaving && q.Request.allows(e) && !q.Request.answeredBy(e) && (modelFilter{}).Keep(q, e)
	})
}

// allows tells whether the stage may run on e: it is not bound, or bound to e.
func (r *Request) allows(e *Endpoint) bool { return r.BoundTo == "" || r.BoundTo == e.Name }

// answeredBy tells whether the stage was sent to e and e answered.
func (r *Request) answeredBy(e *Endpoint) bool {
	return slices.ContainsFunc(r.Tried, func(t Tried) bool { return t.Endpoint == e.Name && t.LostAt.IsZero() })
}

// unusableFor returns the first reason why e may not be used for the request.
func (e *Endpoint) unusableFor(q *Query) string {
	switch {
	case e.State == StateLeaving && e.Unavailability != "":
		return string(e.Unavailability)
	case e.State == StateLeaving, e.Report.Draining:
		return string(UnavailableLeaving)
	case e.Report.Down:
		return UnusableDown
	case !(excludeFilter{}).Keep(q, e):
		return UnusableTried
	case !(freshFilter{}).Keep(q, e):
		return UnusableNotReported
	default:
		return UnusableModelMissing
	}
}
