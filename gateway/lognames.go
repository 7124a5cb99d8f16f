package gateway

// Event names of the log lines.
const (
	logAnswered = "answered"
	logGranted  = "granted"
	logSent     = "sent"
	// logArrivedDuringShutdown is logged for a request that arrived after the shutdown
	// had begun.
	logArrivedDuringShutdown = "taken_while_stopping"
)
