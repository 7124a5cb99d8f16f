package balance

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/warm"
)

const (
	// latencyWeight is the weight of the newest answer in an endpoint's average
	// latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which what is known about an endpoint's latency
	// loses half its weight against the average of its failure domain.
	latencyHalfLife = 3 * time.Second
	// initialLatency is the latency assumed if no endpoint has answered yet.
	initialLatency = 60 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which a failure rate halves without new
	// outcomes.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a failure rate of 1, and of a pause: about
	// that of an answer that misses its latency objective.
	failureCost = 2 * time.Second
	// loadReportTTL is how long a load reported by an endpoint is used.
	loadReportTTL = time.Second
	// paceTTL is how long a reported pace is used.
	paceTTL = 300 * time.Millisecond
	// maxPace is the largest reported pace that is believed.
	maxPace = 100.0
	// maxPaceFactor bounds the effect of a pace that differs from the usual one of the
	// endpoint, either way.
	maxPaceFactor = 3.0
	// idleConnTTL is how long a connection is taken to be open after its last answer.
	idleConnTTL = 3 * time.Second
	// connCost is the cost of a new connection, and connLoad the most that it costs, in
	// requests running on the endpoint: the load goes first.
	connCost = 8 * time.Millisecond
	connLoad = 0.25
	// minPause and maxPause bound the time for which an endpoint that did not
	// answer is ranked last.
	minPause = 200 * time.Millisecond
	maxPause = 3 * time.Second
	// fullPause is that time for an endpoint that refused a request without
	// running it: about the time until one of its requests ends.
	fullPause = 50 * time.Millisecond
)

// endpointState is what this process knows about one endpoint.
type endpointState struct {
	service  string
	inFlight int
	// sinceReport estimates the number of requests sent since reportedAt and not ended: each
	// that ends without a report is taken to be one of them.
	sinceReport int
	latency     learnedLatency
	failures    health.Rate
	tally       tally
	evidence    evidence
	// silences is the rate of requests without a usable answer. Requests seldom cause
	// them, so that each is a reason to leave.
	silences  health.Rate
	pause     health.Backoff
	coldLimit warm.Limiter
	// report is the load that the endpoint reported at reportedAt.
	report     Report
	reportedAt time.Time
	// idleConns is the number of connections without a request at idleAt.
	idleConns int
	idleAt    time.Time
	sends     Sends
}

// learnedLatency is the moving average of an endpoint's latency.
type learnedLatency struct {
	average time.Duration
	// pace is the moving average of the pace that was reported with the answers; 0 if
	// none was.
	pace float64
	// weight, from 0 to 1, is how much the average counted at learnedAt.
	weight    float64
	learnedAt time.Time
}

// learn adds one answer. The less the average still counts, the more the answer does.
func (l *learnedLatency) learn(now time.Time, took time.Duration, pace float64) {
	before := l.weightAt(now)
	l.weight = before + latencyWeight*(1-before)
	l.learnedAt = now
	newest := latencyWeight / l.weight
	l.average += time.Duration(newest * float64(took-l.average))
	switch {
	case !knownPace(pace):
	case l.pace == 0:
		l.pace = pace
	default:
		l.pace += newest * (pace - l.pace)
	}
}

// weightAt returns how much the average counts at now.
func (l *learnedLatency) weightAt(now time.Time) float64 {
	if l.weight == 0 {
		return 0
	}
	return l.weight * math.Exp2(-now.Sub(l.learnedAt).Seconds()/latencyHalfLife.Seconds())
}

func knownPace(pace float64) bool { return pace > 0 && pace <= maxPace }

// reportWeight returns how much the latest report counts at now, from 0 to 1.
func (s *endpointState) reportWeight(now time.Time) float64 {
	return max(0, 1-now.Sub(s.reportedAt).Seconds()/loadReportTTL.Seconds())
}

// load returns the number of requests that the endpoint is assumed to run or keep
// waiting; usual is that of the endpoints in the same place, per slot.
func (s *endpointState) load(now time.Time, slots int, usual float64) float64 {
	load := usual * float64(slots)
	load += s.reportWeight(now) * (float64(s.report.Load+s.sinceReport) - load)
	return max(float64(s.inFlight), load)
}

// paceFactor returns how much longer work takes now than under the pace at which the
// latency was learned.
func (s *endpointState) paceFactor(now time.Time) float64 {
	if s.latency.pace == 0 || !knownPace(s.report.Pace) || now.Sub(s.reportedAt) >= paceTTL {
		return 1
	}
	return min(maxPaceFactor, max(1/maxPaceFactor, s.report.Pace/s.latency.pace))
}

// work returns the expected time of work on the endpoint, apart from the load that it has
// now; usual is that of the endpoints in the same place.
func (s *endpointState) work(now time.Time, usual time.Duration) time.Duration {
	learned := float64(usual) + s.latency.weightAt(now)*float64(s.latency.average-usual)
	return time.Duration(learned * s.paceFactor(now))
}

// failuresCost returns the cost of failures at a rate.
func failuresCost(rate float64) time.Duration {
	return time.Duration(float64(failureCost) * rate)
}

// leavingRate returns the failure rate that is a reason to leave the failure domain. A
// silence is in both rates, so that the larger one counts.
func (s *endpointState) leavingRate(now time.Time) float64 {
	return max(s.evidence.unusualRate(now), s.silences.At(failureHalfLife, now))
}

// pauseCost returns the cost of a pause.
func (s *endpointState) pauseCost(now time.Time) time.Duration {
	if s.pause.Active(now) {
		return failureCost
	}
	return 0
}

// hasIdleConn reports whether a connection to the endpoint is probably open and unused.
func (s *endpointState) hasIdleConn(now time.Time) bool {
	return s.idleConns > 0 && now.Sub(s.idleAt) < idleConnTTL
}

// begin counts a request in flight.
func (s *endpointState) begin(now time.Time) {
	if s.hasIdleConn(now) {
		s.idleConns--
	} else {
		s.idleConns = 0
	}
	s.inFlight++
	s.sinceReport++
}

// end counts the end of a request; answered says that its connection is still usable.
func (s *endpointState) end(now time.Time, answered bool, report *Report) {
	s.inFlight--
	s.sinceReport = max(0, s.sinceReport-1)
	if report != nil {
		s.report, s.reportedAt, s.sinceReport = *report, now, 0
	}
	if answered {
		if !s.hasIdleConn(now) {
			s.idleConns = 0
		}
		s.idleConns++
		s.idleAt = now
	}
}

// learn records the latency of a served request.
func (s *endpointState) learn(now time.Time, latency time.Duration, report *Report) {
	pace := 0.0
	if report != nil {
		pace = report.Pace
	}
	s.latency.learn(now, latency, pace)
}
