package discovery

// Event names of the log lines.
const (
	logDomainEvacuated    = "domain_evacuated"
	logDomainTakenBack    = "domain_taken_back"
	logEndpointLeaving    = "endpoint_leaving"
	logProcessEnded       = "endpoint_process_ended"
	logEndpointListed     = "endpoint_listed"
	logEndpointUnlisted   = "endpoint_unlisted"
	logKnowledgeAdopted   = "knowledge_adopted"
	logReaderLost         = "reader_lost"
	logReaderRegained     = "reader_regained"
	logStoreHistoryGone   = "store_history_gone"
	logStoreItemMalformed = "store_item_malformed"
	logStoreListed        = "store_listed"
	logStoreLost          = "store_lost"
	logStoreRestored      = "store_restored"
	logStoreSettled       = "store_settled"
	logStoreRegained      = "store_regained"
	logValueFetched       = "value_fetched"
	logViewChanged        = "view_changed"
	logViewFromPeer       = "view_from_peer"
	logPaused             = "paused"
)
