package balance

import (
	"math"
	"time"
)

const (
	// tallyAnswers is the number of answers of an endpoint that are counted.
	tallyAnswers = 100.0
	// enoughAnswers is the number of answers of other endpoints from which on an endpoint is
	// compared with them alone.
	enoughAnswers = 40.0
	// usualPrior is the number of answers without a failure with which the usual failure
	// rate of a service begins.
	usualPrior = 20.0
	// chanceDeviations is how many standard deviations above the usual number an endpoint's
	// failures may be by chance.
	chanceDeviations = 2.5
	// evidenceHalfLife is the time in which an answer loses half its weight as evidence
	// against an endpoint.
	evidenceHalfLife = 7 * time.Second
)

// tally counts the failures among the latest answers of an endpoint, or of several. Some
// requests fail wherever they are sent, which is no reason to prefer another endpoint.
type tally struct {
	failures, answers float64
}

// record adds an answer and returns by how much the counts have changed.
func (t *tally) record(failed bool) tally {
	before := *t
	if t.answers >= tallyAnswers {
		kept := 1 - 1/tallyAnswers
		t.failures *= kept
		t.answers *= kept
	}
	t.answers++
	if failed {
		t.failures++
	}
	return t.without(before)
}

func (t tally) plus(o tally) tally { return tally{t.failures + o.failures, t.answers + o.answers} }

func (t tally) without(o tally) tally { return tally{t.failures - o.failures, t.answers - o.answers} }

// times returns the tally times f.
func (t tally) times(f float64) tally { return tally{f * t.failures, f * t.answers} }

// usualFor returns the tally with which an endpoint is compared: the answers of the others of
// its service and, as far as these are few, its own. Its own alone would make a lasting
// failure look usual.
func usualFor(own, others tally) tally {
	missing := max(0, enoughAnswers-others.answers)
	return others.plus(own.times(min(1, missing/max(1, own.answers))))
}

// usualRate returns the share of the answers that are failures; without answers it is 0.
func (t tally) usualRate() float64 {
	return min(1, max(0, t.failures)/(max(0, t.answers)+usualPrior))
}

// evidence compares the failures of an endpoint with those that its service usually has.
// All its sums are as of at; older answers weigh less.
type evidence struct {
	answers, failures float64
	// expected and variance are those of the number of failures, if the endpoint is like
	// the others.
	expected, variance float64
	at                 time.Time
}

// decayed returns the evidence as of now.
func (e evidence) decayed(now time.Time) evidence {
	kept := math.Exp2(-now.Sub(e.at).Seconds() / evidenceHalfLife.Seconds())
	return evidence{
		answers: kept * e.answers, failures: kept * e.failures,
		expected: kept * e.expected, variance: kept * e.variance, at: now,
	}
}

// record adds an answer; usual is the failure rate of the service.
func (e *evidence) record(now time.Time, failed bool, usual float64) {
	*e = e.decayed(now)
	e.answers++
	e.expected += usual
	e.variance += usual * (1 - usual)
	if failed {
		e.failures++
	}
}

// unusualRate returns the failure rate of the endpoint as far as neither the service nor
// chance explains it. A single failure is always taken for chance.
func (e evidence) unusualRate(now time.Time) float64 {
	d := e.decayed(now)
	unusual := d.failures - d.expected - chanceDeviations*math.Sqrt(d.variance) - 1
	return max(0, unusual) / (d.answers + 1)
}
