package dispatch

import "time"

const (
	// gapShare is the fraction of a stream's longest pause from which an expected pause
	// costs.
	gapShare = 0.9
	// gapPenalty is the cost of an expected pause that is as much longer than that again,
	// in milliseconds, and gapExcessMax bounds the excess that counts.
	gapPenalty   = 150.0
	gapExcessMax = 3.0
	// readingSlowdown is how many times longer an event takes at most while the engine
	// reads prompts in between.
	readingSlowdown = 2.0
)

// Stream is what a member that relayed a stream reports about it; the zero value
// means unknown.
type Stream struct {
	// Events is the number of events relayed.
	Events int `json:"events,omitempty"`
	// LongestPause is the longest time between two of them.
	LongestPause time.Duration `json:"longest_pause,omitempty"`
	// OtherEngine is true if an engine other than the granted one sent them.
	OtherEngine bool `json:"other_engine,omitempty"`
}

// tighter returns the shorter of two bounds, of which one that is not positive is none.
func tighter(a, b time.Duration) time.Duration {
	if b <= 0 || a > 0 && a < b {
		return max(0, a)
	}
	return b
}

// observeStream notes how a request ended. An engine that began to answer it and did
// not serve it is not fast.
func (e *engine) observeStream(ticket string, served bool, s Stream, now time.Time) {
	r := e.requests[ticket]
	if r == nil || r.firstAt.IsZero() {
		return
	}
	if !served {
		e.slowness.recordFailure(now)
		e.eventSlowness.recordFailure(now)
		return
	}
	if s.OtherEngine || s.Events < eventsMin {
		return
	}
	perEvent := now.Sub(r.firstAt) / time.Duration(s.Events-1)
	if perEvent <= 0 {
		return
	}
	running := float64(r.runningAtFirst+len(e.requests)) / 2
	e.eventSlowness.learn(perEvent, e.eventTimes.estimate(running), now)
	e.eventTimes.learn(running, perEvent)
	e.eventTimes.learnTail(s.LongestPause, perEvent)
}

// longestPause returns the expected longest pause between events, in milliseconds, if
// the engine gets one more request with a number of tokens to read; 0 if too little is
// known. reading and generating are the factors of the engine's slowness.
func (e *engine) longestPause(tokens int, reading, generating float64) float64 {
	perEvent := generating * milliseconds(e.eventTimes.estimate(float64(len(e.requests)+1)))
	if perEvent == 0 {
		return 0
	}
	ahead := reading * e.times.token / float64(time.Millisecond) * float64(e.prefillTokens+tokens)
	return max(perEvent*e.eventTimes.tail, perEvent+min(ahead, readingSlowdown*perEvent))
}

// gapCost returns the cost of pauses between events that are too long, in milliseconds:
// in the stream of j and in those that the engine runs.
func (e *engine) gapCost(j *job, tokens int, reading, generating float64) float64 {
	gap := tighter(e.eventGap, j.EventGap)
	if gap <= 0 {
		return 0
	}
	excess := e.longestPause(tokens, reading, generating)/(gapShare*milliseconds(gap)) - 1
	return gapPenalty * min(gapExcessMax, max(0, excess))
}
