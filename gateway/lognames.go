package gateway

// Event names of the log lines.
const (
	logAnswered = "answered"
	logCrashed  = "endpoint_crashed"
	logGranted  = "granted"
	logSent     = "sent"
)
