package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/wire"
)

// execState is what is known about the execution of one call. A higher value
// overrides a lower one, so that of contradictory reports the more cautious one
// holds.
type execState uint8

const (
	// pending means that nothing is known yet and a reply may still come.
	pending execState = iota
	// unanswered means that neither the call nor its revocation was answered.
	unanswered
	// notRun means that the call is proved not to have run: it was not written,
	// was refused by the agent, or was revoked before it started.
	notRun
	// mayHaveRun means that the agent itself cannot tell whether the call ran.
	mayHaveRun
	// ran means that the endpoint worked on the call.
	ran
)

// attempt is one call of a stage.
type attempt struct {
	id       wire.CallID
	stage    int
	endpoint string
	pool     string
	// agent is the incarnation of the agent that the call was sent to; empty if
	// unknown.
	agent    string
	sentAt   time.Time
	deadline time.Time
	execState

	// result is the reply to the call; nil until it arrives.
	result *wire.StageResult
	// notWritten and lost are true when the call ended without a reply: it was
	// not written, or no reply will come.
	notWritten bool
	lost       bool
	elapsed    time.Duration
	// lostAt is when the endpoint was found to be down or unreachable; zero if
	// it answered.
	lostAt time.Time

	revoked    bool
	ack        wire.RevokeState
	revokeLost bool

	// cost is the highest cost that any reply reported; replies may report it
	// repeatedly.
	cost time.Duration
	// chunkCount is the number of chunks accepted without a gap. matchedBytes
	// is the length of the output prefix in them that agrees with what the
	// caller has received. streamStopped is true when no further chunks of this
	// attempt are accepted.
	chunkCount    int
	matchedBytes  int
	streamStopped bool
}

// advance raises the execution state to s if s is higher.
func (a *attempt) advance(s execState) { a.execState = max(a.execState, s) }

// ended reports whether the call itself has ended, with or without a reply.
func (a *attempt) ended() bool { return a.result != nil || a.notWritten || a.lost }

// done reports whether the call returned a complete result.
func (a *attempt) done() bool {
	return a.result != nil && a.result.Status == wire.StatusDone && len(a.result.Output) > 0
}

// mayComplete reports whether a complete result may still arrive.
func (a *attempt) mayComplete() bool {
	return !a.ended() && a.execState != notRun && a.ack != wire.RevokedRunning
}

// mayReportCost reports whether a reply that includes the cost may still
// arrive.
func (a *attempt) mayReportCost() bool {
	return (a.result == nil && !a.notWritten) || (a.revoked && a.ack == "" && !a.revokeLost)
}

// state returns the state of the attempt as shown in answers and records.
func (a *attempt) state() api.StageState {
	switch {
	case a.done():
		return api.StageDone
	case a.execState == notRun:
		return api.StageNotRun
	case a.execState == ran:
		return api.StageFailed
	}
	return api.StageMayHaveRun
}

// status returns the status of the attempt for retry decisions.
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

// notReached reports whether the call is proved not to have reached any
// endpoint.
func (a *attempt) notReached() bool { return a.execState == notRun && !a.lostAt.IsZero() }

// failure describes a failed attempt to the Retrier.
func (r *request) failure(a *attempt, now time.Time, need time.Duration) retry.Failure {
	return retry.Failure{
		Pool:         a.pool,
		Status:       a.status(),
		Attempts:     r.countedAttempts(a.stage),
		Unrepeatable: r.stageAt(a.stage).Unrepeatable,
		NotReached:   a.notReached(),
		Remaining:    r.Deadline.Sub(now),
		Need:         need,
	}
}

// cause is the reason for which a request ends without an answer.
type cause struct {
	reason     api.Reason
	detail     string
	retryAfter time.Duration
}

// causeOf returns the reason for which the attempt returned no result. bound is
// true if its stage is bound to one agent run.
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

// defaultReasons holds the reason to use for each status when the agent gave
// none.
var defaultReasons = map[wire.StageStatus]api.Reason{
	wire.StatusDone:    api.ReasonEndpointFailed,
	wire.StatusRefused: api.ReasonOverloaded,
	wire.StatusFailed:  api.ReasonEndpointFailed,
	wire.StatusLost:    api.ReasonEndpointLost,
	wire.StatusUnknown: api.ReasonEarlierAttempt,
}
