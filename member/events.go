package member

// Event names of the log lines of this package.
const (
	logMember           = "member"
	logClaimedTwice     = "endpoint_claimed_twice"
	logNotPublished     = "event_not_published"
	logBundle           = "bundle"
	logPaused           = "paused"
	logProcessRefused   = "process_refused"
	logPeerRefused      = "peer_refused"
	logPeerSilent       = "peer_silent"
	logRetired          = "connection_retired"
	logCannotConnect    = "cannot_connect"
	logListNotRead      = "list_not_read"
	logConfigNotRead    = "config_not_read"
	logBundleNotFetched = "bundle_not_fetched"
)
