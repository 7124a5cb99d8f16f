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
	// logTrial is logged for a trial of quarantined content or blamed parts.
	logTrial = "trial_begun"
	// logPartStanding is logged when a part of prompts is blamed for crashes, or no longer.
	logPartStanding = "part_standing"
	// logPartsAnswered is logged for an answer to parts under which endpoints were lost, of which
	// the other members are told.
	logPartsAnswered = "parts_answered"
	// logExcused is logged for content that is forgiven a crash which a blamed part explains.
	logExcused = "contents_excused"
)

// Names of the counters beside the event names.
const (
	countRefused = "refused"
	countWaited  = "waited"
	countNoOwner = "no_owner"
	// countAnswersTold counts the answers to parts of which the other members were told.
	countAnswersTold = "part_answers_told"
)

// Standings of parts in log lines.
const (
	standingSuspect = "suspect"
	standingBlamed  = "blamed"
)

// Texts of log lines that are written in two places.
const (
	textCrashed  = "endpoint crashed under a request with this content"
	textForgiven = "a complete answer forgives a crash"
)
