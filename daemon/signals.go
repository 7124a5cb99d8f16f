package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/broadcast"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
)

// Methods by which members tell each other which endpoints leave, and which processes of
// endpoints have ended.
const (
	methodReportDeparture = "endpoint.report_departure"
	methodDeparture       = "endpoint.departure"
	methodReportEnd       = "endpoint.report_end"
	methodEnd             = "endpoint.end"
)

// signals passes what endpoints say about themselves to the components that act on it,
// and to the other members.
type signals struct {
	quotas     *quota.Client
	backoffs   *retryafter.Recorder
	follower   *discovery.Follower
	departures broadcast.Topic[discovery.Departure]
	ends       broadcast.Topic[discovery.EndedProcess]
}

func newSignals(quotas *quota.Client, backoffs *retryafter.Table, follower *discovery.Follower, fleet broadcast.Fleet, log zerolog.Logger) *signals {
	return &signals{
		backoffs: retryafter.NewRecorder(backoffs, log),
		quotas:   quotas,
		follower: follower,
		departures: broadcast.Topic[discovery.Departure]{
			Report: methodReportDeparture, Update: methodDeparture, Fleet: fleet,
			Apply: follower.ObserveDeparture, Known: follower.Departures,
		},
		ends: broadcast.Topic[discovery.EndedProcess]{
			Report: methodReportEnd, Update: methodEnd, Fleet: fleet,
			Apply: follower.ObserveEnd, Known: follower.Ends,
		},
	}
}

// Observe implements scheduler.SignalObserver.
func (s *signals) Observe(endpoint, request string, sent time.Time, said platform.Signals) {
	s.quotas.Observe(endpoint, request, sent, said)
	departure := discovery.Departure{Endpoint: endpoint, Request: request}
	if said.Leaving && s.follower.ObserveDeparture(departure, "") {
		s.departures.Spread(departure)
	}
	s.backoffs.Observe(endpoint, request, said.RetryAfter)
}

// ended records that the process of an endpoint has ended, and tells the other members.
func (s *signals) ended(endpoint string) {
	if p, isNew := s.follower.EndpointEnded(endpoint); isNew {
		s.ends.Spread(p)
	}
}
