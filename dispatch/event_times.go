package dispatch

import "time"

const (
	// eventsMin is the number of events from which a stream shows a time for each.
	eventsMin = 4
	// eventObservationsMin is the weight of the observations from which the estimates
	// are used.
	eventObservationsMin = 3
	// eventTimeMax bounds one observed time for each event.
	eventTimeMax = 10 * time.Second
	// tailWeight is the weight of the newest stream in the tail.
	tailWeight = 0.05
	// tailMax bounds the tail observed in one stream.
	tailMax = 20.0
)

// eventTimes estimates how long the engines of a service take for each event of a
// stream, by the number of requests that they run. All of them get a token in each
// step, and a step takes longer the more there are.
type eventTimes struct {
	linearFit
	// tail is the moving average of the longest over the mean pause of a stream; 0 if
	// none is known.
	tail float64
	// perRun is the time for each running request and base the time beside none, in
	// nanoseconds.
	perRun, base float64
}

// learn adds an observation: the mean time between events beside a number of running
// requests.
func (t *eventTimes) learn(running float64, perEvent time.Duration) {
	t.linearFit.learn(max(0, running), float64(min(perEvent, eventTimeMax)))
	slope, _ := t.slope()
	t.perRun = max(0, slope)
	t.base = t.at0(t.perRun)
}

// learnTail adds the longest pause of a stream, relative to the mean.
func (t *eventTimes) learnTail(longest, perEvent time.Duration) {
	if longest <= 0 || perEvent <= 0 {
		return
	}
	ratio := min(tailMax, max(1, float64(longest)/float64(perEvent)))
	if t.tail == 0 {
		t.tail = ratio
	}
	t.tail += tailWeight * (ratio - t.tail)
}

// estimate returns the expected time for each event beside a number of running
// requests; 0 if too little is known.
func (t *eventTimes) estimate(running float64) time.Duration {
	if t.n < eventObservationsMin {
		return 0
	}
	return time.Duration(t.base + t.perRun*running)
}
