package gateway

// Event names of the log lines.
const (
	logAnswered = "answered"
	logGranted  = "granted"
	logSent     = "sent"
)
