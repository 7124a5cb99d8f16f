package dispatch

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quarantine/part"
	"github.com/mangostage/mangostage/share"
)

// Job is a request for a model engine, with the stages to run before it.
type Job struct {
	// Ticket identifies the job in the fleet.
	Ticket string `json:"ticket"`
	// Request is the request ID that endpoints see.
	Request string `json:"request"`
	// Content identifies what stays the same when the request comes again.
	Content quarantine.Content `json:"content,omitempty"`
	// Service is the model service that serves the request after its stages.
	Service string `json:"service"`
	// Route is used in logs. Account is the client account, which shares room with others;
	// jobs without one count as those of one account.
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	// Domain is the failure domain of the process that holds the client connection.
	Domain string `json:"domain"`
	// Stages are the stages of the route, including those without pieces.
	Stages []StageWork `json:"stages,omitempty"`
	// PieceKey is sent with the pieces of stages that have no inputs.
	PieceKey  string               `json:"piece_key,omitempty"`
	Prefix    []catalog.PrefixPart `json:"prefix,omitempty"`
	TokensIn  int                  `json:"tokens_in,omitempty"`
	TokensOut int                  `json:"tokens_out,omitempty"`
	// Priority ranks the job; 0 is the most urgent.
	Priority int `json:"priority"`
	// Objective and Deadline are the times left until the objective and the deadline;
	// RouteObjective is the full objective of a first try.
	Objective      time.Duration `json:"objective"`
	Deadline       time.Duration `json:"deadline"`
	RouteObjective time.Duration `json:"usual"`
	// EventGap is the longest pause between two events of the stream that is still in
	// time; 0 for none.
	EventGap time.Duration `json:"event_gap,omitempty"`
	// RefusedBefore is true if the client was refused before and has come back.
	RefusedBefore bool `json:"again,omitempty"`
	// Avoid lists the Keys of model engines on which the request has failed.
	Avoid []string `json:"avoid,omitempty"`
	// Excluded lists the Keys of model engines that asked the submitter for a backoff.
	Excluded []string `json:"excluded,omitempty"`
	// LeastLoaded makes the engine with the fewest requests be chosen: it may crash.
	LeastLoaded bool `json:"least_loaded,omitempty"`
	// Version, if set, is the only software version of engines that may serve the request:
	// that of the engine which began the stream.
	Version *string `json:"version,omitempty"`
}

// StageWork is one stage of a job.
type StageWork struct {
	Service string `json:"service"`
	// DependsOn lists the indices of the stages whose results this stage reads.
	DependsOn []int `json:"after,omitempty"`
	// Pieces is the number of pieces; a stage with 0 is skipped.
	Pieces      int   `json:"pieces"`
	ResultBytes int64 `json:"result_bytes"`
}

// Placement records that a model engine has read a prompt.
type Placement struct {
	Service string `json:"service"`
	// Endpoint is the Key of the engine's process: a restarted process has not read
	// what the previous one read.
	Endpoint string               `json:"endpoint"`
	Prefix   []catalog.PrefixPart `json:"prefix"`
}

// job is the state of a Job.
type job struct {
	Job
	// objectiveAt and deadlineAt are the times of the objective and the deadline.
	objectiveAt time.Time
	deadlineAt  time.Time
	stages      []*stage
	// preferredDomain is the failure domain of the model engine expected at
	// submission; large results are produced there.
	preferredDomain string
	submitted       time.Time
	// parts are the parts of the prompt that other requests may share.
	parts []part.ID
	// late is true if the job is expected to miss its objective; it is then queued
	// behind jobs that can meet theirs.
	late bool
	// shortService is the service for which the job is late or refused, shortResource
	// what that service is short of, and lateBy how late the job would have started
	// there.
	shortService  string
	shortResource Resource
	lateBy        time.Duration
	// chainTime is the time that all stages need if nothing is ahead of them.
	chainTime time.Duration
	// examineAt is when a job that waits for longer than expected is examined again.
	examineAt time.Time
	// expected is true if the client has come back at its appointment.
	expected bool
	// admittedAt is when the job was last admitted as on time; zero while it is late.
	admittedAt time.Time
	// readmitAt is when a late job may become on-time again.
	readmitAt time.Time
	// firstEventAt is when the engine sent its first event.
	firstEventAt time.Time
	// engineForecast is the expected time to the first event at submission, at the engine
	// that is best then, with the prompts that wait there.
	engineForecast time.Duration
	// firstEventTime is the expected time from the grant to the first event.
	firstEventTime time.Duration
	// weight is the job's size relative to the mean size on its route.
	weight float64
	// lostAt is when results of the job were last lost and had to be produced again.
	lostAt time.Time
	// started is true from the sending of the first piece. It is reset if every call
	// with pieces of the job was refused, because nothing of it has run then.
	started bool
	// inFlight counts the pieces in calls. mayHaveRun is true once a call with pieces
	// of the job has ended without being refused.
	inFlight   int
	mayHaveRun bool
	// granted is when the engine was chosen.
	granted time.Time
	// engine is the chosen engine; nil until the job is granted.
	engine *engine
	// awaits is true while the job is counted among those that wait for an engine of
	// its service.
	awaits bool
	// engineWait is how long, at admission, the job was expected to wait for an engine:
	// for a token of its quota, or beyond its deadline until one has read its prompt.
	engineWait time.Duration
	// sharesUsedAt is when the job took what it asks of its account's shares; zero if it
	// has nothing of them.
	sharesUsedAt time.Time
	// overShare is true if the job is late or refused because its account has more than
	// its share of shortService.
	overShare bool
	// admitted is true once the job was accepted at submission.
	admitted bool
	// ended is true once the job was granted and done, or refused, moved or cancelled.
	ended bool
}

