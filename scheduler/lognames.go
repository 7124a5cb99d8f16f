package scheduler

// Event names of the log lines.
const (
	logCallAbandoned    = "call_abandoned"
	logDelegate         = "delegate"
	logDelegateLost     = "delegate_lost"
	logFreeFailed       = "free_failed"
	logJobMoves         = "job_moves"
	logOwnerNotTold     = "owner_not_told"
	logSubmitterNotTold = "submitter_not_told"
	logStageCall        = "stage_call"
	// logQueueSummary is logged once a second while the process has jobs.
	logQueueSummary = "queue_summary"
)
