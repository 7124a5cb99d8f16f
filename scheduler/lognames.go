package scheduler

// Event names of the log lines.
const (
	logFreeFailed   = "free_failed"
	logJobMoves     = "job_moves"
	logOwnerNotTold = "owner_not_told"
	logStageCall    = "stage_call"
)
