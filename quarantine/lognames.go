package quarantine

// Event names of the log lines. The counters of a Client have the same names.
const (
	// logSendHeld is logged for a connection that broke under a request, until it is known
	// whether the endpoint crashed.
	logSendHeld = "send_held"
	// logSendCleared is logged for one that is held no longer: the endpoint did not crash,
	// as far as is known.
	logSendCleared = "send_cleared"
	// logCrashed is logged for an endpoint that crashed under a request.
	logCrashed = "endpoint_crashed"
	// logForgiven is logged for a complete answer to content that was lost with endpoints.
	logForgiven = "crash_forgiven"
	// logStanding is logged for a change of a content's standing.
	logStanding = "content_standing"
	// logTrial is logged for a trial of quarantined content.
	logTrial = "trial_begun"
)

// Names of the counters beside the event names.
const (
	countRefused = "refused"
	countWaited  = "waited"
	countNoOwner = "no_owner"
)

// Texts of log lines that are written in two places.
const (
	textCrashed  = "endpoint crashed under a request with this content"
	textForgiven = "a complete answer forgives a crash"
)
