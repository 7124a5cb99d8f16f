package gateway

// Event names of the log lines.
const (
	logAnswered = "answered"
	logCrashed  = "endpoint_crashed"
	logGranted  = "granted"
	logSent     = "sent"
	// logTakenLate is a request that came after the process had begun to stop.
	logTakenLate = "taken_while_stopping"
)
