package integration

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/ledger"
)

const (
	// requestsPerPipeline is the number of requests of each pipeline, which are sent
	// at the same time.
	requestsPerPipeline = 200
	// explainEvery selects the requests whose explanation is read: one in ten.
	explainEvery = 10
	// explanationTimeout is the time within which an explanation must be complete.
	explanationTimeout = 10 * time.Second
)

// Kinds of failures of requests.
const (
	notAnswered           = "not answered"
	wrongAnswer           = "answer incomplete or to another request"
	wrongRuns             = "endpoints ran a stage the wrong number of times"
	wrongOutcome          = "another entry reports another outcome"
	incompleteExplanation = "the explanation is wrong or has gaps"
)

// request is one request and its reply.
type request struct {
	pipeline string
	account  string
	marker   string
	entry    int
	reply    *harness.Reply
}

// pathTest is a fleet and all requests that were sent to it.
type pathTest struct {
	failures
	t        *testing.T
	fleet    *harness.Fleet
	requests []*request
}

// TestEveryPipelineAnswers tests the whole path of requests in each example
// deployment: callers of any client account send to any entry, each stage runs on an
// endpoint of its pool in one of three failure domains, and the answer must be the
// expected one for the input. Afterwards the runs that agents recorded must agree with
// the endpoints' counters.
func TestEveryPipelineAnswers(t *testing.T) {
	for _, deployment := range examples.Names() {
		t.Run(deployment, func(t *testing.T) {
			// About forty processes with the race detector, on a busy machine of a
			// dozen cores, sometimes get no processor time for more than a second,
			// treat that as a pause and drop their connections. So this test runs
			// without the race detector; the other tests run with it.
			p := &pathTest{t: t, fleet: harness.Start(t, harness.Config{Deployment: deployment, LogLevel: "warn", NoRace: true})}
			defer p.report(t)
			defer p.logPauses()
			for i := range p.fleet.Bundle.Pipelines {
				p.sendBurst(&p.fleet.Bundle.Pipelines[i])
			}
			p.checkAnswers()
			p.checkRuns()
			p.checkOutcomes()
			p.checkExplanations()
		})
	}
}

// sendBurst sends requests of a pipeline at the same time, in turn through the entries
// and from every client account that may use the pipeline.
func (p *pathTest) sendBurst(pipeline *bundle.Pipeline) {
	accounts := allowedAccounts(p.fleet.Bundle, pipeline.Name)
	var wg sync.WaitGroup
	for i := range requestsPerPipeline {
		s := &request{
			pipeline: pipeline.Name,
			account:  accounts[i/2%len(accounts)],
			marker:   fmt.Sprintf("%s-%d", pipeline.Name, i),
			entry:    i % len(p.fleet.Entries()),
		}
		p.requests = append(p.requests, s)
		wg.Go(func() {
			s.reply = p.fleet.Send(p.t.Context(), s.entry, harness.Call{
				Pipeline: s.pipeline, Account: s.account, Input: harness.Marker(s.marker),
			})
		})
	}
	wg.Wait()
}

// allowedAccounts returns the names of the client accounts that may use a pipeline.
func allowedAccounts(b *bundle.Bundle, pipeline string) []string {
	var names []string
	for _, a := range b.Accounts {
		if len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline) {
			names = append(names, a.Name)
		}
	}
	return names
}

// checkAnswers checks that each answer is complete and belongs to its request. The
// output depends only on the input, so any mix-up of requests shows.
func (p *pathTest) checkAnswers() {
	answered := make(map[string]int)
	for _, s := range p.requests {
		a := s.reply.Answer
		if s.reply.Err != nil || a == nil {
			p.add(notAnswered, "%s: status %d, %v, %s", s.marker, s.reply.Status, s.reply.Err, s.reply.Body)
			continue
		}
		answered[s.pipeline]++
		want := harness.Expect(p.fleet.Bundle, s.pipeline, harness.Marker(s.marker))
		if string(a.Output) != string(want) {
			p.add(wrongAnswer, "%s: output %s, want %s", s.marker, a.Output, want)
		}
		if a.Outcome != api.OutcomeAnswered || a.RequestID == "" || a.RequestID != s.reply.RequestID() || a.Replayed {
			p.add(wrongAnswer, "%s: %s", s.marker, s.reply.Body)
		}
		if !slices.Equal(doneStages(a), p.stages(s)) {
			p.add(wrongAnswer, "%s: stages %v, want %v", s.marker, doneStages(a), p.stages(s))
		}
	}
	p.t.Logf("answered of %d requests of each pipeline: %v", requestsPerPipeline, answered)
}

// stages returns the names of the stages of a request's pipeline.
func (p *pathTest) stages(s *request) []string {
	var names []string
	for _, stage := range p.fleet.Bundle.Pipeline(s.pipeline).Stages {
		names = append(names, stage.Name)
	}
	return names
}

// doneStages returns the stages that an answer lists as done, in order and each once:
// both attempts of a hedged stage may be done.
func doneStages(a *api.Answer) []string {
	var done []string
	for _, run := range a.Stages {
		if run.State == api.StageDone {
			done = append(done, run.Stage)
		}
	}
	return slices.Compact(done)
}

// logPauses logs which processes detected a pause, which explains calls without an
// answer.
func (p *pathTest) logPauses() {
	for _, process := range p.fleet.Processes() {
		if process.LogHas(`"event":"paused"`) {
			p.t.Logf("%s detected a pause of more than a second", process.Name)
		}
	}
}

