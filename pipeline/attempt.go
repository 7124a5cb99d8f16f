package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/wire"
)

// knowledge is what is known of one call. Higher values override lower ones,
// so that contradicting words leave the more cautious of them standing.
type knowledge uint8

const (
	// pending: there is no word yet and one may still come.
	pending knowledge = iota
	// silent: neither the call nor its revocation was answered.
	silent
	// notRun is proved: not written, refused by the agent, or revoked before it started.
	notRun
	// mayHaveRun: the agent itself can't tell.
	mayHaveRun
	// ran: the endpoint was seen to work on it.
	ran
)

// attempt is one call.
type attempt struct {
	id       wire.CallID
	stage    int
	endpoint string
	pool     string
	// agent is the incarnation of the agent that the call was made to, as far
	// as known.
	agent    string
	sentAt   time.Time
	deadline time.Time
	knowledge

	// result is the reply to the call, nil until it comes.
	result *wire.StageResult
	// notWritten and lost are the other two ways in which the call can end.
	notWritten bool
	lost       bool
	took       time.Duration
	// lostAt is when the endpoint or the way to it was found to be lost; zero
	// if it answered.
	lostAt time.Time

	revoked    bool
	ack        wire.RevokeState
	revokeLost bool

	// cost is the highest that any reply named; replies may repeat it.
	cost time.Duration
	// chunks is the number of pieces taken in without a gap, matched the bytes
	// of them that repeat what the caller already has.
	chunks  int
	matched int
	gap     bool
}

// learn keeps the more cautious of what was and is now known.
func (a *attempt) learn(k knowledge) { a.knowledge = max(a.knowledge, k) }

// over tells whether the call itself has ended, whatever it did.
func (a *attempt) over() bool { return a.result != nil || a.notWritten || a.lost }

// done tells whether the call brought a complete result.
func (a *attempt) done() bool {
	return a.result != nil && a.result.Status == wire.StatusDone && len(a.result.Output) > 0
}

// mayComplete tells whether a complete result may still come.
func (a *attempt) mayComplete() bool {
	return !a.over() && a.knowledge != notRun && a.ack != wire.RevokedRunning
}

// open tells whether a reply that names its cost may still come.
func (a *attempt) open() bool {
	return (a.result == nil && !a.notWritten) || (a.revoked && a.ack == "" && !a.revokeLost)
}

func (a *attempt) state() api.StageState {
	switch {
	case a.done():
		return api.StageDone
	case a.knowledge == notRun:
		return api.StageNotRun
	case a.knowledge == ran:
		return api.StageFailed
	}
	return api.StageMayHaveRun
}

// status is the word on the attempt that retries are judged by.
func (a *attempt) status() wire.StageStatus {
	switch {
	case a.notWritten:
		return wire.StatusRefused
	case a.result == nil:
		return wire.StatusLost
	case a.result.Status == wire.StatusDone && !a.done():
		return wire.StatusFailed
	}
	return a.result.Status
}

// notReached tells whether the call is proved to have got to no endpoint.
func (a *attempt) notReached() bool { return a.knowledge == notRun && !a.lostAt.IsZero() }

// failure describes the attempt to the Retrier.
func (r *request) failure(a *attempt, now time.Time, need time.Duration) retry.Failure {
	return retry.Failure{
		Pool:         a.pool,
		Status:       a.status(),
		Attempts:     r.counted(a.stage),
		Unrepeatable: r.stageAt(a.stage).Unrepeatable,
		NotReached:   a.notReached(),
		Remaining:    r.Deadline.Sub(now),
		Need:         need,
	}
}

// cause is why a request ends without an answer.
type cause struct {
	reason     api.Reason
	detail     string
	retryAfter time.Duration
}

// causeOf says why an attempt brought no result.
func (a *attempt) causeOf(bound bool) cause {
	switch {
	case a.notWritten && bound:
		return cause{reason: api.ReasonOwnerUnreachable, detail: "the call was not written"}
	case a.notWritten:
		return cause{reason: api.ReasonConnectionLost, detail: "the call was not written"}
	case a.result == nil:
		return cause{reason: api.ReasonConnectionLost, detail: "the call was not answered"}
	}
	c := cause{reason: a.result.Reason, detail: a.result.Detail, retryAfter: a.result.RetryAfter}
	if c.reason == "" {
		c.reason = defaultReasons[a.result.Status]
	}
	return c
}

// defaultReasons stand in for a reason that the agent didn't give.
var defaultReasons = map[wire.StageStatus]api.Reason{
	wire.StatusDone:    api.ReasonEndpointFailed,
	wire.StatusRefused: api.ReasonOverloaded,
	wire.StatusFailed:  api.ReasonEndpointFailed,
	wire.StatusLost:    api.ReasonEndpointLost,
	wire.StatusUnknown: api.ReasonEarlierAttempt,
}