// stage is the state of one stage of a job.
type stage struct {
	StageWork
	job   *job
	index int
	// missing counts the pieces without a result.
	missing int
	// waiting holds the indices of the pieces that are neither in a call nor done.
	waiting []int
	results []*result
	inputs  []string
	// preferredDomain is the failure domain in which the pieces should run; empty for
	// any.
	preferredDomain string
	// readyAt is when the stage became ready; zero before.
	readyAt time.Time
	// startBy is when the pieces must start for the job to meet its objective.
	startBy time.Time
	// lastStart is when the pieces must start for the job to meet its deadline.
	lastStart time.Time
	// forecastStart is when, at admission, the last pieces were expected to start.
	forecastStart time.Time
	// queued is true while the stage is in its pool's queue.
	queued bool
	// avoidKey is the Key of the endpoint that last failed pieces of this stage.
	avoidKey string
	// failedTries counts the calls in which pieces of the stage failed or were lost, and the
	// losses of its results.
	failedTries int
	// failedCall is the ID of the last call in which pieces of the stage failed.
	failedCall uint64
	// freed is true once the results of the stage are no longer needed.
	freed       bool
	demandEntry demandEntry
	// share is what the job's account has of the pool, sharePieces what the job asks of it;
	// set in its first stage of the pool.
	share       *share.Account
	sharePieces float64
}

// done reports whether all pieces have a result.
func (s *stage) done() bool { return s.missing == 0 }

// result is the memory that one result occupies at an endpoint.
type result struct {
	worker *worker
	handle string
	bytes  int64
	// reservedAt is when the call that produced the result was sent.
	reservedAt time.Time
	// expiresAt is when the endpoint drops the result by itself.
	expiresAt time.Time
	// discarded is true once the result is no longer needed and a Free, if its
	// endpoint is still there, was emitted.
	discarded bool
}

// newJob returns the initial state of j, submitted at now.
func newJob(j Job, now time.Time) *job {
	state := &job{
		Job:         j,
		submitted:   now,
		objectiveAt: now.Add(j.Objective),
		deadlineAt:  now.Add(j.Deadline),
		parts:       part.Shared(j.Prefix),
	}
	for i, work := range j.Stages {
		s := &stage{StageWork: work, job: state, index: i, missing: work.Pieces}
		s.results = make([]*result, work.Pieces)
		for p := range work.Pieces {
			s.waiting = append(s.waiting, p)
		}
		state.stages = append(state.stages, s)
	}
	return state
}

// ready reports whether all stages that s reads are done.
func (j *job) ready(s *stage) bool {
	for _, i := range s.DependsOn {
		if !j.stages[i].done() {
			return false
		}
	}
	return true
}

// stagesDone reports whether all stages are done, so that the request itself can
// be sent.
func (j *job) stagesDone() bool {
	for _, s := range j.stages {
		if !s.done() {
			return false
		}
	}
	return true
}

// collectInputs returns the handles of the results that s reads.
func (j *job) collectInputs(s *stage) []string {
	var handles []string
	for _, i := range s.DependsOn {
		for _, r := range j.stages[i].results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}

// sources returns the processes that keep the results of finalInputs, each once.
func (j *job) sources() []Source {
	var sources []Source
	for _, s := range j.stages {
		if j.consumers(s.index) > 0 {
			continue
		}
		for _, r := range s.results {
			e := r.worker.endpoint
			source := Source{Endpoint: e.ID, Incarnation: e.Incarnation}
			if !slices.Contains(sources, source) {
				sources = append(sources, source)
			}
		}
	}
	return sources
}

// finalInputs returns the handles of the results that no other stage reads; the
// model engine fetches them.
func (j *job) finalInputs() []string {
	var handles []string
	for _, s := range j.stages {
		if j.consumers(s.index) > 0 {
			continue
		}
		for _, r := range s.results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}

// consumers counts the stages with pieces that read stage i.
func (j *job) consumers(i int) int {
	n := 0
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		for _, a := range s.DependsOn {
			if a == i {
				n++
			}
		}
	}
	return n
}

// consumed reports whether at least one stage with pieces reads stage i, and all
// that do are done.
func (j *job) consumed(i int) bool {
	read := false
	for _, s := range j.stages {
		for _, a := range s.DependsOn {
			if a != i || s.Pieces == 0 {
				continue
			}
			if !s.done() {
				return false
			}
			read = true
		}
	}
	return read
}
