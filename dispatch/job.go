package dispatch

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// Job is one request for a model engine, with the stages to run before.
type Job struct {
	// Ticket names the job among all jobs of the fleet.
	Ticket string `json:"ticket"`
	// Request is the ID that endpoints get to see.
	Request string `json:"request"`
	// Service is the model service that takes the request after its stages.
	Service string `json:"service"`
	// Route and Account are for logs and fair shares.
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	// Domain is the failure domain of the entry that holds the client.
	Domain string `json:"domain"`
	// Stages are the stages of the route, those without pieces included.
	Stages []StageWork `json:"stages,omitempty"`
	// PieceKey goes with the pieces of stages that have no inputs.
	PieceKey  string               `json:"piece_key,omitempty"`
	Prefix    []catalog.PrefixPart `json:"prefix,omitempty"`
	TokensIn  int                  `json:"tokens_in,omitempty"`
	TokensOut int                  `json:"tokens_out,omitempty"`
	// Priority ranks the job; 0 is the most urgent.
	Priority int `json:"priority"`
	// Objective and Deadline are what is left of them, Usual is the objective
	// of a first try.
	Objective time.Duration `json:"objective"`
	Deadline  time.Duration `json:"deadline"`
	Usual     time.Duration `json:"usual"`
	// Again is set for a client that has been refused before.
	Again bool `json:"again,omitempty"`
	// Avoid lists the Keys of model engines that have failed the request before.
	Avoid []string `json:"avoid,omitempty"`
}

// StageWork is one stage of a job.
type StageWork struct {
	Service string `json:"service"`
	// After lists the stages whose results this one reads.
	After []int `json:"after,omitempty"`
	// Pieces is the number of pieces; 0 leaves the stage out.
	Pieces      int   `json:"pieces"`
	ResultBytes int64 `json:"result_bytes"`
}

// Placement says that a model engine has read a prompt.
type Placement struct {
	Service string `json:"service"`
	// Endpoint is the Key: a process knows nothing of what an earlier one read.
	Endpoint string               `json:"endpoint"`
	Prefix   []catalog.PrefixPart `json:"prefix"`
}

// job is the state of a Job.
type job struct {
	Job
	aimAt      time.Time
	deadlineAt time.Time
	stages     []*stage
	// home is the failure domain of the model engine that was thought of at
	// the start; large results are made there.
	home      string
	submitted time.Time
	// late is set when the job will miss its objective; it then goes behind
	// those that can meet theirs.
	late bool
	// queue is the service that made the job late, or without hope, short what it
	// lacks, and behind how late the job would have been.
	queue  string
	short  Resource
	behind time.Duration
	// first is the expected time from the grant to the first event.
	first time.Duration
	// weight is the job's size against the usual size on its route.
	weight float64
	// lostAt is when results of the job were last lost, to be made again.
	lostAt time.Time
	// started is set when the first piece is sent, and taken back if all calls with
	// pieces of the job were refused: then nothing of it has run.
	started bool
	// underway counts the pieces in calls; mayHaveRun is set when a call with some
	// has ended that was not refused.
	underway   int
	mayHaveRun bool
	// granted is when the engine was chosen.
	granted time.Time
	// engine is set when the job is granted.
	engine *engine
	ended  bool
}

// stage is the state of one stage of a job.
type stage struct {
	StageWork
	job   *job
	index int
	// left counts pieces without a result.
	left int
	// waiting are the indices of pieces that no call has.
	waiting []int
	results []*result
	inputs  []string
	// home is the domain in which the pieces are best made; empty for any.
	home string
	// since is when the pieces became ready.
	since time.Time
	// startBy is when the pieces must start for the job to meet its objective.
	startBy time.Time
	// forecast is when its last pieces were expected to start at admission.
	forecast time.Time
	queued   bool
	// avoid is the Key of an endpoint that has just failed pieces of this stage.
	avoid   string
	tries   int
	freed   bool
	booking booking
}

// done tells whether all pieces have a result.
func (s *stage) done() bool { return s.left == 0 }

// result is memory at an endpoint.
type result struct {
	worker *worker
	handle string
	bytes  int64
	// since is when the memory was reserved.
	since time.Time
	// until is when the endpoint drops the result by itself.
	until time.Time
	// givenUp is set once the endpoint has been told to drop it.
	givenUp bool
}

// newJob returns the state of j at now.
func newJob(j Job, now time.Time) *job {
	state := &job{
		Job:        j,
		submitted:  now,
		aimAt:      now.Add(j.Objective),
		deadlineAt: now.Add(j.Deadline),
	}
	for i, work := range j.Stages {
		s := &stage{StageWork: work, job: state, index: i, left: work.Pieces}
		s.results = make([]*result, work.Pieces)
		for p := range work.Pieces {
			s.waiting = append(s.waiting, p)
		}
		state.stages = append(state.stages, s)
	}
	return state
}

// ready tells whether all stages that s reads are done.
func (j *job) ready(s *stage) bool {
	for _, i := range s.After {
		if !j.stages[i].done() {
			return false
		}
	}
	return true
}

// stagesDone tells whether the request itself can be sent.
func (j *job) stagesDone() bool {
	for _, s := range j.stages {
		if !s.done() {
			return false
		}
	}
	return true
}

// collectInputs lists the handles of all pieces of the stages that s reads.
func (j *job) collectInputs(s *stage) []string {
	var handles []string
	for _, i := range s.After {
		for _, r := range j.stages[i].results {
			handles = append(handles, r.handle)
		}
	}
	return handles
}

// sources lists the processes that keep the results of finalInputs, each once.
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

// finalInputs lists the handles of all pieces of the stages that no other
// stage reads; these the model engine fetches.
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
		for _, a := range s.After {
			if a == i {
				n++
			}
		}
	}
	return n
}

// consumed tells whether stage i is read by stages, all of which are done.
func (j *job) consumed(i int) bool {
	read := false
	for _, s := range j.stages {
		for _, a := range s.After {
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
