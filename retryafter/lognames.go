package retryafter

// Event names of the log lines.
const (
	logBackoffAsked = "backoff_asked"
)
