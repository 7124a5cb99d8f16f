package quota

// Event names of the log lines.
const (
	logNamed  = "quota_named"
	logLifted = "quota_lifted"
)