// checkRuns compares the replies with the endpoints' counters: each stage of an
// answered request ran, an unrepeatable one exactly once, others more than once only
// within the retry budget. No stage of a refused request ran.
func (p *pathTest) checkRuns() {
	runs := p.fleet.StageRuns()
	wanted, extra := 0, 0
	for _, s := range p.requests {
		for _, stage := range p.fleet.Bundle.Pipeline(s.pipeline).Stages {
			n := runs[stage.Name][s.marker]
			switch s.reply.Outcome() {
			case api.OutcomeAnswered:
				wanted++
				extra += n - 1
				if n < 1 || (stage.Unrepeatable && n != 1) {
					p.add(wrongRuns, "%s: stage %s ran %d times", s.marker, stage.Name, n)
				}
			case api.OutcomeRefused:
				if n != 0 {
					p.add(wrongRuns, "%s was refused, and stage %s ran %d times", s.marker, stage.Name, n)
				}
			}
		}
	}
	p.t.Logf("%d stages to run, %d additional runs", wanted, extra)
	// The budget applies to each entry and pool and has a reserve, so twice the budget
	// is allowed in total.
	if float64(extra) > 2*p.fleet.Bundle.Policy.RetryBudget*float64(wanted) {
		p.add(wrongRuns, "%d runs for %d stages", wanted+extra, wanted)
	}
}

// checkOutcomes checks that the other entry reports the same outcome of each request.
func (p *pathTest) checkOutcomes() {
	for _, s := range p.requests {
		other := (s.entry + 1) % len(p.fleet.Entries())
		reply := p.fleet.Get(p.t.Context(), other, "/v1/requests/"+s.reply.RequestID(), examples.CredentialPrefix+s.account)
		if reply.Err != nil || reply.Outcome() != s.reply.Outcome() {
			p.add(wrongOutcome, "%s: %s, looked up: status %d, %v, %s", s.marker, s.reply.Outcome(), reply.Status, reply.Err, reply.Body)
		}
	}
}

// checkExplanations reads the explanations of one in explainEvery requests until they
// agree with the endpoints' counters; the losing attempt of a hedge may still run.
func (p *pathTest) checkExplanations() {
	for i, s := range p.requests {
		if i%explainEvery != 0 || s.reply.Answer == nil {
			continue
		}
		if err := harness.Eventually(explanationTimeout, func() error { return p.checkExplanation(s) }); err != nil {
			p.add(incompleteExplanation, "%s: %v", s.marker, err)
		}
	}
}

func (p *pathTest) checkExplanation(s *request) error {
	e, err := p.fleet.Explain(p.t.Context(), s.entry, s.reply.RequestID())
	if err != nil {
		return err
	}
	if e.Issuer != p.fleet.Entry(s.entry).Name || e.Account != s.account || e.Pipeline != s.pipeline {
		return errorx.IllegalState.New("issued by %s to %s for %s", e.Issuer, e.Account, e.Pipeline)
	}
	if len(e.Parts) != len(p.fleet.Processes()) {
		return errorx.IllegalState.New("%d parts of %d processes", len(e.Parts), len(p.fleet.Processes()))
	}
	counts, err := readRecords(e)
	if err != nil {
		return err
	}
	return p.compareRuns(s, counts)
}

// runCounts sums up the records that processes hold of their own work: those of agents
// on runs, by stage, and those of the entry on the outcome.
type runCounts struct {
	started map[string]int
	done    map[string]int
	// stopped counts the runs that the agent had begun to write and then gave up.
	stopped map[string]int
	finals  []api.Outcome
}

// readRecords counts the records of an explanation, or returns an error if parts are
// missing.
func readRecords(e *entry.Explanation) (*runCounts, error) {
	counts := &runCounts{started: make(map[string]int), done: make(map[string]int), stopped: make(map[string]int)}
	for _, part := range e.Parts {
		if part.Missing != "" {
			return nil, errorx.IllegalState.New("%s is missing: %s", part.Process, part.Missing)
		}
		for i := range part.Records {
			counts.add(&part.Records[i], part.Process, e.Issuer)
		}
	}
	return counts, nil
}

// add counts a record if the process that returned it also wrote it; others hold
// copies.
func (a *runCounts) add(r *ledger.Record, process, issuer string) {
	byAgent := process == r.Process && process == r.Endpoint
	switch {
	case r.Kind == ledger.KindStarted && byAgent:
		a.started[r.Stage]++
	case r.Kind == ledger.KindFinished && r.State == api.StageDone && byAgent:
		a.done[r.Stage]++
	case r.Kind == ledger.KindFinished && byAgent:
		a.stopped[r.Stage]++
	case r.Kind == ledger.KindFinal && process == issuer:
		a.finals = append(a.finals, r.Outcome)
	}
}

// compareRuns compares the counts of a request's records with the endpoints' counters.
func (p *pathTest) compareRuns(s *request, counts *runCounts) error {
	if !slices.Equal(counts.finals, []api.Outcome{api.OutcomeAnswered}) {
		return errorx.IllegalState.New("final records %v", counts.finals)
	}
	runs := p.fleet.StageRuns()
	for _, stage := range p.stages(s) {
		n := runs[stage][s.marker]
		// The losing attempt of a hedge may be stopped before the endpoint has read
		// it. The agent cannot know, and records that it may have run.
		atMost, atLeast := counts.started[stage], counts.started[stage]-counts.stopped[stage]
		if n > atMost || n < atLeast || counts.done[stage] < 1 || counts.done[stage] > n {
			return errorx.IllegalState.New("stage %s ran %d times; agents say %d started, %d done, %d stopped",
				stage, n, counts.started[stage], counts.done[stage], counts.stopped[stage])
		}
	}
	return nil
}
