package balance

import (
	"maps"
	"slices"
	"time"
)

// Reason says why a request was sent to an endpoint in its place.
type Reason int

// The reasons.
const (
	// Kept requests stayed in the failure domain of this process.
	Kept Reason = iota
	// Pays: the expected time saved exceeded the price of leaving.
	Pays
	// NoLocal: no endpoint of the own failure domain took the request.
	NoLocal
)

// Sends counts the requests to one endpoint by the reason.
type Sends struct {
	Kept    int64 `json:"kept,omitempty"`
	Pays    int64 `json:"left_pays,omitempty"`
	NoLocal int64 `json:"left_no_local,omitempty"`
}

func (s *Sends) count(r Reason) {
	switch r {
	case Kept:
		s.Kept++
	case Pays:
		s.Pays++
	case NoLocal:
		s.NoLocal++
	}
}

// Stats is what this process knows about one endpoint.
type Stats struct {
	// Endpoint is the endpoint's Key.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service,omitempty"`
	InFlight int    `json:"in_flight"`
	// Latency is the average latency.
	Latency time.Duration `json:"latency"`
	// FailureRate is the moving share of failed requests, in which recent ones
	// count more.
	FailureRate float64 `json:"failure_rate"`
	// Paused is true while the endpoint is ranked last because it recently did
	// not answer or was full.
	Paused bool `json:"paused,omitempty"`
	// Sends says how many requests were sent here, and why those from other failure
	// domains left.
	Sends Sends `json:"sends"`
}

// Stats lists the endpoints that this process keeps state for, sorted by Key.
func (b *Balancer) Stats(now time.Time) []Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Stats, 0, len(b.states))
	for _, key := range slices.Sorted(maps.Keys(b.states)) {
		s := b.states[key]
		all = append(all, Stats{
			Endpoint:    key,
			Service:     s.service,
			InFlight:    s.inFlight,
			Latency:     s.latency.average,
			FailureRate: s.failures.At(failureHalfLife, now),
			Paused:      s.pause.Active(now),
			Sends:       s.sends,
		})
	}
	return all
}
