package gateway

import "github.com/rs/zerolog"

// Event names of the log lines.
const (
	logAnswered = "answered"
	logGranted  = "granted"
	logSent     = "sent"
	// logStreamEnded is logged when an endpoint's stream ends inside an event, or its
	// connection breaks.
	logStreamEnded = "stream_ended"
	// logContinuationRefused is logged when an endpoint's answer may not go on with a stream
	// that has begun.
	logContinuationRefused = "continuation_refused"
	// logTakenUp is logged when a client takes a stream up.
	logTakenUp = "stream_taken_up"
	// logOriginProved is logged when it is known whether the version in an entry is that of
	// the process that has sent an event over a young connection.
	logOriginProved = "stream_version_checked"
	// logArrivedDuringShutdown is logged for a request that arrived after the shutdown
	// had begun.
	logArrivedDuringShutdown = "taken_while_stopping"
	// logNotSentDuringShutdown is logged for a request that was admitted, and that a shutdown
	// leaves no time to be sent.
	logNotSentDuringShutdown = "not_sent_while_stopping"
	// logPromiseWithheld is logged when an endpoint's answer is not passed on because its
	// status promises more than the endpoint states.
	logPromiseWithheld = "promise_withheld"
	// logStrayAnswer is logged for an answer that belongs to no send.
	logStrayAnswer = "stray_answer"
	// logSharesHeld is logged when a gateway begins or ceases to hold client accounts to
	// their shares of a plain service.
	logSharesHeld = "account_shares"
)

// about adds to a log line what it is about: the request, its route and its client account,
// each empty if there is none.
func (req *request) about(line *zerolog.Event) *zerolog.Event {
	return line.Str("request", req.ID).Str("route", routeName(req)).Str("account", req.accountName())
}
