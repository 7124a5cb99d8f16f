// Package spill decides whether work leaves its failure domain, and how much of it.
// Leaving pays if the expected time saved exceeds the price of leaving: the round trip
// between failure domains and the traffic, expressed as a time. It does no I/O.
package spill

import "time"

const (
	// roundTrip is the assumed round trip between failure domains, if none was measured.
	roundTrip = 4 * time.Millisecond
	// requestPrice is the price of the traffic of one request and its answer, if they are
	// small.
	requestPrice = 2 * time.Millisecond
	// pricePerMB is the price of the traffic between failure domains per 10^6 bytes.
	pricePerMB = 4 * time.Millisecond
	bytesPerMB = 1e6
	// margin is how much must be saved beyond the price before any work leaves, relative
	// to the time of the work itself.
	margin = 1.0
	// fullMargin is how much must be saved for all work to leave. Between the two, the
	// share that leaves grows in proportion, so that members that see the same load do
	// not all leave, and come back, at the same moment.
	fullMargin = 2.0
)

// RoundTrip returns the assumed time between failure domains for work whose expected
// time was not measured from the own domain.
func RoundTrip() time.Duration { return roundTrip }

// TrafficPrice returns the price of sending bytes between failure domains, beyond that of
// a small request.
func TrafficPrice(bytes int64) time.Duration {
	return time.Duration(float64(pricePerMB) * float64(max(0, bytes)) / bytesPerMB)
}

// Cost is what one way to run some work costs.
type Cost struct {
	// Time is the expected time until the answer, including the way there and back.
	Time time.Duration
	// Work is the part of Time in which the work itself runs, without waiting.
	Work time.Duration
	// Bytes is how much would pass between failure domains. It may be more for the own
	// failure domain, if the inputs are in the other.
	Bytes int64
}

// Share returns the share of the work, from 0 to 1, for which leaving pays, if it costs
// local in the own failure domain and remote in another.
func Share(local, remote Cost) float64 {
	saved := local.Time - remote.Time - requestPrice - (TrafficPrice(remote.Bytes) - TrafficPrice(local.Bytes))
	work := max(min(local.Work, remote.Work), time.Millisecond)
	part := (saved.Seconds()/work.Seconds() - margin) / (fullMargin - margin)
	return min(1, max(0, part))
}

// Pays reports whether one piece of work leaves its failure domain. draw, from 0 up to
// but not including 1, is chosen at random for each piece.
func Pays(local, remote Cost, draw float64) bool { return draw < Share(local, remote) }
